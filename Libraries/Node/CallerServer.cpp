#include "Node/CallerServer.h"

namespace Toucan {

CallerServer::CallerServer(EventLoop& loop, std::string const& address, std::string requestIdPrefix, Hooks hooks)
    : loop(loop)
    , requestIdPrefix(std::move(requestIdPrefix))
    , hooks(std::move(hooks))
    , server(loop, address, HttpServer::Limits {}, this->sessionHooks())
{
}

HttpServerSession::Hooks CallerServer::sessionHooks()
{
    HttpServerSession::Hooks result;
    result.request = [this](HttpServerSession::Pointer const& session, HttpServerRequest&& request) {
        this->onRequest(session, std::move(request));
    };
    result.disconnected = [this](HttpServerSession::Pointer const& session) { this->onDisconnected(session); };
    result.writeErrorBody = [this](HttpError const& error, Poco::Net::HTTPResponse& head, std::string& body) {
        ++this->refusedCount;
        body = CallerMessages::write(error, head);
    };
    return result;
}

void CallerServer::onRequest(HttpServerSession::Pointer const& session, HttpServerRequest&& request)
{
    auto const handle = ++this->lastHandle;
    try {
        auto parsed
            = CallerMessages::parse(request, this->requestIdPrefix + '/' + std::to_string(handle), this->loop.now());
        parsed.handle = handle;
        auto const requestId = parsed.requestId;
        if (!this->hooks.submit(std::move(parsed)))
            throw RefusedRequest { 503,
                { "overloaded", "Overloaded", "This node has more work than it can take",
                    "Send the request to another node, or try again in a second" },
                requestId };
        this->sessions.emplace(handle, session);
        this->handles.emplace(session.get(), handle);
    } catch (RefusedRequest const& refused) {
        this->refuse(session, refused);
    }
}

void CallerServer::refuse(HttpServerSession::Pointer const& session, RefusedRequest const& refused)
{
    ++this->refusedCount;
    Poco::Net::HTTPResponse head;
    auto const body = CallerMessages::write(refused, head);
    session->respond(head, body);
}

void CallerServer::onDisconnected(HttpServerSession::Pointer const& session)
{
    auto const found = this->handles.find(session.get());
    if (found == this->handles.end())
        return;
    auto const handle = found->second;
    this->handles.erase(found);
    this->sessions.erase(handle);
    this->hooks.disconnected(handle);
}

void CallerServer::answer(CallerAnswer const& answer)
{
    auto const found = this->sessions.find(answer.handle);
    if (found == this->sessions.end())
        return;
    auto const session = found->second;
    this->sessions.erase(found);
    this->handles.erase(session.get());
    Poco::Net::HTTPResponse head;
    auto const body = CallerMessages::write(answer, head);
    session->respond(head, body);
}

void CallerServer::endKeepAlive() { this->server.endKeepAlive(); }

void CallerServer::beginStop() { this->server.beginStop(); }

} // namespace Toucan
