#include "Quarantine/TerminationVerdicts.h"

#include <utility>
#include <vector>

namespace Toucan {

/// Bounds the attempts that wait for evidence; further ones get no verdict.
constexpr size_t maximumSuspects = 512;
/// Other targets that must have lost their connections at the same moment to show a common cause. One may have closed
/// an idle connection by chance.
constexpr size_t targetsOfCommonCause = 2;
/// Bounds the addresses whose lost connections are remembered.
constexpr size_t maximumAddresses = 512;

std::string_view toString(TerminationVerdict verdict)
{
    switch (verdict) {
    case TerminationVerdict::Undecided:
        return "undecided";
    case TerminationVerdict::Alive:
        return "alive";
    case TerminationVerdict::PlannedStop:
        return "planned-stop";
    case TerminationVerdict::TerminatedWithOthers:
        return "terminated-with-others";
    case TerminationVerdict::Terminated:
        break;
    }
    return "terminated";
}

TerminationVerdicts::TerminationVerdicts(Hooks hooks)
    : hooks(std::move(hooks))
{
}

void TerminationVerdicts::onBroken(BrokenAttempt attempt, Decided decided)
{
    if (attempt.stopIsPlanned) {
        decided(TerminationVerdict::PlannedStop);
        return;
    }
    this->purge();
    if (!this->hooks.probe || this->suspects.size() >= maximumSuspects) {
        decided(TerminationVerdict::Undecided);
        return;
    }
    auto const now = this->hooks.now();
    auto const address = attempt.address;
    auto const suspect = std::make_shared<Suspect>(Suspect { std::move(attempt), now, std::move(decided), {} });
    if (this->brokenAddresses.size() >= maximumAddresses)
        std::erase_if(this->brokenAddresses, [now](auto const& entry) { return now - entry.second > momentTime; });
    if (this->brokenAddresses.size() < maximumAddresses)
        this->brokenAddresses[address] = now;
    // The connection of the attempt itself is one of the lost ones.
    auto const lost = this->lostConnections.find(address);
    suspect->brokeWithOthers
        = lost != this->lostConnections.end() && lost->second.count > 1 && now - lost->second.at <= momentTime;
    this->suspects.push_back(suspect);
    this->hooks.schedule(now + lateEvidenceTime, [this] { this->purge(); });
    this->hooks.schedule(
        now + holdTime, [suspect] { TerminationVerdicts::report(*suspect, TerminationVerdict::Undecided); });
    if (!this->probes.contains(address))
        this->startProbe(address);
}

void TerminationVerdicts::startProbe(std::string const& address)
{
    auto const startedAt = this->hooks.now();
    this->probes[address] = startedAt;
    this->hooks.probe(
        address, [this, address, startedAt](ProbeResult result) { this->onProbed(address, startedAt, result); });
}

void TerminationVerdicts::onProbed(std::string const& address, Milliseconds startedAt, ProbeResult result)
{
    this->probes.erase(address);
    bool needsAnother = false;
    for (auto const& suspect : std::vector<SuspectPointer>(this->suspects.begin(), this->suspects.end())) {
        if (suspect->attempt.address != address || suspect->probed || suspect->isDone)
            continue;
        // A process may end after it accepted the probe of an earlier attempt; one that refused has ended.
        if (suspect->brokenAt > startedAt && result != ProbeResult::Refused) {
            needsAnother = true;
            continue;
        }
        suspect->probed = result;
        // Connections of other targets that ended at the same moment may break a little later.
        if (auto const settledAt = suspect->brokenAt + settleTime;
            result == ProbeResult::Refused && this->hooks.now() < settledAt)
            this->hooks.schedule(settledAt, [this, suspect] { this->evaluate(suspect); });
        else
            this->evaluate(suspect);
    }
    if (needsAnother && !this->probes.contains(address))
        this->startProbe(address);
}

bool TerminationVerdicts::othersEnded(Suspect const& suspect) const
{
    auto const isSameMoment = [&suspect](Milliseconds at) {
        return at - suspect.brokenAt <= momentTime && suspect.brokenAt - at <= momentTime;
    };
    size_t others = 0;
    for (auto const& [address, lost] : this->lostConnections) {
        auto const broken = this->brokenAddresses.find(address);
        bool const ranAttempt = broken != this->brokenAddresses.end() && isSameMoment(broken->second);
        others += isSameMoment(lost.at) && !ranAttempt ? 1 : 0;
    }
    return others >= targetsOfCommonCause;
}

std::optional<TerminationVerdict> TerminationVerdicts::finalVerdict(Suspect const& suspect) const
{
    if (suspect.probed == ProbeResult::Refused)
        return this->othersEnded(suspect) ? TerminationVerdict::TerminatedWithOthers : TerminationVerdict::Terminated;
    if (suspect.probed == ProbeResult::Accepted && !suspect.brokeWithOthers)
        return TerminationVerdict::Alive;
    bool const isGone
        = suspect.isReplaced || (suspect.hasLapsed && suspect.probed && suspect.probed != ProbeResult::Accepted);
    if (suspect.brokeWithOthers && isGone)
        return this->othersEnded(suspect) ? TerminationVerdict::TerminatedWithOthers : TerminationVerdict::Terminated;
    return std::nullopt;
}

void TerminationVerdicts::evaluate(SuspectPointer const& suspect)
{
    if (suspect->isDone)
        return;
    auto const verdict = finalVerdict(*suspect);
    if (!verdict) {
        report(*suspect, TerminationVerdict::Undecided);
        return;
    }
    suspect->isDone = true;
    this->suspects.remove(suspect);
    if (*verdict == TerminationVerdict::Terminated && suspect->isReported)
        suspect->decided(*verdict);
    report(*suspect, *verdict);
    suspect->decided = nullptr;
}

void TerminationVerdicts::report(Suspect& suspect, TerminationVerdict verdict)
{
    if (!std::exchange(suspect.isReported, true))
        suspect.decided(verdict);
}

void TerminationVerdicts::evaluateTarget(std::string const& targetId, std::function<void(Suspect&)> const& change)
{
    this->purge();
    for (auto const& suspect : std::vector<SuspectPointer>(this->suspects.begin(), this->suspects.end())) {
        if (suspect->attempt.targetId != targetId)
            continue;
        change(*suspect);
        // Before the probe has ended the hold time bounds the wait.
        if (suspect->probed || suspect->isReplaced)
            this->evaluate(suspect);
    }
}

void TerminationVerdicts::onRegistered(std::string const& targetId, uint64_t incarnation)
{
    this->evaluateTarget(targetId, [incarnation](Suspect& suspect) {
        suspect.isReplaced = suspect.isReplaced || (incarnation && incarnation != suspect.attempt.incarnation);
    });
}

void TerminationVerdicts::onLapsed(std::string const& targetId)
{
    this->evaluateTarget(targetId, [](Suspect& suspect) { suspect.hasLapsed = true; });
}

void TerminationVerdicts::onPlannedStop(std::string const& targetId)
{
    for (auto const& suspect : std::vector<SuspectPointer>(this->suspects.begin(), this->suspects.end())) {
        if (suspect->attempt.targetId != targetId)
            continue;
        suspect->isDone = true;
        this->suspects.remove(suspect);
        report(*suspect, TerminationVerdict::PlannedStop);
    }
}

void TerminationVerdicts::onConnectionLost(std::string const& address)
{
    auto const now = this->hooks.now();
    for (auto const& suspect : this->suspects) {
        if (suspect->attempt.address == address && now - suspect->brokenAt <= momentTime)
            suspect->brokeWithOthers = true;
    }
    if (this->lostConnections.size() >= maximumAddresses)
        std::erase_if(
            this->lostConnections, [now](auto const& entry) { return now - entry.second.at > lateEvidenceTime; });
    if (this->lostConnections.size() >= maximumAddresses)
        return;
    auto& lost = this->lostConnections[address];
    if (now - lost.at > momentTime)
        lost = { now, 0 };
    ++lost.count;
}

void TerminationVerdicts::purge()
{
    auto const now = this->hooks.now();
    while (!this->suspects.empty() && now - this->suspects.front()->brokenAt >= lateEvidenceTime) {
        auto const suspect = this->suspects.front();
        this->suspects.pop_front();
        suspect->isDone = true;
        report(*suspect, TerminationVerdict::Undecided);
        suspect->decided = nullptr;
    }
}

} // namespace Toucan
