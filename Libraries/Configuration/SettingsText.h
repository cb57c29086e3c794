#pragma once

#include "Configuration/SettingsFault.h"

#include <json/value.h>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Toucan {

/// One parsed settings file, a JSON object (RFC 8259) with // and /* */ comments, and the line of each value in it.
class SettingsText {
public:
    /// Throws SettingsError of kind InvalidSettings with file, line and key if the text is not valid or an object has
    /// a duplicate key.
    static SettingsText create(std::string file, std::string_view text);

    std::string const& file() const { return this->fileName; }
    Json::Value const& root() const { return this->value; }
    /// Line, from 1, of the value at a JSON Pointer or else of the nearest enclosing value.
    size_t lineOf(std::string const& pointer) const;
    /// Throws SettingsError of kind InvalidSettings with file and line added to each fault, unless `faults` is empty.
    void throwFaults(std::vector<SettingsFault> faults) const;

private:
    SettingsText(std::string file, Json::Value&& value, std::map<std::string, size_t>&& lines);

    std::string fileName;
    Json::Value value;
    std::map<std::string, size_t> lines;
};

/// JSON Pointer of the value that encloses the value at `pointer`; empty for the complete document.
std::string parentPointer(std::string const& pointer);

} // namespace Toucan
