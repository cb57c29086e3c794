#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <json/value.h>
#include <memory>
#include <string>

namespace Toucan {

/// Stand-in for the platform: the part of etcd v3's JSON gateway that docs/design.md lists in section 3.3, `GET /vms`
/// with a lag, and `/control` for faults and counters. Serves on its own threads until it is destroyed.
class PlatformStandIn {
public:
    struct Options {
        /// IP address and port; port 0 takes a free one.
        std::string listen { "127.0.0.1:0" };
        /// Array of {"name","address","failureDomain","state"}; visible at once.
        Json::Value vms { Json::arrayValue };
        /// Time after which a new list of VMs is visible.
        Milliseconds vmListLag;
    };

    /// Throws Error of kind InvalidSettings when the address cannot be used, and of kind InvalidInput for a bad list of
    /// VMs.
    explicit PlatformStandIn(Options const& options);
    ~PlatformStandIn();

    /// IP address and port that are served.
    std::string endpoint() const;
    /// Same as POST /control. Members, each optional: "outage" (bool; connections are accepted and closed without an
    /// answer, and watches end), "delayMs" (added before each answer), "loseWriteAnswers" (number of
    /// successful transactions that take effect but get no answer), "vms" (new list, visible after the lag).
    /// Throws Error of kind InvalidInput.
    void control(Json::Value const& command);
    /// Same as GET /control: "reads", "writes", "watches", "vmReads", "duringOutage" (calls during outages),
    /// "waitingWatches" (open watches), "revision" (of the store), "peakPerSecond" (reads, writes, watches, vmReads)
    /// and "callsByClient" (IP address to calls).
    Json::Value counters() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Toucan
