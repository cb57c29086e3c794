#include "Node/MetricsText.h"

#include <array>
#include <cctype>
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

    enum class MetricType {
        Counter,
        Gauge,
        Histogram,
    };

    constexpr std::string_view typeName(MetricType type)
    {
        switch (type) {
        case MetricType::Counter:
            return "counter";
        case MetricType::Gauge:
            return "gauge";
        case MetricType::Histogram:
            break;
        }
        return "histogram";
    }

    struct Help {
        std::string_view name;
        std::string_view text;
    };

    /// Metrics that operators look at first; the others are explained by their path in the view.
    constexpr std::array helps {
        Help {
            "toucan_caller_requests_refused_total", "Requests refused before the engine, as malformed or overload." },
        Help { "toucan_caller_requests_total", "HTTP requests of callers." },
        Help { "toucan_carrier_target_queued", "Parts that wait in this carrier's queue before the target." },
        Help { "toucan_configuration_version", "Version of the configuration in force on this node." },
        Help { "toucan_peers", "Peers by the state in which this node sees them." },
        Help { "toucan_ready", "1 when the node is ready for callers." },
        Help { "toucan_request_duration_milliseconds", "Time from a caller's request to its answer." },
        Help { "toucan_requests_total", "Answers to callers by service, outcome (ran, not-run, unknown)." },
        Help { "toucan_responses_total", "Answers to callers by service and HTTP status." },
        Help { "toucan_up", "Always 1." },
    };

    constexpr std::string_view defaultHelp = "Value of the node's view, named after its path.";

    std::string_view helpOf(std::string_view name)
    {
        for (auto const& help : helps) {
            if (help.name == name)
                return help.text;
        }
        return defaultHelp;
    }

    class MetricsWriter {
    public:
        void write(std::string const& name, Labels const& labels, double value)
        {
            this->add(name, name.ends_with("_total") ? MetricType::Counter : MetricType::Gauge, name, labels, value);
        }

        /// Cumulative "buckets" by their bound "le", "count" and "sum", as RequestMetrics describes them.
        void writeHistogram(std::string const& name, Labels const& labels, Json::Value const& histogram)
        {
            auto bucketLabels = labels;
            bucketLabels.emplace_back("le", "");
            for (auto const& bucket : histogram["buckets"]) {
                bucketLabels.back().second = formatNumber(bucket["le"].asDouble());
                this->add(name, MetricType::Histogram, name + "_bucket", bucketLabels, bucket["count"].asDouble());
            }
            bucketLabels.back().second = "+Inf";
            auto const count = histogram["count"].asDouble();
            this->add(name, MetricType::Histogram, name + "_bucket", bucketLabels, count);
            this->add(name, MetricType::Histogram, name + "_sum", labels, histogram["sum"].asDouble());
            this->add(name, MetricType::Histogram, name + "_count", labels, count);
        }

        std::string text() const
        {
            std::string result;
            for (auto const& [name, family] : this->families) {
                result.append("# HELP ").append(name).append(" ").append(helpOf(name)).append("\n");
                result.append("# TYPE ").append(name).append(" ").append(typeName(family.type)).append("\n");
                result.append(family.samples);
            }
            return result;
        }

    private:
        struct Family {
            MetricType type { MetricType::Gauge };
            std::string samples;
        };

        void add(
            std::string const& family, MetricType type, std::string const& name, Labels const& labels, double value)
        {
            // Prometheus requires that the samples of one metric are contiguous.
            auto& entry = this->families[family];
            entry.type = type;
            entry.samples.append(name)
                .append(formatLabels(labels))
                .append(" ")
                .append(formatNumber(value))
                .append("\n");
        }

        static std::string formatNumber(double value)
        {
            std::ostringstream text;
            text.precision(15);
            text << value;
            return text.str();
        }

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

        std::map<std::string, Family> families;
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

/// Objects whose numbers are monotonic counters.
static bool holdsCounters(std::string const& key) { return key == "counters" || key == "frames"; }

static void flattenCounters(
    MetricsWriter& writer, std::string const& name, Labels const& labels, Json::Value const& counters)
{
    for (auto const& key : counters.getMemberNames()) {
        if (counters[key].isNumeric())
            writer.write(name + '_' + metricPart(key) + "_total", labels, counters[key].asDouble());
    }
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
        if (holdsCounters(key) && member.isObject()) {
            flattenCounters(writer, key == "counters" ? name : name + '_' + metricPart(key), labels, member);
            continue;
        }
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

static void writeRequests(MetricsWriter& writer, Json::Value const& requests)
{
    auto const& services = requests["services"];
    for (auto const& name : services.getMemberNames()) {
        auto const& service = services[name];
        auto const& outcomes = service["outcomes"];
        for (auto const& outcome : outcomes.getMemberNames())
            writer.write(
                "toucan_requests_total", { { "service", name }, { "outcome", outcome } }, outcomes[outcome].asDouble());
        auto const& statuses = service["statuses"];
        for (auto const& status : statuses.getMemberNames())
            writer.write(
                "toucan_responses_total", { { "service", name }, { "status", status } }, statuses[status].asDouble());
        writer.writeHistogram("toucan_request_duration_milliseconds", { { "service", name } }, service["latencyMs"]);
    }
}

static void writePeers(MetricsWriter& writer, Json::Value const& members)
{
    std::map<std::string, double> states;
    for (auto const& member : members)
        states[member["state"].asString()] += 1;
    for (auto const& [state, count] : states)
        writer.write("toucan_peers", { { "state", state } }, count);
}

std::string writeMetrics(std::map<std::string, double> const& counters, Json::Value const& view)
{
    MetricsWriter writer;
    for (auto const& [name, value] : counters)
        writer.write(name, {}, value);
    auto rest = view;
    if (Json::Value requests; rest.isObject() && rest.removeMember("requests", &requests))
        writeRequests(writer, requests);
    if (rest.isObject() && rest["members"].isObject())
        writePeers(writer, rest["members"]);
    flatten(writer, "toucan", {}, rest);
    return writer.text();
}

} // namespace Toucan
