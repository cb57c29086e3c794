#include "Platform/VmListClient.h"

#include "Base/Error.h"
#include "Base/Json.h"
#include "Platform/HttpExchange.h"

namespace Toucan {

static VmEntry parseVmEntry(Json::Value const& value)
{
    auto const text = [&value](char const* member) {
        if (!value.isObject() || !value[member].isString())
            throw Error(ErrorKind::ProtocolViolation, std::string("VM entry without text member '") + member + "'",
                "Check that the endpoint serves the list of VMs");
        return value[member].asString();
    };
    VmEntry entry;
    entry.name = text("name");
    entry.address = text("address");
    entry.failureDomain = text("failureDomain");
    entry.state = text("state") == "leaving" ? VmEntry::State::Leaving : VmEntry::State::Live;
    return entry;
}

std::vector<VmEntry> readVmList(std::string const& endpoint, Milliseconds timeout)
{
    Poco::Net::HTTPClientSession session;
    configureSession(session, endpoint, timeout);
    Poco::Net::HTTPResponse response;
    auto const deadline = Clock::now() + timeout;
    std::istream& stream = exchange(session, "GET", "/vms", {}, response);
    std::string const body = readBody(session, stream, response, deadline);
    Json::Value list;
    try {
        list = parseJson(body);
    } catch (Error const& error) {
        throw Error(ErrorKind::ProtocolViolation, error.detail(), "Check that the endpoint serves the list of VMs");
    }
    if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK || !list.isArray())
        throw Error(ErrorKind::ProtocolViolation,
            "GET /vms gave status " + std::to_string(response.getStatus()) + " and no array",
            "Check that the endpoint serves the list of VMs");
    std::vector<VmEntry> entries;
    entries.reserve(list.size());
    for (auto const& value : list)
        entries.emplace_back(parseVmEntry(value));
    return entries;
}

} // namespace Toucan
