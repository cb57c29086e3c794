#include "Base/BoundedRing.h"
#include "Base/Json.h"
#include "Bench/PlatformStandIn.h"
#include "Configuration/ConfigurationParts.h"
#include "Node/WatchThread.h"
#include "Platform/StoreClient.h"

#include <chrono>
#include <optional>
#include <thread>

#include "CppUTest/TestHarness.h"

using namespace Toucan;

TEST_GROUP(WatchThread)
{
    PlatformStandIn platform { PlatformStandIn::Options {} };
    StoreClient client { platform.endpoint(), 1000_ms };
    BoundedRing<StoreReply> replies { 4 };
    WatchThread thread { WatchThread::Options { platform.endpoint(), 500_ms },
        [this](StoreReply&& reply) { return this->replies.tryPush(reply); } };

    void control(char const* command) { platform.control(parseJson(command)); }

    void apply(uint64_t version)
    {
        std::string const hash = "h" + std::to_string(version);
        ConfigurationRoot const root { version, "change", "anna", { 1 }, { { "classes", "h0" }, { "rules", hash } } };
        CHECK(client.transact({},
            { { "configuration/parts/h0", "[]" }, { "configuration/parts/" + hash, "{}" },
                { "configuration/root", writeRoot(root) } }));
    }

    /// Next reply with a version; empty when none arrives within the timeout.
    std::optional<ConfigurationUpdate> nextUpdate(Milliseconds timeout = 5000_ms)
    {
        auto const end = Clock::now() + timeout;
        StoreReply reply;
        while (Clock::now() < end) {
            if (replies.tryPop(reply)) {
                if (reply.update)
                    return reply.update;
                continue;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        return std::nullopt;
    }

    bool waitForWatches(uint64_t count)
    {
        auto const end = Clock::now() + 5000_ms;
        while (Clock::now() < end) {
            if (platform.counters()["waitingWatches"].asUInt64() == count)
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        return false;
    }
};

TEST(WatchThread, SendsEachNewVersionWithAllParts)
{
    apply(1);
    thread.setWatching(true);
    CHECK_EQUAL(1, nextUpdate()->root.version);
    CHECK(waitForWatches(1));
    auto const readsBefore = platform.counters()["reads"].asUInt64();
    auto const start = Clock::now();
    apply(2);
    auto const update = nextUpdate();
    CHECK(Clock::now() - start < 500_ms);
    CHECK_EQUAL(2, update->root.version);
    CHECK_EQUAL(2, update->parts.size());
    // Only the changed part was read.
    CHECK_EQUAL(1, platform.counters()["reads"].asUInt64() - readsBefore);
}

// Guards against a first version that is missed because there was no root when the watch began.
TEST(WatchThread, SendsTheFirstVersion)
{
    thread.setWatching(true);
    CHECK(waitForWatches(1));
    apply(1);
    CHECK_EQUAL(1, nextUpdate()->root.version);
}

TEST(WatchThread, WatchesOnlyWhileEnabled)
{
    apply(1);
    CHECK(!nextUpdate(200_ms).has_value());
    thread.setWatching(true);
    CHECK(nextUpdate().has_value());
    CHECK(waitForWatches(1));
    thread.setWatching(false);
    CHECK(waitForWatches(0));
    apply(2);
    CHECK(!nextUpdate(300_ms).has_value());
    thread.setWatching(true);
    CHECK_EQUAL(2, nextUpdate()->root.version);
}

// Guards against missing a change that was applied while the watch was interrupted.
TEST(WatchThread, SendsAfterAnOutageWhatChangedDuringIt)
{
    apply(1);
    thread.setWatching(true);
    CHECK_EQUAL(1, nextUpdate()->root.version);
    CHECK(waitForWatches(1));
    control(R"({"outage":true})");
    CHECK(waitForWatches(0));
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    CHECK(platform.counters()["duringOutage"].asUInt64() <= 8);
    control(R"({"outage":false})");
    apply(2);
    CHECK_EQUAL(2, nextUpdate()->root.version);
}

TEST(WatchThread, StopsWithinASecondDuringASilentWatchAndWithAFullRing)
{
    apply(1);
    thread.setWatching(true);
    CHECK(waitForWatches(1));
    for (uint64_t version = 2; version < 10; ++version)
        apply(version);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    CHECK_EQUAL(4, replies.size());
    auto const start = Clock::now();
    thread.stop();
    CHECK(Clock::now() - start < 1000_ms);
}
