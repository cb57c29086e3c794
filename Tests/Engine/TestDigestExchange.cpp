#include "Engine/DigestExchange.h"

#include <map>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"

using namespace Toucan;

TEST_GROUP(DigestExchange)
{
    std::map<uint32_t, OwnershipRecord> records;
    std::vector<std::string> leaving;
    std::vector<OwnershipRecord> receivedRecords;
    std::vector<Json::Value> sent;
    DigestExchange exchange { hooks() };

    DigestExchange::Hooks hooks()
    {
        DigestExchange::Hooks result;
        result.self = [] { return Peer {}; };
        result.configurationVersion = [] { return uint64_t { 1 }; };
        result.ownership = [this]() -> std::map<uint32_t, OwnershipRecord> const& { return this->records; };
        result.memberEntries = [](size_t) { return std::vector<Peer> {}; };
        result.memberReceived = [](Peer const&) {};
        result.peerVersion = [](std::string const&, uint64_t) {};
        result.record = [this](OwnershipRecord const& record) { this->receivedRecords.push_back(record); };
        result.targetLeaving = [this](std::string const& target) { this->leaving.push_back(target); };
        result.send = [this](std::string const&, Json::Value&& frame) { this->sent.push_back(std::move(frame)); };
        return result;
    }
};

// Guards against a reader of the VM list that notifies all other nodes but continues to use the target itself.
TEST(DigestExchange, ReaderOfTheVmListIsNotifiedItself)
{
    exchange.setLeavingTargets({ "t1" }, 1000_ms);
    LONGS_EQUAL(1, leaving.size());
    STRCMP_EQUAL("t1", leaving[0].c_str());
}

// Guards against a new owner that waits for the expiry of a range that was released.
TEST(DigestExchange, RecordIsSentAtOnceAndNotAnswered)
{
    exchange.sendRecord("n2", { 3, "n1", 7, 100, 200, 9 });
    LONGS_EQUAL(1, sent.size());
    auto const frame = sent[0];
    exchange.receive("n1", frame, 1000_ms);
    LONGS_EQUAL(1, receivedRecords.size());
    LONGS_EQUAL(200, receivedRecords[0].until);
    LONGS_EQUAL(9, receivedRecords[0].revision);
    LONGS_EQUAL(1, sent.size());
}
