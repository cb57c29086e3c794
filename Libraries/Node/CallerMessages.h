#pragma once

#include "Engine/Messages.h"
#include "Net/HttpServerSession.h"

#include <Poco/Net/HTTPResponse.h>
#include <stdexcept>
#include <string>
#include <utility>

namespace Toucan {

/// A caller's request that is refused before it reaches the engine. Its outcome is always reported as "not run",
/// because the request led to no attempt.
class RefusedRequest : public std::runtime_error {
public:
    RefusedRequest(int status, Problem problem, std::string requestId = {})
        : std::runtime_error(problem.detail)
        , status(status)
        , problem(std::move(problem))
        , requestId(std::move(requestId))
    {
    }

    int status;
    Problem problem;
    std::string requestId;
};

/// Codec of the caller interface (docs/design.md, section 3.1).
namespace CallerMessages {

    /// Checks path, method, headers and body. Throws RefusedRequest. `fallbackRequestId` is used when the caller gave
    /// no Toucan-Request-Id.
    CallerRequest parse(HttpServerRequest const& request, std::string const& fallbackRequestId, Milliseconds now);

    /// Fills in the head and returns the body: the answer, or problem details (RFC 9457).
    std::string write(CallerAnswer const& answer, Poco::Net::HTTPResponse& head);
    std::string write(RefusedRequest const& refused, Poco::Net::HTTPResponse& head);
    /// Problem details for a request that was not valid HTTP.
    std::string write(HttpError const& error, Poco::Net::HTTPResponse& head);

} // namespace CallerMessages

} // namespace Toucan
