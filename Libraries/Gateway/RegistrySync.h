#pragma once

#include "Gateway/Gateway.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Toucan {

/// A registration that the registry holds under `id`.
struct TargetPut {
    TargetRegistration registration;
};
struct TargetRemoved {
    std::string id;
};
struct ConfigurationPut {
    RoutingConfiguration configuration;
};
/// An entry that cannot be used. `id` is the target that it would name, or empty.
struct UnusableEntry {
    std::string key;
    std::string id;
    std::string reason;
};
using RegistryChange = std::variant<TargetPut, TargetRemoved, ConfigurationPut, UnusableEntry>;

enum class RegistryStatus {
    Ok,
    /// The registry no longer has the changes since the revision; everything must be read again.
    HistoryLost,
    /// Refused, silent, or not readable.
    Failed,
};

/// Content or changes, as of a revision of the registry.
struct RegistryReply {
    RegistryStatus status { RegistryStatus::Failed };
    std::vector<RegistryChange> changes;
    uint64_t revision { 0 };
    /// Reason of a failure, for the log.
    std::string reason;
};

/// Keeps the gateway's configuration and targets in step with the platform's registry: reads everything once, then
/// follows the changes. During an outage the gateway goes on with what it knows.
class RegistrySync {
public:
    struct Hooks {
        /// Reads the whole registry.
        std::function<void(std::function<void(RegistryReply&&)>)> list;
        /// Waits for changes after a revision; an empty reply when none came for a while.
        std::function<void(uint64_t revision, std::function<void(RegistryReply&&)>)> watch;
    };

    RegistrySync(Gateway& gateway, Hooks hooks);

    void start();
    /// Whether the registry has been read completely once.
    bool isLoaded() const { return this->loaded; }
    bool isConnected() const { return this->connected; }

private:
    void list();
    void watch();
    void onListed(RegistryReply&& reply);
    void onWatched(RegistryReply&& reply);
    void onFailure(RegistryReply const& reply, std::string_view call);
    void onConnected();
    void retryLater(void (RegistrySync::*call)());
    void apply(std::vector<RegistryChange>&& changes);
    void applyAll(std::vector<RegistryChange>&& changes);
    void logUnusable(UnusableEntry const& entry);
    void scheduleExpiry();
    TargetDirectory::Removal removal() const;
    Milliseconds keepUntil() const;
    Milliseconds now() const { return this->context.hooks.now(); }

    Gateway& gateway;
    GatewayContext& context;
    Hooks hooks;
    uint64_t revision { 0 };
    bool loaded { false };
    bool connected { false };
    uint32_t failures { 0 };
    /// End of the last outage of the registry as this node saw it.
    std::optional<Milliseconds> returnedAt;
};

} // namespace Toucan
