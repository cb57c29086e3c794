#include "Node/NodeSettings.h"

#include "Configuration/SettingsReader.h"
#include "Configuration/SettingsText.h"
#include <Poco/Exception.h>
#include <Poco/Net/IPAddress.h>
#include <algorithm>
#include <charconv>
#include <fstream>
#include <set>
#include <sstream>

namespace Toucan {

/// Ten minutes; a longer stop is an error of the operator.
constexpr uint64_t longestStopMs = 600000;
constexpr uint32_t mostPorts = 65535;

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
    return error == std::errc() && parsed == end && port > 0 && port <= mostPorts
        && Poco::Net::IPAddress::tryParse(host, address);
}

static std::string readAddress(SettingsReader& reader, std::string const& key)
{
    auto text = reader.requiredText(key);
    if (!text.empty() && !isAddress(text))
        reader.report(key, "\"" + text + "\" is not an IP address with a port",
            "Write an address such as \"127.0.0.1:8101\"; host names are not resolved");
    return text;
}

static std::string readName(SettingsReader& reader, std::string const& key)
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

static std::vector<Peer> readPeers(SettingsReader& reader, std::vector<SettingsFault>& faults)
{
    std::vector<Peer> peers;
    std::set<std::string> names;
    if (!reader.has("peers"))
        return peers;
    auto const& list = reader.array("peers");
    for (Json::ArrayIndex index = 0; index < list.size(); ++index) {
        SettingsReader entry(list[index], appendToPointer(reader.pathOf("peers"), size_t { index }), faults);
        Peer peer;
        peer.name = readName(entry, "name");
        peer.address = readAddress(entry, "address");
        entry.refuseUnknownKeys();
        if (!peer.name.empty() && !names.insert(peer.name).second)
            entry.report("name", "The peer \"" + peer.name + "\" is listed twice", "Remove one of the entries");
        peers.push_back(std::move(peer));
    }
    return peers;
}

static void readStop(SettingsReader& reader, std::vector<SettingsFault>& faults, NodeOptions& options)
{
    if (!reader.has("stop"))
        return;
    SettingsReader stop(reader.object("stop"), reader.pathOf("stop"), faults);
    auto const read = [&stop](char const* key, Milliseconds byDefault) {
        auto const value = stop.integer(key, static_cast<uint64_t>(byDefault.value), { 0, longestStopMs });
        return Milliseconds { static_cast<double>(value) };
    };
    options.balancerLag = read("balancerLagMs", options.balancerLag);
    options.drain = read("drainMs", options.drain);
    stop.refuseUnknownKeys();
}

static void refuseEqualListeners(SettingsReader& reader, NodeOptions const& options)
{
    if (!options.peerListen.empty() && options.peerListen == options.callerListen)
        reader.report("peerListen", "The address is the same as callerListen", "Give each listener its own port");
    if (!options.adminListen.empty()
        && (options.adminListen == options.callerListen || options.adminListen == options.peerListen))
        reader.report("adminListen", "The address is the same as another listener", "Give each listener its own port");
}

NodeOptions parseNodeSettings(std::string const& file, std::string_view text)
{
    auto const settings = SettingsText::create(file, text);
    std::vector<SettingsFault> faults;
    SettingsReader reader(settings.root(), "", faults);
    NodeOptions options;
    options.name = readName(reader, "name");
    options.failureDomain = readName(reader, "failureDomain");
    options.callerListen = readAddress(reader, "callerListen");
    options.peerListen = readAddress(reader, "peerListen");
    options.peerAdvertise = reader.has("peerAdvertise") ? readAddress(reader, "peerAdvertise") : options.peerListen;
    options.adminListen = readAddress(reader, "adminListen");
    options.store = readAddress(reader, "store");
    options.vmList = readAddress(reader, "vmList");
    options.peers = readPeers(reader, faults);
    readStop(reader, faults, options);
    refuseEqualListeners(reader, options);
    reader.refuseUnknownKeys();
    settings.refuse(std::move(faults));
    // A list that is shared by all nodes names this node too.
    std::erase_if(options.peers, [&options](Peer const& peer) { return peer.name == options.name; });
    return options;
}

NodeOptions readNodeSettings(std::string const& file)
{
    std::ifstream stream(file, std::ios::binary);
    if (!stream)
        throw SettingsError(ErrorKind::InvalidSettings,
            { { file, 0, "", "The file cannot be read", "Check the path given with --settings and its permissions" } });
    std::ostringstream text;
    text << stream.rdbuf();
    return parseNodeSettings(file, text.str());
}

} // namespace Toucan
