#pragma once

#include "Configuration/SettingsText.h"

#include <json/value.h>
#include <map>
#include <string>
#include <vector>

namespace Toucan {

struct NamedText {
    std::string name;
    std::string text;
};

/// The configuration document built from the files of a folder. The files are merged in byte order of their names by
/// JSON Merge Patch (RFC 7396): a later file overrides an earlier one, null deletes, arrays are replaced as a whole.
class FolderMerge {
public:
    /// File and line that define a value.
    struct SourceLocation {
        std::string file;
        size_t line { 0 };
    };

    /// Merges and validates. Throws SettingsError of kind InvalidSettings with the syntax errors of all files, or, if
    /// there are none, with all faults of the merged document.
    static FolderMerge create(std::vector<NamedText> files);

    /// The validated document, as splitDocument() expects it.
    Json::Value const& document() const { return this->merged; }
    /// Location of the last definition of the value at a JSON Pointer, or else of the nearest enclosing value. The
    /// location of an object that several files extend is in the first of them.
    SourceLocation locationOf(std::string const& pointer) const;

private:
    FolderMerge() = default;

    /// The function MergePatch of RFC 7396, section 2.
    void merge(Json::Value& target, Json::Value const& patch, std::string const& path, SettingsText const& source);
    void removeLocations(std::string const& path);
    void recordLocations(Json::Value const& value, std::string const& path, SettingsText const& source);
    void check() const;

    Json::Value merged { Json::objectValue };
    std::map<std::string, SourceLocation> locations;
};

} // namespace Toucan
