#pragma once

#include "Base/Clock.h"

#include <string>

namespace Toucan {

/// The bound on the requests of one limit over all nodes (docs/REQUIREMENTS.md, section 4): in every window at most
/// (rate x window + burst) x (1 + overshoot) + slack.
struct QuotaBounds {
    Milliseconds window { 5000 };
    double overshoot { 0.1 };
    /// Requests.
    double slack { 20 };

    bool operator==(QuotaBounds const&) const = default;
};

/// A limit that the whole fleet shares. `ratePerSecond` is above 0.
struct QuotaRule {
    double ratePerSecond { 0 };
    /// Requests.
    double burst { 0 };

    bool operator==(QuotaRule const&) const = default;

    /// Longest time from the issue of a token to its use.
    Milliseconds lifetime(QuotaBounds const& bounds) const;
    /// Tokens that all issuers together may issue beyond the rate, from full buckets and after restarts, so that the
    /// bound holds when a token is used within `lifetime` of its issue.
    double capacity(QuotaBounds const& bounds, Milliseconds lifetime) const;
    double capacity(QuotaBounds const& bounds) const { return this->capacity(bounds, this->lifetime(bounds)); }
    /// Largest number of requests in one window.
    double bound(QuotaBounds const& bounds) const;
};

/// A limit with its name, such as "workspace:NAME".
struct NamedQuota {
    std::string name;
    QuotaRule rule;
};

/// Name of the limit of a workspace.
inline std::string workspaceLimitName(std::string const& workspace) { return "workspace:" + workspace; }

} // namespace Toucan
