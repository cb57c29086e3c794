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

/// The configuration document made of the files of a folder. The files are merged in byte order of their names by JSON
/// Merge Patch (RFC 7396): a later file overrides an earlier one, null deletes, arrays are replaced as a whole.
class FolderMerge {
public:
    /// File and line that set a value.
    struct Place {
        std::string file;
        size_t line { 0 };
    };

    /// Merges and checks. Throws SettingsError of kind InvalidSettings with all faults: those of the syntax of all
    /// files, or when there are none, those of the merged document.
    static FolderMerge create(std::vector<NamedText> files);

    /// A checked document, fit for splitDocument().
    Json::Value const& document() const { return this->merged; }
    /// Where the value at a JSON Pointer, or the nearest value that contains it, was set last. An object that several
    /// files add to is at its first file.
    Place placeOf(std::string const& pointer) const;

private:
    FolderMerge() = default;

    /// MergePatch() of RFC 7396, section 2.
    void merge(Json::Value& target, Json::Value const& patch, std::string const& path, SettingsText const& source);
    void forgetPlaces(std::string const& path);
    void recordPlaces(Json::Value const& value, std::string const& path, SettingsText const& source);
    void check() const;

    Json::Value merged { Json::objectValue };
    std::map<std::string, Place> places;
};

} // namespace Toucan
