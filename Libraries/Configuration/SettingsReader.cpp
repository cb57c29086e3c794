#include "Configuration/SettingsReader.h"

#include "Base/Json.h"

#include <array>
#include <charconv>
#include <cmath>

namespace Toucan {

static Json::Value const& emptyObject()
{
    static Json::Value const value { Json::objectValue };
    return value;
}

static Json::Value const& emptyArray()
{
    static Json::Value const value { Json::arrayValue };
    return value;
}

static std::string_view typeName(Json::Value const& value)
{
    switch (value.type()) {
    case Json::nullValue:
        return "null";
    case Json::intValue:
    case Json::uintValue:
    case Json::realValue:
        return "a number";
    case Json::stringValue:
        return "a string";
    case Json::booleanValue:
        return "a boolean";
    case Json::arrayValue:
        return "an array";
    case Json::objectValue:
        return "an object";
    }
    return "unknown";
}

SettingsReader::SettingsReader(Json::Value const& object, std::string path, std::vector<SettingsFault>& faults)
    : members(object.isObject() ? object : emptyObject())
    , path(std::move(path))
    , faults(faults)
{
    if (!object.isObject())
        this->reportType("", object, "an object");
}

bool SettingsReader::has(std::string const& key) const { return this->members.isMember(key); }

std::string SettingsReader::pathOf(std::string const& key) const
{
    return key.empty() ? this->path : appendToPointer(this->path, key);
}

void SettingsReader::report(std::string const& key, std::string problem, std::string remedy)
{
    this->faults.push_back({ {}, 0, this->pathOf(key), std::move(problem), std::move(remedy) });
}

void SettingsReader::reportType(std::string const& key, Json::Value const& value, std::string_view expected)
{
    this->report(key, "Expected " + std::string(expected) + ", found " + std::string(typeName(value)),
        "Write " + std::string(expected) + " here");
}

/// Shortest decimal form that round-trips; unlike jsoncpp's output without the fraction ".0".
static std::string formatNumber(double number)
{
    std::array<char, 32> text {};
    auto const result = std::to_chars(text.data(), text.data() + text.size(), number);
    return { text.data(), result.ptr };
}

void SettingsReader::reportRange(std::string const& key, double number, Range<double> range)
{
    this->report(key, "The number " + formatNumber(number) + " is out of range",
        "Use a number from " + formatNumber(range.minimum) + " to " + formatNumber(range.maximum));
}

void SettingsReader::reportChoice(std::string const& key, std::string const& value, std::string const& allowed)
{
    this->report(key, "The value \"" + value + "\" is not allowed", "Use one of " + allowed);
}

Json::Value const* SettingsReader::find(std::string const& key)
{
    this->knownKeys.insert(key);
    return this->members.find(key.data(), key.data() + key.size());
}

std::string SettingsReader::text(std::string const& key, std::string const& defaultValue)
{
    auto const* value = this->find(key);
    if (!value)
        return defaultValue;
    if (value->isString())
        return value->asString();
    this->reportType(key, *value, "a string");
    return defaultValue;
}

std::string SettingsReader::requiredText(std::string const& key)
{
    if (!this->find(key)) {
        this->report("", "The key \"" + key + "\" is missing", "Add \"" + key + "\" with a string");
        return {};
    }
    return this->text(key, "");
}

uint64_t SettingsReader::readInteger(
    std::string const& key, Json::Value const& value, uint64_t defaultValue, Range<uint64_t> range)
{
    if (!value.isNumeric()) {
        this->reportType(key, value, "an integer");
        return defaultValue;
    }
    if (value.isUInt64()) {
        if (auto const integer = value.asUInt64(); integer >= range.minimum && integer <= range.maximum)
            return integer;
    } else if (auto const real = value.asDouble(); real >= 0 && std::floor(real) != real) {
        this->report(key, "Expected an integer, found " + writeJson(value), "Write a number without a fraction");
        return defaultValue;
    }
    this->report(key, "The number " + writeJson(value) + " is out of range",
        "Use an integer from " + std::to_string(range.minimum) + " to " + std::to_string(range.maximum));
    return defaultValue;
}

uint64_t SettingsReader::integer(std::string const& key, uint64_t defaultValue, Range<uint64_t> range)
{
    auto const* value = this->find(key);
    return value ? this->readInteger(key, *value, defaultValue, range) : defaultValue;
}

uint64_t SettingsReader::requiredInteger(std::string const& key, Range<uint64_t> range)
{
    if (auto const* value = this->find(key))
        return this->readInteger(key, *value, range.minimum, range);
    this->report("", "The key \"" + key + "\" is missing", "Add \"" + key + "\" with an integer");
    return range.minimum;
}

double SettingsReader::number(std::string const& key, double defaultValue, Range<double> range)
{
    auto const* value = this->find(key);
    if (!value)
        return defaultValue;
    if (!value->isNumeric()) {
        this->reportType(key, *value, "a number");
        return defaultValue;
    }
    auto const number = value->asDouble();
    if (number >= range.minimum && number <= range.maximum)
        return number;
    this->reportRange(key, number, range);
    return defaultValue;
}

bool SettingsReader::boolean(std::string const& key, bool defaultValue)
{
    auto const* value = this->find(key);
    if (!value)
        return defaultValue;
    if (value->isBool())
        return value->asBool();
    this->reportType(key, *value, "a boolean");
    return defaultValue;
}

Json::Value const& SettingsReader::object(std::string const& key)
{
    auto const* value = this->find(key);
    if (!value)
        return emptyObject();
    if (value->isObject())
        return *value;
    this->reportType(key, *value, "an object");
    return emptyObject();
}

Json::Value const& SettingsReader::array(std::string const& key)
{
    auto const* value = this->find(key);
    if (!value)
        return emptyArray();
    if (value->isArray())
        return *value;
    this->reportType(key, *value, "an array");
    return emptyArray();
}

void SettingsReader::reportUnknownKeys()
{
    std::string allowed;
    for (auto const& key : this->knownKeys)
        allowed += (allowed.empty() ? "" : ", ") + key;
    for (auto const& key : this->members.getMemberNames()) {
        if (!this->knownKeys.contains(key))
            this->report(key, "Unknown key", "Remove it or use one of: " + allowed);
    }
}

} // namespace Toucan
