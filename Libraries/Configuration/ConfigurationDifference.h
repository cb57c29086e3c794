#pragma once

#include <json/value.h>
#include <string>
#include <vector>

namespace Toucan {

/// Differences between two configuration documents, by path. An added or removed object is one change; arrays are
/// compared as a whole because JSON Merge Patch replaces them.
class ConfigurationDifference {
public:
    enum class Kind {
        Added,
        Removed,
        Changed,
    };
    struct Change {
        Kind kind { Kind::Changed };
        /// JSON Pointer (RFC 6901).
        std::string path;
        /// Null when added.
        Json::Value before;
        /// Null when removed.
        Json::Value after;
    };

    static ConfigurationDifference between(Json::Value const& before, Json::Value const& after);

    /// Sorted by member name on each level.
    std::vector<Change> const& changes() const { return this->allChanges; }
    bool empty() const { return this->allChanges.empty(); }
    /// One line for each change: "+ PATH VALUE", "- PATH VALUE" or "~ PATH BEFORE -> AFTER".
    std::string describe() const;

private:
    void compare(Json::Value const& before, Json::Value const& after, std::string const& path);
    void compareMembers(Json::Value const& before, Json::Value const& after, std::string const& path);

    std::vector<Change> allChanges;
};

} // namespace Toucan
