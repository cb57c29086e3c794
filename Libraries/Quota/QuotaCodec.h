#pragma once

#include "Quota/QuotaMessages.h"

#include <string>
#include <string_view>

namespace Toucan {

/// JSON body {"configuration", "node", "relay", "asks": [{"limit", "waiting", "ahead", "demand"}]}.
std::string writeQuotaRequest(QuotaRequest const& request);
/// Throws Error of kind LimitExceeded when there are more asks than maximumQuotaAsks, and of kind InvalidInput when the
/// body cannot be read.
QuotaRequest readQuotaRequest(std::string_view body);

/// JSON body {"configuration", "grants": [{"limit", "tokens", "lifeMs", "demand", "rate", "retryAfterMs"}]}.
std::string writeQuotaAnswer(QuotaAnswer const& answer);
/// Throws Error of kind InvalidInput when the body cannot be read.
QuotaAnswer readQuotaAnswer(std::string_view body);

} // namespace Toucan
