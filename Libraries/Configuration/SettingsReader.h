#pragma once

#include "Configuration/SettingsFault.h"

#include <cstdint>
#include <json/value.h>
#include <limits>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Toucan {

/// Inclusive bounds of a number.
template <typename Number> struct Range {
    Number minimum { std::numeric_limits<Number>::lowest() };
    Number maximum { std::numeric_limits<Number>::max() };
};

/// Typed access to the members of one JSON object. An invalid value is recorded as a fault and the default is returned,
/// so that one pass finds all faults. Used for the configuration document and the settings files of the programs.
class SettingsReader {
public:
    /// `path` is the JSON Pointer of the object. `object` and `faults` must outlive the reader.
    SettingsReader(Json::Value const& object, std::string path, std::vector<SettingsFault>& faults);

    bool has(std::string const& key) const;
    std::string text(std::string const& key, std::string const& defaultValue);
    std::string requiredText(std::string const& key);
    uint64_t integer(std::string const& key, uint64_t defaultValue, Range<uint64_t> range = {});
    uint64_t requiredInteger(std::string const& key, Range<uint64_t> range = {});
    double number(std::string const& key, double defaultValue, Range<double> range = {});
    bool boolean(std::string const& key, bool defaultValue);
    /// Value that `namedValues` maps the text to.
    template <typename Value>
    Value choice(
        std::string const& key, Value defaultValue, std::span<std::pair<std::string_view, Value> const> namedValues);
    /// Member that must be an object; an empty object if it is missing or of another type.
    Json::Value const& object(std::string const& key);
    /// Member that must be an array; an empty array if it is missing or of another type.
    Json::Value const& array(std::string const& key);
    std::string pathOf(std::string const& key) const;
    /// Records a fault of one member, or of the object itself if `key` is empty.
    void report(std::string const& key, std::string problem, std::string remedy);
    /// Records a fault for each member that no preceding call has read.
    void reportUnknownKeys();

private:
    /// Returns null if the member is missing. Adds the key to the known keys.
    Json::Value const* find(std::string const& key);
    void reportType(std::string const& key, Json::Value const& value, std::string_view expected);
    void reportRange(std::string const& key, double number, Range<double> range);
    uint64_t readInteger(
        std::string const& key, Json::Value const& value, uint64_t defaultValue, Range<uint64_t> range);
    void reportChoice(std::string const& key, std::string const& value, std::string const& allowed);

    Json::Value const& members;
    std::string path;
    std::vector<SettingsFault>& faults;
    std::set<std::string> knownKeys;
};

template <typename Value>
Value SettingsReader::choice(
    std::string const& key, Value defaultValue, std::span<std::pair<std::string_view, Value> const> namedValues)
{
    if (!this->has(key)) {
        this->knownKeys.insert(key);
        return defaultValue;
    }
    auto const faultsBefore = this->faults.size();
    auto const value = this->text(key, "");
    if (this->faults.size() != faultsBefore)
        return defaultValue;
    std::string allowed;
    for (auto const& [name, namedValue] : namedValues) {
        if (name == value)
            return namedValue;
        allowed += (allowed.empty() ? "\"" : ", \"") + std::string(name) + "\"";
    }
    this->reportChoice(key, value, allowed);
    return defaultValue;
}

} // namespace Toucan
