#include "Gateway/TargetDirectory.h"

#include <algorithm>
#include <set>

namespace Toucan {

/// Notices of targets that are no longer registered; the oldest one is forgotten first.
constexpr size_t maximumNotices = 4096;

TargetDirectory::TargetDirectory(std::string failureDomain, Hooks hooks)
    : failureDomain(std::move(failureDomain))
    , hooks(std::move(hooks))
{
}

void TargetDirectory::put(TargetRegistration registration, Milliseconds now)
{
    auto const found = this->targetsById.find(registration.id);
    if (found != this->targetsById.end()) {
        auto const& known = found->second->registration();
        if (registration.isOlderThan(known)) {
            this->hooks.changed("target-outdated-entry", registration);
            bool const isOtherProcess = registration.incarnation != known.incarnation;
            if (isOtherProcess && registration.mayBeOfAnOlderCopyThan(known)) {
                this->deferred.emplace(registration.id, now + restorationGrace);
                this->successors[registration.id] = std::move(registration);
            } else {
                this->keep(registration.id);
            }
            return;
        }
        this->keep(registration.id);
        if (registration.hasSameContentAs(known)) {
            found->second->refresh(std::move(registration), now);
            this->limitWhileCold(found->second, now);
            return;
        }
        if (known.service == registration.service && known.incarnation == registration.incarnation) {
            auto const formerAddress = known.address;
            found->second->update(std::move(registration), now);
            found->second->setEvacuated(this->evacuatedDomains.contains(found->second->registration().failureDomain));
            this->hooks.changed("target-changed", found->second->registration());
            this->limitWhileCold(found->second, now);
            if (found->second->isDraining() || found->second->isEvacuated()
                || found->second->registration().address != formerAddress)
                this->withdraw(formerAddress);
            return;
        }
        // Observations of an earlier incarnation do not apply to this one.
        this->erase(registration.id);
    }
    bool const sameDomain = registration.failureDomain == this->failureDomain;
    auto const target = std::make_shared<GatewayTarget>(std::move(registration), sameDomain, now);
    target->setEvacuated(this->evacuatedDomains.contains(target->registration().failureDomain));
    this->restoreNotice(*target, now);
    this->targetsById[target->registration().id] = target;
    this->targetsByService[target->registration().service].push_back(target);
    this->targetsByHash.emplace(hashTargetId(target->registration().id), target);
    this->hooks.changed("target-added", target->registration());
    this->limitWhileCold(target, now);
}

void TargetDirectory::setColdRates(std::map<std::string, double> requestsPerSecond, Milliseconds now)
{
    this->coldRates = std::move(requestsPerSecond);
    for (auto const& [id, target] : this->targetsById)
        this->limitWhileCold(target, now);
}

void TargetDirectory::limitWhileCold(TargetPointer const& target, Milliseconds now)
{
    auto const rate = this->coldRates.find(target->registration().service);
    auto const phase = this->hooks.random ? this->hooks.random() : 0;
    bool const begins
        = target->limitWhileCold(rate == this->coldRates.end() ? 0 : rate->second, 1.0 / this->nodes, phase, now);
    if (!begins)
        return;
    this->hooks.changed("target-cold", target->registration());
    this->withdraw(target->registration().address);
}

void TargetDirectory::keep(std::string const& id)
{
    this->deferred.erase(id);
    this->successors.erase(id);
}

void TargetDirectory::withdraw(std::string const& address) const
{
    if (this->hooks.withdrawn)
        this->hooks.withdrawn(address);
}

void TargetDirectory::evacuate(std::string const& evacuatedDomain)
{
    this->deferredEvacuations.erase(evacuatedDomain);
    if (this->evacuatedDomains.insert(evacuatedDomain).second)
        this->setEvacuated(evacuatedDomain, true);
}

void TargetDirectory::endEvacuation(std::string const& evacuatedDomain)
{
    this->deferredEvacuations.erase(evacuatedDomain);
    if (this->evacuatedDomains.erase(evacuatedDomain))
        this->setEvacuated(evacuatedDomain, false);
}

void TargetDirectory::replaceEvacuations(std::set<std::string> const& wanted, Removal removal, Milliseconds keepUntil)
{
    for (auto const& known : std::set<std::string>(this->evacuatedDomains)) {
        if (wanted.contains(known))
            continue;
        if (removal == Removal::AtOnce)
            this->endEvacuation(known);
        else
            this->deferredEvacuations.emplace(known, keepUntil);
    }
    for (auto const& domain : wanted)
        this->evacuate(domain);
}

void TargetDirectory::setEvacuated(std::string const& evacuatedDomain, bool evacuated)
{
    std::vector<std::string> addresses;
    for (auto const& [id, target] : this->targetsById) {
        if (target->registration().failureDomain != evacuatedDomain)
            continue;
        target->setEvacuated(evacuated);
        addresses.push_back(target->registration().address);
    }
    if (this->hooks.evacuationChanged)
        this->hooks.evacuationChanged(evacuatedDomain, evacuated, addresses.size());
    // Withdrawn only now, so that no request goes on to another target of the failure domain.
    if (!evacuated)
        return;
    for (auto const& address : addresses)
        this->withdraw(address);
}

bool TargetDirectory::onLeaving(TargetPointer const& target)
{
    if (target->isLeaving())
        return false;
    target->onLeaving();
    // An answer may arrive after the entry of its target has been removed.
    if (target->isRemoved())
        this->rememberNotice(*target);
    this->hooks.changed("target-leaving", target->registration());
    this->withdraw(target->registration().address);
    return true;
}

void TargetDirectory::onWait(TargetPointer const& target, Milliseconds end, Milliseconds returnAt)
{
    target->waitUntil(end, returnAt);
    if (target->isRemoved())
        this->rememberNotice(*target);
    this->withdraw(target->registration().address);
}

void TargetDirectory::onRateLimit(TargetPointer const& target, RateLimitStatement const& statement)
{
    target->onRateLimitKnown(statement.at);
    auto* const known = target->rateLimit();
    bool const isTighter = !known || known->requestsPerSecond() > statement.requestsPerSecond;
    if (known)
        known->setRate(statement.requestsPerSecond, statement.at);
    else
        target->setRateLimit(
            TargetRateLimit(statement.requestsPerSecond, 1.0 / this->nodes, statement.phase, statement.at));
    if (target->isRemoved())
        this->rememberNotice(*target);
    if (isTighter)
        this->withdraw(target->registration().address);
}

bool TargetDirectory::onSharedRateLimit(TargetPointer const& target, RateLimitStatement const& statement)
{
    if (statement.at < target->knownSince() || statement.at <= target->rateLimitKnownAt())
        return false;
    auto const* const known = target->rateLimit();
    if (statement.requestsPerSecond != noRateLimit)
        this->onRateLimit(target, statement);
    else if (known)
        this->onRateLimitEnded(target, statement.at);
    return true;
}

void TargetDirectory::setSharingNodes(uint32_t count, Milliseconds now)
{
    if (count == this->nodes || count == 0)
        return;
    this->nodes = count;
    for (auto const& [id, target] : this->targetsById) {
        if (auto* const limit = target->rateLimit())
            limit->setShare(1.0 / count, now);
        this->limitWhileCold(target, now);
    }
}

void TargetDirectory::onRateLimitEnded(TargetPointer const& target, Milliseconds at)
{
    target->onRateLimitKnown(at);
    auto const& registration = target->registration();
    target->setRateLimit(std::nullopt);
    if (auto const present = this->find(registration.id);
        present && present->registration().incarnation == registration.incarnation)
        present->setRateLimit(std::nullopt);
    if (auto const notice = this->notices.find(registration.id);
        notice != this->notices.end() && notice->second.incarnation == registration.incarnation)
        notice->second.rateLimit.reset();
}

void TargetDirectory::rememberNotice(GatewayTarget const& target)
{
    if (!target.isLeaving() && target.waitEnd() == Milliseconds {} && !target.rateLimit())
        return;
    auto const& registration = target.registration();
    if (auto const present = this->find(registration.id)) {
        // The entry came back while an answer to the earlier one was on its way.
        if (present->registration().incarnation > registration.incarnation)
            return;
        if (target.isLeaving())
            this->onLeaving(present);
        present->waitUntil(target.waitEnd(), target.waitEnd());
        if (auto const* const limit = target.rateLimit(); limit && !present->rateLimit())
            present->setRateLimit(*limit);
        return;
    }
    auto& notice = this->notices[registration.id];
    auto const* const limit = target.rateLimit();
    notice = { registration.incarnation, target.isLeaving(), target.waitEnd(),
        limit ? std::optional(*limit) : std::nullopt, ++this->lastNotice };
    if (this->notices.size() <= maximumNotices)
        return;
    this->notices.erase(std::min_element(this->notices.begin(), this->notices.end(),
        [](auto const& one, auto const& other) { return one.second.number < other.second.number; }));
}

void TargetDirectory::restoreNotice(GatewayTarget& target, Milliseconds now)
{
    auto const found = this->notices.find(target.registration().id);
    if (found == this->notices.end())
        return;
    auto const notice = found->second;
    this->notices.erase(found);
    if (target.registration().incarnation > notice.incarnation)
        return;
    if (notice.leaving)
        target.onLeaving();
    target.waitUntil(notice.waitEnd, notice.waitEnd);
    target.setRateLimit(notice.rateLimit);
    if (auto* const limit = target.rateLimit())
        limit->setShare(1.0 / this->nodes, now);
}

void TargetDirectory::erase(std::string const& id)
{
    this->keep(id);
    auto const found = this->targetsById.find(id);
    if (found == this->targetsById.end())
        return;
    auto const target = found->second;
    this->targetsById.erase(found);
    std::erase(this->targetsByService[target->registration().service], target);
    std::erase_if(this->targetsByHash, [&target](auto const& entry) { return entry.second == target; });
    this->hooks.changed("target-removed", target->registration());
    this->rememberNotice(*target);
    target->onRemoved();
    this->withdraw(target->registration().address);
}

void TargetDirectory::remove(std::string const& id, Removal removal, Milliseconds keepUntil)
{
    if (removal == Removal::AtOnce)
        this->erase(id);
    else if (this->targetsById.contains(id))
        this->deferred.emplace(id, keepUntil);
    this->successors.erase(id);
}

void TargetDirectory::replaceAll(
    std::span<TargetRegistration const> registrations, Removal removal, Milliseconds keepUntil, Milliseconds now)
{
    std::set<std::string> present;
    for (auto const& registration : registrations) {
        present.insert(registration.id);
        this->put(registration, now);
    }
    std::vector<std::string> missing;
    for (auto const& [id, target] : this->targetsById) {
        if (!present.contains(id))
            missing.push_back(id);
    }
    for (auto const& id : missing)
        this->remove(id, removal, keepUntil);
}

void TargetDirectory::releaseDeferred(Milliseconds keepUntil, Milliseconds now)
{
    for (auto* const deferredRemovals : { &this->deferred, &this->deferredEvacuations }) {
        for (auto& [name, at] : *deferredRemovals) {
            if (at == keepUntil)
                at = now;
        }
    }
}

std::optional<Milliseconds> TargetDirectory::expire(Milliseconds now)
{
    std::optional<Milliseconds> next;
    std::vector<std::string> due;
    for (auto const& [id, at] : this->deferred) {
        if (at <= now)
            due.push_back(id);
        else
            next = next ? std::min(*next, at) : at;
    }
    for (auto const& id : due) {
        auto successor = this->successors.extract(id);
        this->erase(id);
        if (successor)
            this->put(std::move(successor.mapped()), now);
    }
    for (auto const& [domain, at] : std::map<std::string, Milliseconds>(this->deferredEvacuations)) {
        if (at <= now)
            this->endEvacuation(domain);
        else
            next = next ? std::min(*next, at) : at;
    }
    return next;
}

TargetDirectory::TargetPointer TargetDirectory::findByHash(uint32_t hash) const
{
    auto const [first, last] = this->targetsByHash.equal_range(hash);
    bool const single = first != last && std::next(first) == last;
    return single ? first->second : nullptr;
}

TargetDirectory::TargetPointer TargetDirectory::find(std::string const& id) const
{
    auto const found = this->targetsById.find(id);
    return found == this->targetsById.end() ? nullptr : found->second;
}

std::span<TargetDirectory::TargetPointer const> TargetDirectory::targets(std::string const& service) const
{
    auto const found = this->targetsByService.find(service);
    if (found == this->targetsByService.end())
        return {};
    return found->second;
}

} // namespace Toucan
