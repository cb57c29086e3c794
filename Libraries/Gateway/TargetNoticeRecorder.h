#pragma once

#include "Gateway/GatewayContext.h"

#include <string>

namespace Toucan {

/// The attempt on whose connection a response arrived.
struct NoticeSource {
    TargetDirectory::TargetPointer target;
    std::string const& requestId;
    /// Time at which the target was chosen.
    Milliseconds chosenAt;
};

/// Records what the target says about further requests in the head of a response, whether or not the response answers
/// the request of the attempt.
void recordNotice(GatewayContext& context, NoticeSource const& source, Poco::Net::HTTPResponse const& head);

} // namespace Toucan
