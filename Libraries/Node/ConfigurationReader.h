#pragma once

#include "Engine/ConfigurationState.h"
#include "Platform/StoreClient.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Toucan {

/// Reads the configuration's root and parts from the store.
class ConfigurationReader {
public:
    struct RootEntry {
        ConfigurationRoot root;
        /// mod_revision of the root.
        uint64_t revision { 0 };
    };

    explicit ConfigurationReader(StoreClient& client);

    static constexpr char const* rootKey = "configuration/root";

    /// Empty when no configuration was applied yet. Throws Error as StoreClient and parseRoot() do.
    std::optional<RootEntry> readRootEntry();
    static RootEntry parseRootEntry(StoreValue const& value);
    /// Reads those parts of the root whose hashes are not in `knownHashes`. Throws Error as StoreClient does, and of
    /// kind NotFound when a part is missing.
    ConfigurationUpdate readUpdate(ConfigurationRoot const& root, std::set<std::string> const& knownHashes);
    /// As above, but the update has all parts: those in `texts` (content hash to text) are copied, the others are read.
    ConfigurationUpdate readUpdate(ConfigurationRoot const& root, std::map<std::string, std::string> const& texts);

private:
    std::string readPart(std::string const& name, std::string const& hash);

    StoreClient& client;
};

} // namespace Toucan
