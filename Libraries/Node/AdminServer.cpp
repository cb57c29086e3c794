#include "Node/AdminServer.h"

#include "Base/Error.h"
#include "Node/MetricsText.h"
#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <array>
#include <istream>
#include <optional>
#include <ostream>

namespace Toucan {

constexpr int adminThreads = 2;
/// Largest number of connections that wait to be accepted, and of accepted ones that wait for a free thread.
constexpr int adminBacklog = 64;
constexpr size_t maximumAdminBodyBytes = 65536;
constexpr Milliseconds engineAnswerTimeout { 1000 };
/// An engine thread that has completed no turn for this long counts as hung.
constexpr Milliseconds engineHangTime { 5000 };
constexpr int adminTimeoutSeconds = 5;

namespace {

    /// Body of at most maximumAdminBodyBytes bytes; empty when it is longer.
    std::optional<std::string> readBody(std::istream& stream)
    {
        std::string body;
        std::array<char, 4096> buffer;
        while (stream.read(buffer.data(), buffer.size()) || stream.gcount()) {
            body.append(buffer.data(), static_cast<size_t>(stream.gcount()));
            if (body.size() > maximumAdminBodyBytes)
                return std::nullopt;
        }
        return body;
    }

    class AdminHandler : public Poco::Net::HTTPRequestHandler {
    public:
        explicit AdminHandler(AdminServer& admin)
            : admin(admin)
        {
        }

        void handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
        {
            auto const body = readBody(request.stream());
            auto const& uri = request.getURI();
            auto const reply = body ? this->admin.reply(request.getMethod(), uri.substr(0, uri.find('?')), *body)
                                    : AdminServer::Reply { 413, "text/plain", "The body is larger than 64 KiB\n" };
            response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(reply.status));
            response.setContentType(reply.contentType);
            if (!body)
                response.setKeepAlive(false);
            response.sendBuffer(reply.body.data(), reply.body.size());
        }

    private:
        AdminServer& admin;
    };

    class AdminHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
    public:
        explicit AdminHandlerFactory(AdminServer& admin)
            : admin(admin)
        {
        }

        Poco::Net::HTTPRequestHandler* createRequestHandler(Poco::Net::HTTPServerRequest const&) override
        {
            // POCO deletes the handler.
            return new AdminHandler(this->admin);
        }

    private:
        AdminServer& admin;
    };

} // namespace

static Poco::Net::ServerSocket bindAdminSocket(std::string const& address)
{
    Poco::Net::ServerSocket socket;
    try {
        socket.bind(Poco::Net::SocketAddress(address), true, false);
        socket.listen(adminBacklog);
    } catch (Poco::Exception const& exception) {
        throw Error(ErrorKind::InvalidSettings, "Cannot listen on " + address + ": " + exception.displayText(),
            "Choose an address of this VM and a free port");
    }
    return socket;
}

AdminServer::AdminServer(std::string const& address, EngineThread& engine, Hooks hooks)
    : engine(engine)
    , hooks(std::move(hooks))
    , rpc({ [this] { return this->requestFromEngine(AdminRequest::Kind::View); },
          [this] { return this->requestFromEngine(AdminRequest::Kind::Burn); },
          [this] { return this->requestFromEngine(AdminRequest::Kind::ConfigurationVersion); } })
    , threads(adminThreads, adminThreads)
{
    // POCO owns the parameters and the factory by reference counts.
    auto* parameters = new Poco::Net::HTTPServerParams;
    parameters->setMaxThreads(adminThreads);
    parameters->setMaxQueued(adminBacklog);
    parameters->setTimeout(Poco::Timespan(adminTimeoutSeconds, 0));
    // With two threads, persistent connections would lock out other operators.
    parameters->setKeepAlive(false);
    this->server = std::make_unique<Poco::Net::HTTPServer>(
        new AdminHandlerFactory(*this), this->threads, bindAdminSocket(address), parameters);
}

AdminServer::~AdminServer() { this->stop(); }

void AdminServer::start() { this->server->start(); }

void AdminServer::stop()
{
    this->server->stopAll(true);
    this->threads.joinAll();
}

AdminServer::Reply AdminServer::reply(std::string const& method, std::string const& path, std::string const& body)
{
    if (path == "/rpc") {
        if (method != "POST")
            return { 405, "text/plain", "Use POST\n" };
        return { 200, "application/json", this->rpc.handle(body) };
    }
    if (method != "GET" && method != "HEAD")
        return { 405, "text/plain", "Use GET\n" };
    if (path == "/health")
        return this->health();
    if (path == "/ready")
        return this->readiness();
    if (path == "/metrics")
        return this->metrics();
    return { 404, "text/plain", "Served paths: /health, /ready, /metrics and POST /rpc\n" };
}

AdminServer::Reply AdminServer::health() const
{
    if (Clock::now() - this->engine.lastTurn() > engineHangTime)
        return { 503, "text/plain", "the engine thread hangs\n" };
    return { 200, "text/plain", "ok\n" };
}

AdminServer::Reply AdminServer::readiness() const
{
    if (!this->hooks.ready())
        return { 503, "text/plain", "not ready\n" };
    return { 200, "text/plain", "ready\n" };
}

AdminServer::Reply AdminServer::metrics()
{
    auto counters = this->hooks.counters();
    counters["toucan_up"] = 1;
    auto const view = this->engine.requestAndWait(AdminRequest::Kind::View, engineAnswerTimeout);
    return { 200, "text/plain; version=0.0.4", writeMetrics(counters, view.value_or(Json::Value(Json::objectValue))) };
}

Json::Value AdminServer::requestFromEngine(AdminRequest::Kind kind)
{
    auto answer = this->engine.requestAndWait(kind, engineAnswerTimeout);
    if (!answer)
        throw Error(ErrorKind::Timeout, "The engine thread did not answer", "Try again, and look at /health");
    return std::move(*answer);
}

} // namespace Toucan
