#include "Base/Hash.h"
#include "Base/Json.h"
#include "Bench/PlatformStandIn.h"
#include "Node/ControlThread.h"
#include "Node/OwnershipStore.h"
#include "Platform/StoreClient.h"

#include <chrono>
#include <optional>
#include <thread>

#include "CppUTest/TestHarness.h"

using namespace Toucan;

static ControlThread::Options controlOptions(std::string const& endpoint)
{
    ControlThread::Options options;
    options.store = endpoint;
    options.vmList = endpoint;
    return options;
}

TEST_GROUP(ControlThread)
{
    PlatformStandIn platform { PlatformStandIn::Options {} };
    StoreClient client { platform.endpoint(), 1000_ms };
    BoundedRing<StoreReply> replies { 4 };
    ControlThread thread { controlOptions(platform.endpoint()),
        [this](StoreReply&& reply) { return this->replies.tryPush(reply); } };

    void control(char const* command) { platform.control(parseJson(command)); }

    static StoreRequest createRequest(StoreRequest::Kind kind)
    {
        StoreRequest request;
        request.kind = kind;
        return request;
    }

    static StoreRequest createWrite(uint32_t range, uint64_t until, uint64_t expectedRevision)
    {
        StoreRequest request = createRequest(StoreRequest::Kind::WriteOwnership);
        request.record = { range, "n1", 7, 1000, until, 0 };
        request.expectedRevision = expectedRevision;
        return request;
    }

    std::optional<StoreReply> nextReply(Milliseconds timeout = 4000_ms)
    {
        auto const end = Clock::now() + timeout;
        StoreReply reply;
        while (Clock::now() < end) {
            if (replies.tryPop(reply))
                return reply;
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        return std::nullopt;
    }
};

TEST(ControlThread, WritesAndReadsOwnership)
{
    thread.request(createWrite(3, 2000, 0));
    auto const written = nextReply();
    CHECK(written.has_value());
    CHECK(written->kind == StoreRequest::Kind::WriteOwnership);
    CHECK_EQUAL(3, written->range);
    CHECK(written->writeResult == KeyOwner::WriteResult::Accepted);
    CHECK(written->current->revision == client.get("ownership/3")->revision);
    // The revision of an accepted write is known without a read.
    CHECK_EQUAL(1, platform.counters()["reads"].asUInt64());
    STRCMP_EQUAL(
        R"({"from":1000,"incarnation":7,"owner":"n1","until":2000})", client.get("ownership/3")->value.c_str());
    thread.request(createRequest(StoreRequest::Kind::ReadOwnership));
    auto const read = nextReply();
    CHECK(read->reachable);
    CHECK_EQUAL(1, read->records.size());
    CHECK_EQUAL(3, read->records[0].range);
    CHECK_EQUAL(2000, read->records[0].until);
    CHECK_EQUAL(written->current->revision, read->records[0].revision);
}

// Guards against two owners of one range.
TEST(ControlThread, ConflictBringsTheCurrentRecord)
{
    CHECK(client.transact({}, { { "ownership/3", R"({"owner":"n2","incarnation":1,"from":5,"until":6})" } }));
    thread.request(createWrite(3, 2000, 0));
    auto const reply = nextReply();
    CHECK(reply->writeResult == KeyOwner::WriteResult::Conflict);
    STRCMP_EQUAL("n2", reply->current->owner.c_str());
    CHECK_EQUAL(client.get("ownership/3")->revision, reply->current->revision);
}

// Guards against a range that is released, or claimed twice, because the answer to an accepted write was lost.
TEST(ControlThread, LostAnswerIsReadBack)
{
    control(R"({"loseWriteAnswers":1})");
    thread.request(createWrite(3, 2000, 0));
    auto const reply = nextReply();
    CHECK(reply->writeResult == KeyOwner::WriteResult::Accepted);
    CHECK_EQUAL(client.get("ownership/3")->revision, reply->current->revision);
}

TEST(ControlThread, OutageGivesUnknownUntilItEnds)
{
    control(R"({"outage":true})");
    thread.request(createWrite(3, 2000, 0));
    CHECK(nextReply()->writeResult == KeyOwner::WriteResult::Unknown);
    thread.request(createRequest(StoreRequest::Kind::ReadOwnership));
    CHECK(!nextReply()->reachable);
    control(R"({"outage":false})");
    thread.request(createWrite(3, 2000, 0));
    CHECK(nextReply()->writeResult == KeyOwner::WriteResult::Accepted);
}

// Guards against a burst of calls during and after an outage. In 6 s with delays that grow to 2 s (at least 1 s with
// jitter), there are at most 12 attempts of at most 2 calls each.
TEST(ControlThread, CallsDuringAnOutageAreFew)
{
    // Delays and duration are a tenth of the real ones.
    auto options = controlOptions(platform.endpoint());
    options.backoffDelays = { options.backoffDelays.initial * 0.1, options.backoffDelays.maximum * 0.1 };
    ControlThread fastThread(options, [this](StoreReply&& reply) { return this->replies.tryPush(reply); });
    control(R"({"outage":true})");
    auto const end = Clock::now() + 600_ms;
    while (Clock::now() < end) {
        fastThread.request(createRequest(StoreRequest::Kind::ReadOwnership));
        CHECK(nextReply().has_value());
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    CHECK(platform.counters()["duringOutage"].asUInt64() >= 3);
    CHECK(platform.counters()["duringOutage"].asUInt64() <= 24);
}

TEST(ControlThread, LaterWriteOfARangeReplacesOneThatWaits)
{
    control(R"({"outage":true})");
    // After three failures the backoff, during which both writes wait, is at least 200 ms long.
    for (size_t failure = 0; failure < 3; ++failure) {
        thread.request(createWrite(1, 2000, 0));
        CHECK(nextReply()->writeResult == KeyOwner::WriteResult::Unknown);
    }
    control(R"({"outage":false})");
    thread.request(createWrite(3, 2000, 0));
    thread.request(createWrite(3, 3000, 0));
    CHECK(nextReply()->writeResult == KeyOwner::WriteResult::Accepted);
    CHECK(!nextReply(200_ms).has_value());
    CHECK_EQUAL(3000, OwnershipStore::decode(*client.get("ownership/3"))->until);
}

TEST(ControlThread, ReadsConfigurationWithoutKnownParts)
{
    thread.request(createRequest(StoreRequest::Kind::ReadConfiguration));
    auto const none = nextReply();
    CHECK(none->reachable);
    CHECK(!none->update.has_value());
    ConfigurationRoot root { 4, "change", "anna", { 1 }, { { "classes", "h1" }, { "rules", "h2" } } };
    CHECK(client.transact({},
        { { "configuration/parts/h1", "[1]" }, { "configuration/parts/h2", "{}" },
            { "configuration/root", writeRoot(root) } }));
    StoreRequest request = createRequest(StoreRequest::Kind::ReadConfiguration);
    request.knownHashes = { "h1" };
    thread.request(std::move(request));
    auto const reply = nextReply();
    CHECK_EQUAL(4, reply->update->root.version);
    CHECK_EQUAL(1, reply->update->parts.size());
    STRCMP_EQUAL("{}", reply->update->parts.at("h2").c_str());
}

// Guards against an invalid root that blocks all other calls.
TEST(ControlThread, UnusableRootDoesNotDelayOwnership)
{
    CHECK(client.transact({}, { { "configuration/root", "not json" } }));
    thread.request(createRequest(StoreRequest::Kind::ReadConfiguration));
    auto const reply = nextReply();
    CHECK(reply->reachable);
    CHECK(!reply->update.has_value());
    auto const start = Clock::now();
    thread.request(createWrite(3, 2000, 0));
    CHECK(nextReply()->writeResult == KeyOwner::WriteResult::Accepted);
    CHECK(Clock::now() - start < 500_ms);
}

TEST(ControlThread, ReadsTheVmList)
{
    control(R"({"vms":[{"name":"a","address":"127.0.0.1:1","failureDomain":"d","state":"leaving"}]})");
    thread.request(createRequest(StoreRequest::Kind::ReadVmList));
    auto const reply = nextReply();
    CHECK(reply->reachable);
    CHECK_EQUAL(1, reply->vms.size());
    CHECK(reply->vms[0].state == VmEntry::State::Leaving);
}

// Guards against replies that are lost when the engine is slow.
TEST(ControlThread, WaitsWhileTheReplyRingIsFull)
{
    for (uint32_t range = 0; range < 10; ++range)
        thread.request(createWrite(range, 2000, 0));
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    CHECK_EQUAL(4, replies.size());
    for (uint32_t range = 0; range < 10; ++range)
        CHECK_EQUAL(range, nextReply()->range);
}

// Guards against a planned stop that waits for the store.
TEST(ControlThread, StopsWithinASecondDuringASlowWriteWithAFullRing)
{
    for (uint32_t range = 0; range < 5; ++range)
        thread.request(createWrite(range, 2000, 0));
    control(R"({"delayMs":5000})");
    for (uint32_t range = 5; range < 10; ++range)
        thread.request(createWrite(range, 2000, 0));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    auto const start = Clock::now();
    thread.stop();
    CHECK(Clock::now() - start < 1000_ms);
}

TEST(ControlThread, UndecodableRecordsAreLeftOut)
{
    CHECK_EQUAL(false,
        OwnershipStore::decode({ "ownership/x", R"({"owner":"a","incarnation":1,"from":1,"until":1})", 1 })
            .has_value());
    CHECK_EQUAL(
        false, OwnershipStore::decode({ "ownership/1", R"({"owner":"a","incarnation":1,"from":1})", 1 }).has_value());
    CHECK_EQUAL(false, OwnershipStore::decode({ "ownership/1", "", 1 }).has_value());
    CHECK_EQUAL(true,
        OwnershipStore::decode({ "ownership/1", R"({"owner":"a","incarnation":1,"from":1,"until":1,"new":0})", 1 })
            .has_value());
}
