#pragma once

#include "Gateway/ShardOutlook.h"

#include <functional>
#include <span>
#include <vector>

namespace Toucan {

/// Decides which parts of a scattered request are omitted before they are sent, because the targets of their shards are
/// overloaded. Load: a shard has lost replicas, and the others can't take all of its requests; without omissions they
/// queue until none of the parts is in time. As in random early detection (RFC 7567), the omitted share grows with the
/// length of the queue, so that the nodes reduce the load without coordination and not all at once.
class PartAdmission {
public:
    /// `random` returns numbers in [0, 1).
    explicit PartAdmission(std::function<double()> random);

    /// Indices of the shards whose parts are omitted, those with the longest queues first. Together with the parts of
    /// other shards that are expected to fail they are at most `allowance`.
    std::vector<size_t> omit(std::span<ShardOutlook const> shards, size_t allowance) const;

private:
    std::function<double()> random;
};

} // namespace Toucan
