#include "Succession/RelayRoster.h"

#include "Base/Error.h"
#include "Base/Json.h"

#include <algorithm>

namespace Toucan {

/// More slots than any deployment has; bounds the work on an entry of another writer.
constexpr Json::ArrayIndex maximumSlots = 64;

bool RelayRoster::isHolder(std::string_view address) const
{
    return !address.empty() && std::find(this->slots.begin(), this->slots.end(), address) != this->slots.end();
}

std::vector<std::string> RelayRoster::holders() const
{
    std::vector<std::string> result;
    for (auto const& address : this->slots) {
        if (!address.empty() && std::find(result.begin(), result.end(), address) == result.end())
            result.push_back(address);
    }
    return result;
}

static Json::Value writeAddresses(std::vector<std::string> const& addresses)
{
    Json::Value array(Json::arrayValue);
    for (auto const& address : addresses)
        array.append(address);
    return array;
}

std::string writeRelayRoster(RelayRoster const& roster)
{
    Json::Value document(Json::objectValue);
    document["term"] = Json::UInt64 { roster.term };
    document["slots"] = writeAddresses(roster.slots);
    for (auto const slot : roster.taken)
        document["taken"].append(Json::UInt64 { slot });
    if (roster.nodes > 0)
        document["nodes"] = roster.nodes;
    if (roster.claim) {
        document["claim"]["by"] = roster.claim->by;
        document["claim"]["lost"] = writeAddresses(roster.claim->lost);
    }
    return writeJson(document);
}

[[noreturn]] static void refuse(char const* field)
{
    throw Error(ErrorKind::InvalidInput, std::string("The field ") + field + " of the list of relays is not valid",
        "Remove the entry; the relays write it again");
}

static std::vector<std::string> readAddressList(Json::Value const& array, char const* field)
{
    if (!array.isArray() || array.size() > maximumSlots)
        refuse(field);
    std::vector<std::string> addresses;
    for (auto const& entry : array) {
        if (!entry.isString())
            refuse(field);
        addresses.push_back(entry.asString());
    }
    return addresses;
}

RelayRoster readRelayRoster(std::string_view text)
{
    auto const document = parseJson(text);
    if (!document.isObject() || !document["term"].isUInt64())
        refuse("term");
    RelayRoster roster { document["term"].asUInt64(), readAddressList(document["slots"], "slots") };
    if (roster.slots.empty())
        refuse("slots");
    if (auto const& taken = document["taken"]; !taken.isNull()) {
        if (!taken.isArray())
            refuse("taken");
        for (auto const& slot : taken) {
            if (!slot.isUInt() || slot.asUInt() >= roster.slots.size())
                refuse("taken");
            roster.taken.insert(slot.asUInt());
        }
    }
    if (auto const& nodes = document["nodes"]; !nodes.isNull()) {
        if (!nodes.isUInt())
            refuse("nodes");
        roster.nodes = nodes.asUInt();
    }
    if (auto const& claim = document["claim"]; !claim.isNull()) {
        if (!claim.isObject() || !claim["by"].isString())
            refuse("claim");
        roster.claim = RelayRoster::Claim { claim["by"].asString(), readAddressList(claim["lost"], "claim") };
    }
    return roster;
}

} // namespace Toucan
