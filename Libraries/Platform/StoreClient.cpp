#include "Platform/StoreClient.h"

#include "Base/Base64.h"
#include "Base/Error.h"
#include "Base/Json.h"
#include "Platform/HttpExchange.h"
#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>
#include <atomic>
#include <charconv>
#include <mutex>

namespace Toucan {

/// A watch that receives no data for this long is ended, in order to detect a dead connection.
static constexpr int watchIdleSeconds = 30;

static Error protocolError(std::string const& message)
{
    return { ErrorKind::ProtocolViolation, message, "Check that the endpoint serves etcd v3's JSON gateway" };
}

/// The gateway writes 64-bit numbers as strings and omits zeros (proto3 JSON mapping).
static uint64_t readNumber(Json::Value const& object, char const* member)
{
    if (!object.isObject())
        throw protocolError("Expected a JSON object");
    Json::Value const& value = object[member];
    if (value.isNull())
        return 0;
    if (value.isUInt64())
        return value.asUInt64();
    if (!value.isString())
        throw protocolError(std::string("Member '") + member + "' is not a number");
    std::string const text = value.asString();
    uint64_t number = 0;
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
        throw protocolError(std::string("Member '") + member + "' is not a number");
    return number;
}

static std::string readBytes(Json::Value const& object, char const* member)
{
    if (!object.isObject() || !(object[member].isNull() || object[member].isString()))
        throw protocolError(std::string("Member '") + member + "' is not text");
    return decodeBase64(object[member].asString());
}

static StoreValue parseStoreValue(Json::Value const& value)
{
    return { readBytes(value, "key"), readBytes(value, "value"), readNumber(value, "mod_revision") };
}

/// The smallest key above all keys with the prefix: the exclusive end of a range request.
static std::string prefixEnd(std::string prefix)
{
    while (!prefix.empty()) {
        if (static_cast<unsigned char>(prefix.back()) != 0xFF) {
            ++prefix.back();
            return prefix;
        }
        prefix.pop_back();
    }
    return { '\0' };
}

class StoreClient::Implementation {
public:
    Implementation(std::string endpoint, Milliseconds timeout)
        : endpoint(std::move(endpoint))
        , timeout(timeout)
    {
        configureSession(this->session, this->endpoint, this->timeout);
    }

    Json::Value call(std::string const& path, Json::Value const& request)
    {
        if (this->stopped)
            throw Error(ErrorKind::Unavailable, "The store client was stopped", "Make no calls during a stop");
        Poco::Net::HTTPResponse response;
        auto const deadline = Clock::now() + this->timeout;
        std::istream& stream = exchange(this->session, "POST", path, writeJson(request), response);
        std::string const body = readBody(this->session, stream, response, deadline);
        Json::Value content = parseContent(body);
        checkStatus(response, content, path);
        return content;
    }

    void watch(std::string const& key, uint64_t fromRevision, std::function<bool(StoreValue const&)> const& changed)
    {
        Json::Value request;
        request["create_request"]["key"] = encodeBase64(key);
        if (fromRevision)
            request["create_request"]["start_revision"] = std::to_string(fromRevision);
        Poco::Net::HTTPClientSession watchSession;
        configureSession(watchSession, this->endpoint, this->timeout);
        Poco::Net::HTTPResponse response;
        std::istream& stream = exchange(watchSession, "POST", "/v3/watch", writeJson(request), response);
        if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK)
            throw protocolError("The watch was refused with status " + std::to_string(response.getStatus()));
        watchSession.socket().setReceiveTimeout(Poco::Timespan(watchIdleSeconds, 0));
        if (!this->beginWatch(watchSession.socket()))
            return;
        try {
            deliverEvents(stream, changed);
        } catch (...) {
            this->endWatch();
            throw;
        }
        this->endWatch();
    }

    void stop()
    {
        std::lock_guard const lock(this->mutex);
        this->stopped = true;
        if (!this->watchSocket)
            return;
        try {
            this->watchSocket->shutdown();
        } catch (Poco::Exception const&) {
            // The peer closed the connection first, which ends the watch.
            return;
        }
    }

private:
    static Json::Value parseContent(std::string const& body)
    {
        try {
            return parseJson(body);
        } catch (Error const& error) {
            throw protocolError(error.detail());
        }
    }

    static void checkStatus(
        Poco::Net::HTTPResponse const& response, Json::Value const& content, std::string const& path)
    {
        if (response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK)
            return;
        std::string const reason = content.isObject() && content["error"].isString() ? content["error"].asString()
                                                                                     : std::string("no reason");
        if (response.getStatus() == Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE)
            throw Error(ErrorKind::Timeout, "The store is not available: " + reason,
                "Read back what a write changed before it is repeated");
        throw protocolError(path + " gave status " + std::to_string(response.getStatus()) + ": " + reason);
    }

    static void deliverEvents(std::istream& stream, std::function<bool(StoreValue const&)> const& changed)
    {
        std::string line;
        while (std::getline(stream, line)) {
            if (!line.empty() && !deliverMessage(parseContent(line), changed))
                return;
        }
    }

    /// Returns whether the watch continues.
    static bool deliverMessage(Json::Value const& message, std::function<bool(StoreValue const&)> const& changed)
    {
        if (!message.isObject() || !message["result"].isObject())
            throw protocolError("A watch message has no result");
        Json::Value const& result = message["result"];
        if (result["canceled"].isBool() && result["canceled"].asBool())
            return false;
        for (auto const& event : result["events"]) {
            if (!event.isObject())
                throw protocolError("A watch event is not an object");
            // A deletion has no value to report; a caller that must notice it reads the key again.
            if (event["type"] == "DELETE")
                continue;
            if (!changed(parseStoreValue(event["kv"])))
                return false;
        }
        return true;
    }

    /// Returns false if stop() was called before.
    bool beginWatch(Poco::Net::StreamSocket const& socket)
    {
        std::lock_guard const lock(this->mutex);
        if (this->stopped)
            return false;
        this->watchSocket = socket;
        return true;
    }

    void endWatch()
    {
        std::lock_guard const lock(this->mutex);
        this->watchSocket.reset();
    }

    std::string endpoint;
    Milliseconds timeout;
    Poco::Net::HTTPClientSession session;
    std::mutex mutex;
    std::atomic<bool> stopped { false };
    /// The socket of a running watch; stop() shuts it down, which unblocks the read.
    std::optional<Poco::Net::StreamSocket> watchSocket;
};

StoreClient::StoreClient(std::string endpoint, Milliseconds timeout)
    : implementation(std::make_unique<Implementation>(std::move(endpoint), timeout))
{
}

StoreClient::~StoreClient() = default;

std::optional<StoreValue> StoreClient::get(std::string const& key)
{
    Json::Value request;
    request["key"] = encodeBase64(key);
    Json::Value const content = this->implementation->call("/v3/kv/range", request);
    if (!content.isObject())
        throw protocolError("The response to a range request is not an object");
    if (content["kvs"].empty())
        return std::nullopt;
    return parseStoreValue(content["kvs"][0]);
}

std::vector<StoreValue> StoreClient::getPrefix(std::string const& prefix)
{
    Json::Value request;
    request["key"] = encodeBase64(prefix);
    request["range_end"] = encodeBase64(prefixEnd(prefix));
    Json::Value const content = this->implementation->call("/v3/kv/range", request);
    if (!content.isObject())
        throw protocolError("The response to a range request is not an object");
    std::vector<StoreValue> values;
    for (auto const& value : content["kvs"])
        values.emplace_back(parseStoreValue(value));
    return values;
}

bool StoreClient::transact(std::vector<StoreComparison> const& comparisons, std::vector<StorePut> const& puts)
{
    return this->transactForRevision(comparisons, puts).has_value();
}

std::optional<uint64_t> StoreClient::transactForRevision(
    std::vector<StoreComparison> const& comparisons, std::vector<StorePut> const& puts)
{
    Json::Value request;
    request["compare"] = Json::arrayValue;
    for (auto const& comparison : comparisons) {
        Json::Value item;
        item["target"] = "MOD";
        item["result"] = "EQUAL";
        item["key"] = encodeBase64(comparison.key);
        item["mod_revision"] = std::to_string(comparison.revision);
        request["compare"].append(item);
    }
    request["success"] = Json::arrayValue;
    for (auto const& put : puts) {
        Json::Value item;
        item["request_put"]["key"] = encodeBase64(put.key);
        item["request_put"]["value"] = encodeBase64(put.value);
        request["success"].append(item);
    }
    Json::Value const content = this->implementation->call("/v3/kv/txn", request);
    if (!content.isObject())
        throw protocolError("The response to a transaction is not an object");
    if (!content["succeeded"].isBool() || !content["succeeded"].asBool())
        return std::nullopt;
    return readNumber(content["header"], "revision");
}

void StoreClient::watch(
    std::string const& key, uint64_t fromRevision, std::function<bool(StoreValue const&)> const& changed)
{
    this->implementation->watch(key, fromRevision, changed);
}

void StoreClient::stop() { this->implementation->stop(); }

} // namespace Toucan
