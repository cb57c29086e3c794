#pragma once

#include "Configuration/ConfigurationParts.h"
#include "Operator/OperatorStore.h"

#include <json/value.h>
#include <optional>
#include <string>
#include <vector>

namespace Toucan {

/// Keys of the configuration in the store (docs/design.md, section 3.3).
inline std::string const configurationRootKey = "configuration/root";
inline std::string const configurationHistoryPrefix = "configuration/history/";
std::string configurationPartKey(std::string const& hash);
std::string configurationHistoryKey(uint64_t version);

/// The root as read from the store; version and revision are 0 if there is none yet.
struct StoredRoot {
    ConfigurationRoot root;
    /// mod_revision, for compare-and-swap.
    uint64_t revision { 0 };
};

StoredRoot readStoredRoot(OperatorStore& store);
/// Document that the root refers to; an empty object for version 0. Throws Error of kind NotFound if a part is missing.
Json::Value readStoredDocument(OperatorStore& store, ConfigurationRoot const& root);
std::optional<ConfigurationRoot> readHistoryEntry(OperatorStore& store, uint64_t version);
/// All accepted roots, oldest first.
std::vector<ConfigurationRoot> readHistory(OperatorStore& store);

} // namespace Toucan
