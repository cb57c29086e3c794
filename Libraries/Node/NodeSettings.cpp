#include "Node/NodeSettings.h"

#include "Configuration/SettingsReader.h"
#include "Configuration/SettingsText.h"
#include "Configuration/SettingsValues.h"
#include <algorithm>
#include <set>

namespace Toucan {

/// Ten minutes; a longer stop is an operator error.
constexpr uint64_t maximumStopMs = 600000;

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
        entry.reportUnknownKeys();
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
    auto const read = [&stop](char const* key, Milliseconds defaultValue) {
        auto const value = stop.integer(key, static_cast<uint64_t>(defaultValue.value), { 0, maximumStopMs });
        return Milliseconds { static_cast<double>(value) };
    };
    options.balancerLag = read("balancerLagMs", options.balancerLag);
    options.drain = read("drainMs", options.drain);
    stop.reportUnknownKeys();
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
    reader.reportUnknownKeys();
    settings.throwFaults(std::move(faults));
    // The list may be shared by all nodes and then contains this node.
    std::erase_if(options.peers, [&options](Peer const& peer) { return peer.name == options.name; });
    return options;
}

NodeOptions readNodeSettings(std::string const& file) { return parseNodeSettings(file, readSettingsFile(file)); }

} // namespace Toucan
