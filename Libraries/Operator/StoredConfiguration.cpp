#include "Operator/StoredConfiguration.h"

#include <algorithm>

namespace Toucan {

std::string configurationPartKey(std::string const& hash) { return "configuration/parts/" + hash; }

std::string configurationHistoryKey(uint64_t version) { return configurationHistoryPrefix + std::to_string(version); }

StoredRoot readStoredRoot(OperatorStore& store)
{
    auto const value = store.get(configurationRootKey);
    if (!value)
        return {};
    return { parseRoot(value->value), value->revision };
}

Json::Value readStoredDocument(OperatorStore& store, ConfigurationRoot const& root)
{
    std::map<std::string, std::string> texts;
    for (auto const& [name, hash] : root.parts) {
        if (auto const value = store.get(configurationPartKey(hash)))
            texts[hash] = value->value;
    }
    return assembleDocument(root, texts);
}

std::optional<ConfigurationRoot> readHistoryEntry(OperatorStore& store, uint64_t version)
{
    auto const value = store.get(configurationHistoryKey(version));
    if (!value)
        return std::nullopt;
    return parseRoot(value->value);
}

std::vector<ConfigurationRoot> readHistory(OperatorStore& store)
{
    std::vector<ConfigurationRoot> roots;
    for (auto const& value : store.getPrefix(configurationHistoryPrefix))
        roots.push_back(parseRoot(value.value));
    auto const older = [](auto const& one, auto const& other) { return one.version < other.version; };
    std::sort(roots.begin(), roots.end(), older);
    return roots;
}

} // namespace Toucan
