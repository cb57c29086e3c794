#pragma once

#include "Gateway/GatewayTarget.h"

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace Toucan {

/// The targets that the registry names, by service.
class TargetDirectory {
public:
    using TargetPointer = std::shared_ptr<GatewayTarget>;
    enum class Removal {
        /// The target is gone.
        AtOnce,
        /// The entry may have lapsed in an outage of the registry; it counts until keepUntil.
        Deferred,
    };
    struct Hooks {
        /// A change of what the node believes, for the log.
        std::function<void(std::string_view event, TargetRegistration const&)> changed;
    };

    TargetDirectory(std::string failureDomain, Hooks hooks);

    void put(TargetRegistration registration, Milliseconds now);
    void remove(std::string const& id, Removal removal, Milliseconds keepUntil);
    /// Makes `registrations` the whole content; what is missing is removed as in remove().
    void replaceAll(
        std::span<TargetRegistration const> registrations, Removal removal, Milliseconds keepUntil, Milliseconds now);
    /// Removes deferred entries whose time has passed. Returns when to call again; empty when nothing is deferred.
    std::optional<Milliseconds> expire(Milliseconds now);

    /// Valid until the next change of the directory.
    std::span<TargetPointer const> targets(std::string const& service) const;
    /// Null when the registry does not name it.
    TargetPointer find(std::string const& id) const;
    /// Finds by codeOf() its id. Null when the registry names none or when several have the code.
    TargetPointer findByCode(uint32_t code) const;
    size_t size() const { return this->targetsById.size(); }

private:
    void erase(std::string const& id);

    std::string failureDomain;
    Hooks hooks;
    std::map<std::string, TargetPointer> targetsById;
    std::unordered_map<std::string, std::vector<TargetPointer>> targetsByService;
    std::unordered_multimap<uint32_t, TargetPointer> targetsByCode;
    /// Entries that are removed at the given time unless they are registered again.
    std::map<std::string, Milliseconds> deferred;
};

} // namespace Toucan
