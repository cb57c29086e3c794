#include "Node/MetricsText.h"

#include <array>
#include <cctype>
#include <cmath>
#include <sstream>
#include <string_view>
#include <utility>
#include <vector>

namespace Toucan {

namespace {

    using Labels = std::vector<std::pair<std::string, std::string>>;

    /// Members of the view whose own members are named by operators, and the label for these names.
    constexpr std::array<std::pair<std::string_view, char const*>, 8> collections { {
        { "members", "member" },
        { "targets", "target" },
        { "services", "service" },
        { "ranges", "range" },
        { "classes", "class" },
        { "peers", "peer" },
        { "carriers", "carrier" },
        { "snapshots", "snapshot" },
    } };

    class MetricsWriter {
    public:
        void write(std::string const& name, Labels const& labels, double value)
        {
            // Prometheus wants the samples of one name together.
            auto& text = this->samples[name];
            std::ostringstream line;
            line.precision(15);
            line << name << formatLabels(labels) << ' ' << value << '\n';
            text += line.str();
        }

        std::string text() const
        {
            std::string result;
            for (auto const& [name, lines] : this->samples) {
                bool const counter = name.ends_with("_total");
                result.append("# TYPE ").append(name).append(counter ? " counter\n" : " gauge\n").append(lines);
            }
            return result;
        }

    private:
        static std::string formatLabels(Labels const& labels)
        {
            std::string result;
            for (auto const& [label, value] : labels) {
                result += result.empty() ? '{' : ',';
                result.append(label).append("=\"").append(escaped(value)).append("\"");
            }
            return result.empty() ? result : result + '}';
        }

        static std::string escaped(std::string const& value)
        {
            std::string result;
            for (char const character : value) {
                if (character == '\\' || character == '"')
                    result += '\\';
                if (character == '\n')
                    result += "\\n";
                else
                    result += character;
            }
            return result;
        }

        std::map<std::string, std::string> samples;
    };

} // namespace

/// camelCase to snake_case; characters that Prometheus does not allow become '_'.
static std::string metricPart(std::string const& key)
{
    std::string result;
    for (char const character : key) {
        auto const code = static_cast<unsigned char>(character);
        if (std::isupper(code)) {
            result += '_';
            result += static_cast<char>(std::tolower(code));
        } else {
            result += std::isalnum(code) ? character : '_';
        }
    }
    return result;
}

static char const* labelOf(std::string const& key)
{
    for (auto const& [collection, label] : collections) {
        if (collection == key)
            return label;
    }
    return nullptr;
}

static void flatten(MetricsWriter& writer, std::string const& name, Labels const& labels, Json::Value const& value)
{
    if (value.isBool() || value.isNumeric()) {
        writer.write(name, labels, value.isBool() ? static_cast<double>(value.asBool()) : value.asDouble());
        return;
    }
    if (!value.isObject())
        return;
    for (auto const& key : value.getMemberNames()) {
        auto const& member = value[key];
        auto const* label = labelOf(key);
        if (!label || !member.isObject()) {
            flatten(writer, name + '_' + metricPart(key), labels, member);
            continue;
        }
        for (auto const& entry : member.getMemberNames()) {
            auto entryLabels = labels;
            entryLabels.emplace_back(label, entry);
            flatten(writer, name + '_' + label, entryLabels, member[entry]);
        }
    }
}

std::string writeMetrics(std::map<std::string, double> const& counters, Json::Value const& view)
{
    MetricsWriter writer;
    for (auto const& [name, value] : counters)
        writer.write(name, {}, value);
    flatten(writer, "toucan", {}, view);
    return writer.text();
}

} // namespace Toucan
