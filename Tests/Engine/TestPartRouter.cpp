#include "Engine/DispatcherAssignment.h"
#include "Engine/PartRouter.h"

#include <set>

#include "CppUTest/TestHarness.h"

using namespace Toucan;

static ConfigurationPointer createConfiguration()
{
    auto configuration = std::make_shared<Configuration>();
    for (auto const* name : { "entry-1", "entry-2", "entry-3" })
        configuration->fleet.nodes[name] = { name, "wien-a" };
    configuration->fleet.dispatchersPerTarget = 2;
    ServiceDefinition service;
    service.name = "service";
    for (int number = 0; number < 20; ++number) {
        auto const name = "target-" + std::to_string(number);
        service.targets[name] = { name, "127.0.0.1:1", "wien-a", 2, 25, TargetIntent::Serving };
    }
    configuration->services["service"] = service;
    return configuration;
}

// clang-format off
TEST_GROUP(PartRouter)
{
    std::map<std::string, std::vector<PartRequest>> sent;
    std::map<std::string, std::vector<AttemptId>> cancels;
    std::vector<PartRequest> local;
    std::vector<PartResult> results;
    std::set<std::string> unusable;
    ConfigurationPointer configuration = createConfiguration();
    PartRouter router { hooks(), "entry-1" };

    PartRouter::Hooks hooks()
    {
        PartRouter::Hooks result;
        result.sendParts = [this](std::string const& peer, std::vector<PartRequest> const& parts) { this->sent[peer] = parts; };
        result.sendCancels = [this](std::string const& peer, std::vector<AttemptId> const& ids) { this->cancels[peer] = ids; };
        result.submitLocally = [this](PartRequest&& part) { this->local.push_back(std::move(part)); };
        result.cancelLocally = [](AttemptId const&) {};
        result.result = [this](PartResult&& part) { this->results.push_back(std::move(part)); };
        result.isUsable = [this](std::string const& node) { return !this->unusable.contains(node); };
        return result;
    }

    void setup() override { this->router.setConfiguration(this->configuration); }

    void sendAll()
    {
        for (int number = 0; number < 20; ++number) {
            PartRequest part;
            part.attempt = std::to_string(number);
            part.service = "service";
            part.target = "target-" + std::to_string(number);
            this->router.send(part);
        }
        this->router.flush();
    }
};
// clang-format on

// Guards against a part that is sent to a node which must not dial the target.
TEST(PartRouter, SendsEachPartToACandidate)
{
    this->sendAll();
    CHECK_EQUAL(20, this->sent["entry-2"].size() + this->sent["entry-3"].size() + this->local.size());
    for (auto const& [peer, parts] : this->sent) {
        for (auto const& part : parts) {
            auto const& target = this->configuration->services.at("service").targets.at(part.target);
            auto const names = dispatcherCandidates(this->configuration->fleet, target, "entry-1");
            CHECK(std::find(names.begin(), names.end(), peer) != names.end());
        }
    }
}

// Guards against queries that wait for a dead dispatcher until their deadline.
TEST(PartRouter, ReportsPartsInFlightAtALostPeer)
{
    this->sendAll();
    auto const atPeer = this->sent["entry-2"].size();
    CHECK(atPeer > 0);
    this->router.onPeerLost("entry-2");
    CHECK_EQUAL(atPeer, this->results.size());
    for (auto const& result : this->results)
        CHECK(result.status == PartStatus::ConnectionLost);
}

// Guards against reporting "not run" for a part that may have been sent, and "unknown" for one that was not.
TEST(PartRouter, UnsentPartsOfALostPeerDidNotRun)
{
    PartRequest part;
    part.service = "service";
    for (int number = 0; number < 20; ++number) {
        part.attempt = std::to_string(number);
        part.target = "target-" + std::to_string(number);
        this->router.send(part);
    }
    this->router.onPeerLost("entry-2");
    CHECK(!this->results.empty());
    for (auto const& result : this->results)
        CHECK(certainlyNotRun(result.status));
    this->router.flush();
    CHECK(!this->sent.contains("entry-2"));
}

// Guards against accepting a result from a node to which the part was not sent, or the same result twice.
TEST(PartRouter, DropsMisdirectedAndRepeatedResults)
{
    this->sendAll();
    PartResult result;
    result.attempt = this->sent["entry-2"].front().attempt;
    this->router.onPeerResult("entry-3", PartResult(result));
    CHECK_EQUAL(0, this->results.size());
    this->router.onPeerResult("entry-2", PartResult(result));
    this->router.onPeerResult("entry-2", PartResult(result));
    CHECK_EQUAL(1, this->results.size());
    CHECK_EQUAL(2, this->router.lateResults());
}

// Guards against targets that are unreachable because their first candidate is dead.
TEST(PartRouter, FailsOverToTheNextCandidate)
{
    this->unusable = { "entry-2" };
    this->sendAll();
    CHECK(!this->sent.contains("entry-2"));
    CHECK_EQUAL(20, this->sent["entry-3"].size() + this->local.size() + this->results.size());
}

// Guards against candidate lists that outlive a change of the roster, of a target's failure domain, or of its service.
TEST(PartRouter, FollowsChangesOfRosterAndFailureDomain)
{
    auto next = std::make_shared<Configuration>(*this->configuration);
    next->fleet.nodes["entry-4"] = { "entry-4", "wien-b" };
    next->fleet.nodes["entry-5"] = { "entry-5", "wien-b" };
    auto const expectCandidates = [&] {
        this->router.setConfiguration(std::make_shared<Configuration const>(*next));
        for (auto const& [name, target] : next->services.at("service").targets) {
            auto const names = dispatcherCandidates(next->fleet, target, "entry-1");
            bool const isCandidate = std::find(names.begin(), names.end(), "entry-1") != names.end();
            CHECK_EQUAL(isCandidate, this->router.isDispatcherCandidate("service", name));
        }
    };
    expectCandidates();
    for (auto& [name, target] : next->services["service"].targets)
        target.failureDomain = "wien-b";
    expectCandidates();
    for (auto& [name, target] : next->services["service"].targets)
        CHECK(!this->router.isDispatcherCandidate("service", name));
    next->fleet.dispatchersPerTarget = 5;
    expectCandidates();
    CHECK(this->router.isDispatcherCandidate("service", "target-0"));
    next->services["service"].targets.erase("target-0");
    expectCandidates();
    CHECK(!this->router.isDispatcherCandidate("service", "target-0"));
}

// Guards against an empty candidate list, cached for a part that named another service, that outlives the
// configuration version.
TEST(PartRouter, DropsAnEmptyCandidateListWithTheNextVersion)
{
    auto next = std::make_shared<Configuration>(*this->configuration);
    next->fleet.dispatchersPerTarget = 3;
    this->router.setConfiguration(std::make_shared<Configuration const>(*next));
    CHECK(!this->router.isDispatcherCandidate("other-service", "target-0"));
    this->router.setConfiguration(std::make_shared<Configuration const>(*next));
    CHECK(this->router.isDispatcherCandidate("service", "target-0"));
}

// Guards against parts that are sent to a new dispatcher before it may dial, while a previous one still serves.
TEST(PartRouter, SkipsDispatchersThatDoNotDialYet)
{
    auto delayedHooks = this->hooks();
    delayedHooks.isDialDelayed = [](std::string const& address, std::string const& node) {
        return address == "127.0.0.1:1" && node == "entry-2";
    };
    PartRouter other(delayedHooks, "entry-1");
    other.setConfiguration(this->configuration);
    for (int number = 0; number < 20; ++number) {
        PartRequest part;
        part.attempt = std::to_string(number);
        part.service = "service";
        part.target = "target-" + std::to_string(number);
        other.send(part);
    }
    other.flush();
    CHECK(!this->sent.contains("entry-2"));
    CHECK_EQUAL(20, this->sent["entry-3"].size() + this->local.size() + this->results.size());
}
