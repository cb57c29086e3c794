#include "Configuration/ConfigurationParts.h"

#include "Base/Error.h"
#include "Base/Hash.h"
#include "Base/Json.h"
#include "Configuration/DocumentReader.h"
#include "Configuration/SettingsReader.h"

namespace Toucan {

static constexpr std::string_view servicePrefix = "services/";

ConfigurationRoot parseRoot(std::string_view text)
{
    auto const value = parseJson(text);
    std::vector<SettingsFault> faults;
    SettingsReader reader(value, "", faults);
    ConfigurationRoot root;
    root.version = reader.requiredInteger("version", { 1, std::numeric_limits<uint64_t>::max() });
    root.changeId = reader.requiredText("changeId");
    root.author = reader.text("author", "");
    root.time = { reader.number("timeMs", 0) };
    if (!reader.has("parts"))
        reader.report("", "The key \"parts\" is missing", "Write the root with tgctl apply");
    auto const& parts = reader.object("parts");
    SettingsReader partsReader(parts, "/parts", faults);
    for (auto const& name : parts.getMemberNames())
        root.parts[name] = partsReader.requiredText(name);
    // Unknown members are ignored because a newer version may have written the root.
    if (!faults.empty())
        throw SettingsError(ErrorKind::InvalidInput, std::move(faults));
    return root;
}

std::string writeRoot(ConfigurationRoot const& root)
{
    Json::Value value { Json::objectValue };
    value["version"] = Json::UInt64(root.version);
    value["changeId"] = root.changeId;
    value["author"] = root.author;
    value["timeMs"] = Json::UInt64(root.time.value < 0 ? 0 : static_cast<uint64_t>(root.time.value));
    auto& parts = value["parts"] = Json::Value { Json::objectValue };
    for (auto const& [name, hash] : root.parts)
        parts[name] = hash;
    return writeJson(value);
}

std::map<std::string, std::string> splitDocument(Json::Value const& document)
{
    std::map<std::string, std::string> parts;
    for (auto const& name : document.getMemberNames()) {
        if (name != "services")
            parts[name] = writeJson(document[name]);
    }
    auto const& services = document["services"];
    for (auto const& name : services.getMemberNames())
        parts[std::string(servicePrefix) + name] = writeJson(services[name]);
    return parts;
}

static Json::Value readPart(
    std::string const& name, std::string const& hash, std::map<std::string, std::string> const& texts)
{
    auto const found = texts.find(hash);
    if (found == texts.end())
        throw Error(ErrorKind::NotFound, "The configuration part \"" + name + "\" with hash " + hash + " is missing",
            "Fetch it from the store or a peer under its hash");
    if (contentHash(found->second) != hash)
        throw Error(ErrorKind::InvalidInput, "The configuration part \"" + name + "\" does not match its hash " + hash,
            "Fetch the part again");
    return parseJson(found->second);
}

Json::Value assembleDocument(ConfigurationRoot const& root, std::map<std::string, std::string> const& texts)
{
    Json::Value document { Json::objectValue };
    for (auto const& [name, hash] : root.parts) {
        if (name.starts_with(servicePrefix))
            document["services"][name.substr(servicePrefix.size())] = readPart(name, hash, texts);
        else
            document[name] = readPart(name, hash, texts);
    }
    return document;
}

static ConfigurationPointer createConfiguration(
    Json::Value const& document, UnknownKeys unknownKeys, uint64_t version, std::string const& changeId)
{
    std::vector<SettingsFault> faults;
    auto configuration = std::make_shared<Configuration>(readDocument(document, unknownKeys, faults));
    if (!faults.empty())
        throw SettingsError(ErrorKind::InvalidInput, std::move(faults));
    configuration->version = version;
    configuration->changeId = changeId;
    return configuration;
}

ConfigurationPointer assembleConfiguration(
    ConfigurationRoot const& root, std::map<std::string, std::string> const& texts)
{
    return createConfiguration(assembleDocument(root, texts), UnknownKeys::Ignore, root.version, root.changeId);
}

ConfigurationPointer parseDocument(Json::Value const& document, uint64_t version, std::string const& changeId)
{
    return createConfiguration(document, UnknownKeys::Refuse, version, changeId);
}

} // namespace Toucan
