#include "Bench/TargetFleet.h"

#include "Base/Error.h"
#include "Base/Json.h"

namespace Toucan::Bench {

static constexpr Milliseconds flushInterval = 50_ms;
static constexpr int statusOk = 200;
static constexpr int statusBadRequest = 400;
static constexpr int statusNotFound = 404;
static constexpr std::string_view targetControlPath = "/control/targets/";

TargetFleet::TargetFleet(BenchLoop& loop, Json::Value const& settings)
    : loop(loop)
    , history(settings["history"].asString())
{
    auto const seed = settings.get("seed", 1).asUInt64();
    for (auto const& entry : settings["targets"]) {
        auto profile = TargetProfile::parse(entry);
        auto const name = profile.name;
        auto const [position, isNew] = this->targets.try_emplace(name);
        if (!isNew)
            throw Error(ErrorKind::InvalidSettings, "Two targets have the name " + name, "Give unique names");
        position->second = std::make_unique<TargetStandIn>(loop, this->history, std::move(profile), seed);
    }
    this->controlListener
        = std::make_unique<StreamListener>(loop, settings["control"].asString(), [this](auto const& stream) {
              HttpSession::Hooks hooks;
              hooks.request = [this](auto const& session, HttpRequest&& request) { this->onControl(session, request); };
              HttpSession::create(this->loop, stream, std::move(hooks), 0_ms);
          });
    this->flushPeriodically();
}

void TargetFleet::onControl(std::shared_ptr<HttpSession> const& session, HttpRequest const& request)
{
    auto const& path = request.header->getURI();
    if (request.header->getMethod() == "GET" && path == "/control") {
        Json::Value answer;
        for (auto const& [name, target] : this->targets)
            answer[name] = target->describe();
        return session->respond(statusOk, {}, writeJson(answer));
    }
    auto const target = path.starts_with(targetControlPath) ? this->targets.find(path.substr(targetControlPath.size()))
                                                            : this->targets.end();
    if (request.header->getMethod() != "POST" || target == this->targets.end())
        return session->respond(statusNotFound, {}, R"({"type":"not-found"})");
    try {
        target->second->control(parseJson(request.body));
        session->respond(statusOk, {}, writeJson(target->second->describe()));
    } catch (std::exception const& exception) {
        Json::Value answer;
        answer["type"] = "bad-request";
        answer["detail"] = exception.what();
        session->respond(statusBadRequest, {}, writeJson(answer));
    }
    // A test may kill the process right after a control call; the file must hold all lines up to that call.
    this->history.flush();
}

void TargetFleet::flushPeriodically()
{
    this->history.flush();
    this->loop.schedule(Clock::now() + flushInterval, [this] { this->flushPeriodically(); });
}

} // namespace Toucan::Bench
