#include "Node/ConfigurationReader.h"

#include "Base/Error.h"

namespace Toucan {

ConfigurationReader::ConfigurationReader(StoreClient& client)
    : client(client)
{
}

ConfigurationReader::RootEntry ConfigurationReader::parseRootEntry(StoreValue const& value)
{
    return { parseRoot(value.value), value.revision };
}

std::optional<ConfigurationReader::RootEntry> ConfigurationReader::readRootEntry()
{
    auto const value = this->client.get(rootKey);
    if (!value)
        return std::nullopt;
    return parseRootEntry(*value);
}

std::string ConfigurationReader::readPart(std::string const& name, std::string const& hash)
{
    auto const part = this->client.get("configuration/parts/" + hash);
    if (!part)
        throw Error(ErrorKind::NotFound, "The store lacks part \"" + name + "\" with hash " + hash,
            "Apply the configuration again");
    return part->value;
}

ConfigurationUpdate ConfigurationReader::readUpdate(
    ConfigurationRoot const& root, std::set<std::string> const& knownHashes)
{
    ConfigurationUpdate update { root, {} };
    for (auto const& [name, hash] : root.parts) {
        if (!knownHashes.contains(hash) && !update.parts.contains(hash))
            update.parts.emplace(hash, this->readPart(name, hash));
    }
    return update;
}

ConfigurationUpdate ConfigurationReader::readUpdate(
    ConfigurationRoot const& root, std::map<std::string, std::string> const& texts)
{
    ConfigurationUpdate update { root, {} };
    for (auto const& [name, hash] : root.parts) {
        if (auto const known = texts.find(hash); known != texts.end())
            update.parts.emplace(hash, known->second);
        else if (!update.parts.contains(hash))
            update.parts.emplace(hash, this->readPart(name, hash));
    }
    return update;
}

} // namespace Toucan
