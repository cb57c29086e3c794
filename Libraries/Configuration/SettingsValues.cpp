#include "Configuration/SettingsValues.h"

#include <Poco/Net/IPAddress.h>
#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

namespace Toucan {

constexpr uint32_t maximumPort = 65535;

static bool isAddress(std::string const& text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string::npos)
        return false;
    auto host = text.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']'))
        host = host.substr(1, host.size() - 2);
    uint32_t port = 0;
    auto const* const end = text.data() + text.size();
    auto const [parsed, error] = std::from_chars(text.data() + colon + 1, end, port);
    Poco::Net::IPAddress address;
    return error == std::errc() && parsed == end && port > 0 && port <= maximumPort
        && Poco::Net::IPAddress::tryParse(host, address);
}

std::string readAddress(SettingsReader& reader, std::string const& key)
{
    auto text = reader.requiredText(key);
    if (!text.empty() && !isAddress(text))
        reader.report(key, "\"" + text + "\" is not an IP address with a port",
            "Write an address such as \"127.0.0.1:8101\"; host names are not resolved");
    return text;
}

std::vector<std::string> readAddresses(SettingsReader& reader, std::string const& key)
{
    std::vector<std::string> addresses;
    if (!reader.has(key))
        return addresses;
    for (auto const& entry : reader.array(key)) {
        if (entry.isString() && isAddress(entry.asString()))
            addresses.push_back(entry.asString());
        else
            reader.report(key, "An entry is not an IP address with a port",
                "Write addresses such as \"127.0.0.1:8101\"; host names are not resolved");
    }
    return addresses;
}

std::string readName(SettingsReader& reader, std::string const& key)
{
    auto text = reader.requiredText(key);
    bool const valid = std::all_of(text.begin(), text.end(), [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
            || (character >= '0' && character <= '9') || character == '-' || character == '_' || character == '.';
    });
    if (!valid)
        reader.report(key, "\"" + text + "\" is not a valid name", "Use letters, digits, '-', '_' and '.'");
    return text;
}

std::string readSettingsFile(std::string const& file)
{
    std::ifstream stream(file, std::ios::binary);
    if (!stream)
        throw SettingsError(ErrorKind::InvalidSettings,
            { { file, 0, "", "The file cannot be read", "Check the path of the settings file and its permissions" } });
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

} // namespace Toucan
