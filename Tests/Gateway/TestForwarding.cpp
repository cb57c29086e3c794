#include "../Net/NetTestSupport.h"
#include "Gateway/Gateway.h"
#include "Net/HttpClientPool.h"
#include "Net/HttpServer.h"
#include "StrictMessage.h"

#include <cstdlib>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"

using namespace Toucan;

/// Each run takes about 0.4 ms.
static constexpr unsigned long defaultRuns = 1500;
static constexpr unsigned long defaultSeed = 1;
static constexpr Milliseconds exchangeTime { 500 };

/// Fields that the gateway sets itself or that concern one connection (RFC 9110, section 7.6.1).
static std::set<std::string> const ownedFields { "connection", "keep-alive", "proxy-connection", "proxy-authenticate",
    "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "expect", "content-length",
    "toucan-deadline-ms", "toucan-expect-target" };

namespace {

/// Generates messages with every octet that RFC 9110 and 9112 allow.
class MessageGenerator {
public:
    explicit MessageGenerator(unsigned long seed)
        : engine(seed)
    {
    }

    unsigned below(unsigned end) { return std::uniform_int_distribution<unsigned>(0, end - 1)(this->engine); }
    bool chance(double share) { return std::bernoulli_distribution(share)(this->engine); }

    std::string request()
    {
        static std::vector<std::string> const methods { "GET", "POST", "PUT", "DELETE", "HEAD", "OPTIONS", "BREW!" };
        return methods[this->below(static_cast<unsigned>(methods.size()))] + " /fetch/" + this->octets(20, 0x21)
            + " HTTP/1.1\r\nHost: front.example\r\nToucan-Request-Id: " + this->id() + "\r\n" + this->fields()
            + this->bodyAndItsFields(this->chance(0.5));
    }

    std::string response(std::string const& id, bool noBody)
    {
        static std::vector<std::string> const statuses { "200 OK", "201 ", "404 Not there",
            "409 \xe4 =?utf-8?Q?=0D=0A?=" };
        return "HTTP/1.1 " + statuses[this->below(static_cast<unsigned>(statuses.size()))] + "\r\nToucan-Request-Id: "
            + id + "\r\nToucan-Signature: s1\r\n" + this->fields() + (noBody ? "\r\n" : this->bodyAndItsFields(true));
    }

    std::string mutate(std::string text)
    {
        for (unsigned count = this->below(3); count > 0; --count) {
            auto const position = this->below(static_cast<unsigned>(text.size()));
            static std::string const characters("\r\n\0 :\t,;=\x7f\x0b\x85", 12);
            if (this->chance(0.5))
                text.insert(position, 1, characters[this->below(static_cast<unsigned>(characters.size()))]);
            else
                text.erase(position, 1);
        }
        return text;
    }

private:
    std::string id() { return "r" + std::to_string(this->below(1000000)); }

    std::string octets(unsigned most, unsigned lowest)
    {
        std::string text;
        for (unsigned count = this->below(most); count > 0; --count) {
            auto code = lowest + this->below(0x100 - lowest);
            if (code == 0x7f)
                code = 'a';
            text += static_cast<char>(code);
        }
        return text;
    }

    std::string value()
    {
        switch (this->below(6)) {
        case 0:
            return "";
        case 1:
            return "=?utf-8?Q?a=0D=0AContent-Length=3A=200=0D=0A=0D=0A?=" + this->octets(9, 0x20);
        case 2:
            return "=?iso-8859-1?B?YQ0KDQpHRVQgLyBIVFRQLzEuMQ0K?=";
        case 3:
            return std::string(this->below(9000), 'v');
        case 4:
            return "a \t b, \"c\\\"\" (d)";
        default:
            return this->octets(60, 0x20);
        }
    }

    std::string fields()
    {
        static std::vector<std::string> const names { "X-A", "x-a", "X-B", "Cookie", "Accept", "X-!#$%&'*+-.^_`|~1",
            "Content-Type", "Vary" };
        std::string text;
        for (unsigned count = this->below(8); count > 0; --count)
            text += names[this->below(static_cast<unsigned>(names.size()))] + ":" + (this->chance(0.8) ? " " : "")
                + this->value() + (this->chance(0.2) ? " \t" : "") + "\r\n";
        if (this->chance(0.2))
            text += "Connection: X-Hop\r\nX-Hop: 1\r\n";
        if (this->chance(0.1))
            text += "Connection: X-Second\r\nConnection: X-Third,X-B\r\nX-Second: 1\r\nX-Third: 1\r\n";
        return text;
    }

    std::string bodyAndItsFields(bool hasBody)
    {
        if (!hasBody)
            return "\r\n";
        auto body = this->chance(0.3) ? std::string("GET /fetch/2 HTTP/1.1\r\nHost: front.example\r\n\r\n")
                                      : this->octets(200, 0);
        if (this->chance(0.5))
            return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        std::string text = "Transfer-Encoding: chunked\r\n\r\n";
        while (!body.empty()) {
            auto const size = 1 + this->below(static_cast<unsigned>(body.size()));
            char hexadecimal[16];
            std::snprintf(hexadecimal, sizeof hexadecimal, "%x", size);
            text += hexadecimal + std::string(this->chance(0.2) ? ";x=\"y\"" : "") + "\r\n" + body.substr(0, size)
                + "\r\n";
            body.erase(0, size);
        }
        return text + "0\r\n\r\n";
    }

    std::mt19937_64 engine;
};

unsigned long numberFromEnvironment(char const* name, unsigned long otherwise)
{
    auto const* const text = std::getenv(name);
    return text ? std::stoul(text) : otherwise;
}

} // namespace

// clang-format off
/// Caller's session, gateway and client pool as in a node; the test is the caller and the target.
TEST_GROUP(Forwarding)
{
    EventLoop loop;
    RawListener target;
    std::unique_ptr<HttpClientPool> pool;
    std::unique_ptr<Gateway> gateway;
    std::unique_ptr<HttpServer> server;
    std::string description;

    void setup() override
    {
        this->pool = std::make_unique<HttpClientPool>(this->loop, HttpClientPool::Limits { .sizes = { 131072, 131072 } });
        GatewayHooks hooks;
        hooks.now = [] { return Clock::now(); };
        hooks.random = [] { return 0.5; };
        hooks.log = [](std::string const&) {};
        hooks.schedule = [this](Milliseconds at, std::function<void()> task) -> Canceller {
            return [this, timer = this->loop.schedule(at, std::move(task))] { this->loop.cancel(timer); };
        };
        hooks.connectionShare = [](uint32_t) { return 1U; };
        hooks.closeIdle = [](std::string const&) {};
        hooks.send = [this](AttemptMessage&& message, std::function<void(AttemptReply&&)> done) -> Canceller {
            HttpExchange exchange;
            exchange.head = message.head;
            exchange.body = message.body;
            exchange.timeout = exchangeTime;
            exchange.connection = HttpExchange::Connection::Fresh;
            exchange.done = [done = std::move(done)](HttpClientResult&& result) {
                auto const answered = result.transport == HttpTransportStatus::Answered;
                done({ answered ? AttemptReply::Transport::Answered : AttemptReply::Transport::Broken, result.head,
                    std::move(result.body), {}, {} });
            };
            this->pool->send(message.address, message.connections, std::move(exchange));
            return [] {};
        };
        this->gateway = std::make_unique<Gateway>(Gateway::Options { .failureDomain = "a" }, std::move(hooks));
        Route route;
        route.name = "fetch";
        route.host = "front.example";
        route.pathPrefix = "/fetch/";
        route.timeout = exchangeTime;
        route.objective = exchangeTime;
        route.services = { { "store", 1 } };
        this->gateway->install({ 1, { route }, {}, {} });
        TargetRegistration registration;
        registration.id = "t";
        registration.service = "store";
        registration.address = this->target.address();
        registration.failureDomain = "a";
        this->gateway->sharedContext().directory.put(registration, Clock::now());
        HttpServerSession::Hooks sessionHooks;
        sessionHooks.request = [this](HttpServerSession::Pointer const& session, HttpServerRequest&& request) {
            this->gateway->handle({ request.head, std::move(request.body), {}, {} }, [session](ProxiedAnswer&& answer) {
                session->respond(answer.head, std::move(answer.body));
            });
        };
        HttpServer::Limits limits;
        limits.session.sizes = { 131072, 131072 };
        this->server = std::make_unique<HttpServer>(this->loop, "127.0.0.1:0", limits, sessionHooks);
    }
    void teardown() override
    {
        this->server.reset();
        this->pool.reset();
    }

    void check(bool condition, char const* what)
    {
        if (!condition)
            FAIL((std::string(what) + "; " + this->description).c_str());
    }

    /// Names of the fields that may differ: the owned ones and those that Connection names.
    static std::set<std::string> ownedIn(StrictMessage const& message)
    {
        auto owned = ownedFields;
        for (auto const& value : message.values("Connection")) {
            std::string name;
            for (char const character : value + ",") {
                if (character == ',') {
                    owned.insert(lowerCase(name));
                    name.clear();
                } else if (character != ' ' && character != '\t') {
                    name += character;
                }
            }
        }
        owned.erase("host");
        return owned;
    }

    void checkFields(StrictMessage const& before, StrictMessage const& after)
    {
        auto const owned = ownedIn(before);
        for (auto const& [name, value] : before.fields) {
            if (!owned.contains(lowerCase(name)))
                this->check(before.values(name) == after.values(name), ("field " + name + " differs").c_str());
        }
        for (auto const& [name, value] : after.fields) {
            this->check(before.has(name) || owned.contains(lowerCase(name)), ("field " + name + " was added").c_str());
            auto const hopByHop = owned.contains(lowerCase(name)) && !ownedFields.contains(lowerCase(name));
            this->check(!hopByHop, ("field " + name + " concerns one connection").c_str());
        }
    }

    /// Receives until a whole message has arrived and nothing follows it for a moment.
    std::optional<StrictMessage> receive(RawPeer& peer, bool isRequest, bool noBody = false)
    {
        std::optional<StrictMessage> message;
        peer.receiveUntil(this->loop, exchangeTime, [&] {
            auto bytes = peer.received;
            message = StrictMessage::take(bytes, isRequest, noBody);
            return message || peer.closed;
        });
        this->loop.runOnce(0_ms);
        peer.receive();
        auto bytes = peer.received;
        message = StrictMessage::take(bytes, isRequest, noBody);
        this->check(!message || bytes.empty(), "more than one message");
        return message;
    }

    /// Sends the request; when it is forwarded, compares what arrives, answers, and compares the answer.
    bool play(std::string const& request, MessageGenerator& generator)
    {
        RawPeer caller(this->server->address());
        caller.send(request);
        runUntil(this->loop, exchangeTime, [&] {
            caller.receive();
            return caller.closed || !caller.received.empty() || this->target.hasConnection();
        });
        if (!this->target.hasConnection())
            return false;
        auto peer = this->target.accept();
        auto const forwarded = this->receive(peer, true);
        auto bytes = request;
        while (bytes.starts_with("\r\n"))
            bytes.erase(0, 2);
        auto const sent = StrictMessage::take(bytes, true);
        this->check(sent.has_value(), "forwarded a request that is not valid");
        this->check(forwarded.has_value(), "the forwarded request is not valid");
        this->check(forwarded->first == sent->first && forwarded->second == sent->second, "the request line differs");
        this->check(forwarded->body == sent->body, "the body differs");
        this->checkFields(*sent, *forwarded);

        bool const noBody = sent->first == "HEAD";
        auto const ids = sent->values("Toucan-Request-Id");
        auto answer = generator.response(ids.empty() ? "" : ids[0], noBody);
        this->description += "\nanswer: " + answer;
        peer.send(answer);
        auto const received = this->receive(caller, false, noBody);
        auto const given = StrictMessage::take(answer, false, noBody);
        this->check(given.has_value() && received.has_value(), "the answer is not valid");
        this->check(received->second == given->second, "the status differs");
        this->check(received->body == given->body, "the body of the answer differs");
        this->checkFields(*given, *received);
        return true;
    }
};
// clang-format on

// Guards against a request or an answer that is changed on its way, or that becomes more than one message: whatever the
// reader accepts arrives with the same bytes, apart from the fields that the gateway owns.
TEST(Forwarding, ChangesNoByte)
{
    auto const seed = numberFromEnvironment("TOUCAN_FUZZ_SEED", defaultSeed);
    auto const runs = numberFromEnvironment("TOUCAN_FORWARDING_RUNS", defaultRuns);
    MessageGenerator generator(seed);
    unsigned long forwarded = 0;
    for (unsigned long run = 0; run < runs; ++run) {
        auto request = generator.request();
        bool const mutated = run % 3 == 2;
        if (mutated)
            request = generator.mutate(std::move(request));
        this->description = "seed " + std::to_string(seed) + ", run " + std::to_string(run) + ": " + request;
        bool const done = this->play(request, generator);
        this->check(done || mutated, "a valid request was not forwarded");
        forwarded += done ? 1 : 0;
    }
    CHECK(forwarded >= runs * 2 / 3);
}
