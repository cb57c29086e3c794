#include "Net/HttpClientPool.h"
#include "NetTestSupport.h"

#include <cstdlib>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"

using namespace Toucan;

/// Each seed takes about 0.5 s, most of it for the timeouts of the last exchanges.
static constexpr unsigned long defaultSeeds = 6;
static constexpr unsigned eventsPerSeed = 300;
static constexpr uint32_t maximumConnections = 3;

namespace {

struct TrackedExchange {
    std::string id;
    HttpExchangeHandle handle;
    bool allowed { true };
    bool cancelled { false };
    /// The exchange was cancelled or withdrawn before any byte of it arrived, so none may arrive later.
    bool mustNotArrive { false };
    bool arrived { false };
    int ends { 0 };
    HttpClientResult result;
};

/// The server's side of one connection.
struct TrackedPeer {
    RawPeer peer;
    size_t parsed { 0 };
    /// Id of the request that waits for its answer; empty when there is none.
    std::string outstanding {};
    /// The rest of an answer of which a part was sent.
    std::string remainder {};
    bool gone { false };
};

std::string answerTo(std::string const& id)
{
    auto const body = "body of " + id;
    return "HTTP/1.1 200 OK\r\n" + (id.empty() ? "" : "X-Id: " + id + "\r\n")
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

// clang-format off
/// Plays a seeded sequence of events on the connections to one server.
TEST_GROUP(ConnectionEvents)
{
    EventLoop loop;
    RawListener listener;
    std::unique_ptr<HttpClientPool> pool;
    std::vector<std::shared_ptr<TrackedExchange>> exchanges;
    std::vector<TrackedPeer> peers;
    std::mt19937_64 engine;
    uint32_t limit { maximumConnections };
    std::string history;

    void start(unsigned long seed)
    {
        this->engine.seed(seed);
        this->history = "seed " + std::to_string(seed) + ":";
        this->exchanges.clear();
        this->peers.clear();
        HttpClientPool::Limits limits;
        limits.idleTimeout = 30_ms;
        limits.connectTimeout = 100_ms;
        limits.maximumNewConnectionGrace = 20_ms;
        limits.unframedBody = HttpMessageReader::UnframedBody::UntilClose;
        this->pool = std::make_unique<HttpClientPool>(this->loop, limits);
        this->limit = maximumConnections;
    }
    void teardown() override { this->pool.reset(); }

    unsigned below(size_t end)
    {
        return static_cast<unsigned>(std::uniform_int_distribution<size_t>(0, end - 1)(this->engine));
    }
    void check(bool condition, std::string const& what)
    {
        if (!condition)
            FAIL((what + "; " + this->history).c_str());
    }

    void send()
    {
        auto const tracked = std::make_shared<TrackedExchange>();
        tracked->id = "x" + std::to_string(this->exchanges.size());
        this->history += " send " + tracked->id;
        HttpExchange exchange;
        exchange.head = Poco::Net::HTTPRequest("GET", "/" + tracked->id);
        exchange.timeout = Milliseconds { 10.0 + this->below(150) };
        exchange.repeat = this->below(2) ? HttpExchange::Repeat::Allowed : HttpExchange::Repeat::Forbidden;
        exchange.connection = this->below(3) ? HttpExchange::Connection::Any : HttpExchange::Connection::Fresh;
        exchange.whenBusy = this->below(4) ? HttpExchange::WhenBusy::Wait : HttpExchange::WhenBusy::Drop;
        exchange.maySend = [tracked] { return tracked->allowed; };
        exchange.isOwnResponse = [id = tracked->id](Poco::Net::HTTPResponse const& head, bool first) {
            return head.has("X-Id") ? head.get("X-Id") == id : first;
        };
        exchange.done = [tracked](HttpClientResult&& result) {
            ++tracked->ends;
            tracked->result = std::move(result);
        };
        this->exchanges.push_back(tracked);
        tracked->handle = this->pool->send(this->listener.address(), std::max(this->limit, 1U), std::move(exchange));
    }

    void receive()
    {
        for (auto& entry : this->peers) {
            if (entry.gone)
                continue;
            entry.peer.receive();
            auto& text = entry.peer.received;
            for (auto end = text.find("\r\n\r\n", entry.parsed); end != std::string::npos;
                 end = text.find("\r\n\r\n", entry.parsed)) {
                auto const first = text.find('/', entry.parsed) + 1;
                entry.outstanding = text.substr(first, text.find(' ', first) - first);
                entry.parsed = end + 4;
                auto const& exchange = this->exchanges.at(std::stoul(entry.outstanding.substr(1)));
                this->check(!exchange->mustNotArrive, entry.outstanding + " arrived after it was cancelled or withdrawn");
                exchange->arrived = true;
            }
        }
    }
    /// Lets everything that was sent arrive.
    void settle()
    {
        for (int turn = 0; turn < 3; ++turn) {
            this->loop.runOnce(0_ms);
            while (this->listener.hasConnection())
                this->peers.push_back({ this->listener.accept() });
            this->receive();
        }
        auto const open = this->pool->openConnections(this->listener.address());
        this->check(open <= maximumConnections, "too many connections are open");
    }

    std::shared_ptr<TrackedExchange> pickRunning()
    {
        std::vector<std::shared_ptr<TrackedExchange>> running;
        for (auto const& exchange : this->exchanges) {
            if (!exchange->ends && !exchange->cancelled)
                running.push_back(exchange);
        }
        return running.empty() ? nullptr : running[this->below(running.size())];
    }
    TrackedPeer* pickPeer(bool withRequest)
    {
        std::vector<TrackedPeer*> chosen;
        for (auto& entry : this->peers) {
            if (!entry.gone && !entry.peer.closed && entry.outstanding.empty() != withRequest)
                chosen.push_back(&entry);
        }
        return chosen.empty() ? nullptr : chosen[this->below(chosen.size())];
    }

    void forbid(TrackedExchange& exchange, char const* how)
    {
        this->history += std::string(" ") + how + " " + exchange.id;
        exchange.allowed = false;
        exchange.mustNotArrive = !exchange.arrived;
    }
    void answer(TrackedPeer& entry, size_t copies, bool part)
    {
        auto text = answerTo(entry.outstanding);
        for (size_t copy = 1; copy < copies; ++copy)
            text += answerTo(entry.outstanding);
        auto const size = part ? this->below(text.size()) : text.size();
        this->history += " answer " + entry.outstanding + " " + std::to_string(size);
        entry.peer.send(std::string_view(text).substr(0, size));
        entry.remainder = text.substr(size);
        entry.outstanding.clear();
    }
    void end(TrackedPeer& entry, bool resets)
    {
        this->history += resets ? " reset" : " close";
        entry.gone = true;
        entry.peer.socket.setLinger(resets, 0);
        entry.peer.socket.close();
    }

    void playOne()
    {
        this->settle();
        switch (this->below(16)) {
        case 0: case 1: case 2: case 3:
            this->send();
            break;
        case 4: case 5: case 6:
            if (auto* const entry = this->pickPeer(true))
                this->answer(*entry, 1, false);
            break;
        case 7:
            if (auto* const entry = this->pickPeer(true))
                this->answer(*entry, 1 + this->below(2), this->below(2) != 0);
            break;
        case 8:
            if (auto* const entry = this->pickPeer(false)) {
                this->history += entry->remainder.empty() ? " early" : " rest";
                entry->peer.send(entry->remainder.empty() ? answerTo("") : entry->remainder);
                entry->remainder.clear();
            }
            break;
        case 9:
            if (auto* const entry = this->pickPeer(this->below(2) != 0))
                this->end(*entry, this->below(2) != 0);
            break;
        case 10:
            if (auto const exchange = this->pickRunning()) {
                this->forbid(*exchange, "withdraw");
                if (this->below(2))
                    this->pool->withdrawUnsent(this->listener.address());
            }
            break;
        case 11:
            if (auto const exchange = this->pickRunning()) {
                this->forbid(*exchange, "cancel");
                exchange->cancelled = true;
                this->pool->cancel(this->listener.address(), exchange->handle);
            }
            break;
        case 12:
            this->limit = this->below(maximumConnections + 1);
            this->history += " limit " + std::to_string(this->limit);
            this->pool->setConnectionLimit(this->listener.address(), this->limit);
            break;
        case 13:
            this->history += " expect-resets";
            this->pool->expectResets(Clock::now() + 40_ms);
            break;
        case 14:
            this->pool->closeIdle(this->listener.address());
            break;
        default:
            this->history += " wait";
            runUntil(this->loop, Milliseconds { 1.0 + this->below(6) }, [] { return false; });
            break;
        }
    }

    void checkEnds()
    {
        runUntil(this->loop, 400_ms, [this] {
            this->receive();
            return !this->pickRunning();
        });
        this->settle();
        for (auto const& exchange : this->exchanges) {
            this->check(exchange->ends == (exchange->cancelled ? 0 : 1),
                exchange->id + " ended " + std::to_string(exchange->ends) + " times");
            if (exchange->cancelled || exchange->result.transport != HttpTransportStatus::Answered)
                continue;
            this->check(exchange->arrived, exchange->id + " was answered before it arrived");
            this->check(exchange->result.body == "body of " + exchange->id || exchange->result.body == "body of ",
                exchange->id + " got the answer " + exchange->result.body);
        }
    }
};
// clang-format on

// Guards against an order of events on a connection that reaches an exchange that is not there, ends one twice or
// never, answers one that was not sent, or sends one that was cancelled, withdrawn or has expired.
TEST(ConnectionEvents, EveryExchangeEndsOnceAndNoneIsSentAfterItsEnd)
{
    auto const* const text = std::getenv("TOUCAN_EVENT_SEEDS");
    auto const seeds = text ? std::stoul(text) : defaultSeeds;
    for (unsigned long seed = 1; seed <= seeds; ++seed) {
        this->start(seed);
        for (unsigned event = 0; event < eventsPerSeed; ++event)
            this->playOne();
        this->checkEnds();
        this->pool.reset();
    }
}
