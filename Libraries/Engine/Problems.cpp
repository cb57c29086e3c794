#include "Engine/Problems.h"

namespace Toucan {

Refusal deadlineExceeded()
{
    return { 504,
        { "deadline-exceeded", "Deadline exceeded", "Not enough parts arrived before the deadline.",
            "Allow more time, or lower minimumCoverage in the service's rule." } };
}

Refusal unknownService(std::string const& service)
{
    return { 404,
        { "unknown-service", "Unknown service", "The configuration has no service named " + service + ".",
            "Check the service name in the path." } };
}

Refusal notReady()
{
    return { 503,
        { "not-ready", "Not ready", "This node has no configuration yet.", "Retry the request at another node." } };
}

Refusal noUsableReplica()
{
    return { 503,
        { "no-usable-replica", "No usable replica", "No snapshot has a usable replica of enough shards.",
            "Retry later, and check the state of the service's targets with tgctl status." } };
}

Refusal partFailed(PartStatus status)
{
    switch (status) {
    case PartStatus::Refused:
    case PartStatus::ExpiredInQueue:
    case PartStatus::Shed:
        return { 503,
            { "overloaded", "Overloaded", "The targets have no capacity for this request before its deadline.",
                "Retry later with back-off." } };
    case PartStatus::SnapshotUnavailable:
        return { 503,
            { "snapshot-gone", "Snapshot gone", "No replica of a shard holds the snapshot any more.",
                "Retry the request." } };
    case PartStatus::ConnectFailed:
    case PartStatus::NoDispatcher:
        return { 503,
            { "target-unreachable", "Target unreachable", "No replica of a shard could be reached.",
                "Retry later, and check the state of the service's targets with tgctl status." } };
    case PartStatus::DeadlineExceeded:
        return deadlineExceeded();
    default:
        return { 502,
            { "target-failed", "Target failed", "A target gave no usable answer.",
                "Retry the request; if it fails again, check the targets' logs." } };
    }
}

} // namespace Toucan
