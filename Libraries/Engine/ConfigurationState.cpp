#include "Engine/ConfigurationState.h"

#include "Base/Error.h"
#include "Base/Hash.h"
#include "Engine/DispatcherAssignment.h"
#include <algorithm>
#include <glog/logging.h>
#include <limits>
#include <optional>

namespace Toucan {

/// Numbers of random peers that get a digest: after a new version was installed, and in each anti-entropy interval.
static constexpr size_t pushFanout = 4;
static constexpr size_t antiEntropyFanout = 2;
static constexpr Milliseconds antiEntropyInterval = 500_ms;
/// A node that got no message from the store or a peer for this long is not ready.
static constexpr Milliseconds isolationTimeout = 3000_ms;
/// A node that got no message from a peer for this long reads the store, because contact with the store also keeps it
/// ready. Digests go to random peers, so shorter gaps are normal; store reads in these gaps would grow with the fleet.
static constexpr Milliseconds peerSilenceTimeout = 2000_ms;
static constexpr Milliseconds isolatedReadInterval = 1000_ms;
/// An unanswered fetch of a version is repeated after this time.
static constexpr Milliseconds fetchTimeout = 300_ms;
/// A version that this program cannot read is not fetched again within this time.
static constexpr Milliseconds rejectedFetchInterval = 5000_ms;
/// The control thread answers every read that it receives; the timeout covers a request that did not fit into its ring.
static constexpr Milliseconds storeReadTimeout = 10000_ms;
/// Periodic store reads find changes that watches and digests missed: 7 in each interval by all nodes together.
static constexpr Milliseconds periodicReadInterval = 30000_ms;
static constexpr double periodicReadsPerInterval = 7;

class ConfigurationState::Implementation {
public:
    Implementation(Hooks hooks, std::string nodeName)
        : hooks(std::move(hooks))
        , nodeName(std::move(nodeName))
    {
    }

    uint64_t version() const { return this->configuration ? this->configuration->version : 0; }

    std::vector<std::string> knownHashes() const
    {
        std::vector<std::string> hashes;
        hashes.reserve(this->texts.size());
        for (auto const& [hash, text] : this->texts)
            hashes.emplace_back(hash);
        return hashes;
    }

    void onPeerVersion(std::string const& peer, uint64_t peerVersion, Milliseconds now)
    {
        this->onPeerMessage(now);
        if (peerVersion < this->version())
            this->hooks.sendDigest(peer);
        if (peerVersion <= this->version() || !this->mayFetch(peerVersion, now))
            return;
        this->fetchVersion = peerVersion;
        this->fetchTime = now;
        this->hooks.fetch(peer, this->knownHashes());
    }

    void onUpdate(ConfigurationUpdate&& update, Milliseconds now)
    {
        this->lastContact = now;
        if (update.root.version <= this->version())
            return;
        auto newTexts = this->tryInstall(std::move(update), now);
        if (!newTexts)
            return;
        this->texts = std::move(*newTexts);
        this->schedulePeriodicRead(now);
        this->hooks.installed(this->configuration);
        this->hooks.sendDigests(pushFanout);
        this->updateWatching();
    }

    void onStoreRead(bool reachable, Milliseconds now)
    {
        this->readPending = false;
        if (reachable)
            this->lastContact = now;
    }

    ConfigurationUpdate answerFetch(std::vector<std::string> const& knownHashes) const
    {
        ConfigurationUpdate answer { this->root, this->texts };
        for (auto const& hash : knownHashes)
            answer.parts.erase(hash);
        return answer;
    }

    void onPeerMessage(Milliseconds now)
    {
        this->lastContact = now;
        this->lastPeerMessage = now;
    }

    bool ready(Milliseconds now) const { return this->configuration && now - this->lastContact <= isolationTimeout; }

    void advance(Milliseconds now)
    {
        if (now >= this->nextAntiEntropy) {
            this->nextAntiEntropy = now + antiEntropyInterval;
            this->hooks.sendDigests(antiEntropyFanout);
        }
        if (now >= this->nextRead(now))
            this->readStore(now);
    }

    Milliseconds nextWakeup(Milliseconds now) const { return std::min(this->nextAntiEntropy, this->nextRead(now)); }

    void updateWatching()
    {
        bool const watch = this->isWatcher();
        if (watch == this->watching)
            return;
        this->watching = watch;
        this->hooks.setWatching(watch);
    }

    ConfigurationPointer configuration;
    Milliseconds lastAdvance;

private:
    bool mayFetch(uint64_t peerVersion, Milliseconds now) const
    {
        if (peerVersion <= this->rejectedVersion && now - this->rejectedTime < rejectedFetchInterval)
            return false;
        return peerVersion > this->fetchVersion || now - this->fetchTime >= fetchTimeout;
    }

    /// Installs the version and returns the texts of its configuration parts; empty when it cannot be installed.
    std::optional<std::map<std::string, std::string>> tryInstall(ConfigurationUpdate&& update, Milliseconds now)
    {
        std::map<std::string, std::string> newTexts;
        for (auto const& [name, hash] : update.root.parts) {
            if (auto const sent = update.parts.find(hash);
                sent != update.parts.end() && contentHash(sent->second) == hash)
                newTexts.emplace(hash, sent->second);
            else if (auto const known = this->texts.find(hash); known != this->texts.end())
                newTexts.emplace(hash, known->second);
        }
        try {
            this->configuration = assembleConfiguration(update.root, newTexts);
        } catch (Error const& error) {
            if (error.kind() != ErrorKind::NotFound)
                this->reject(update.root.version, now);
            LOG(WARNING) << "configuration " << update.root.version << " is not installed: " << error.what();
            return std::nullopt;
        }
        this->root = std::move(update.root);
        return newTexts;
    }

    void reject(uint64_t version, Milliseconds now)
    {
        this->rejectedVersion = std::max(this->rejectedVersion, version);
        this->rejectedTime = now;
    }

    /// Between 0 and 1, from a hash of the node name; spreads the reads of nodes that started at the same time.
    double phase() const { return static_cast<double>(hash64(this->nodeName) % 1024) / 1024; }

    void schedulePeriodicRead(Milliseconds now)
    {
        double const nodes = this->configuration ? static_cast<double>(this->configuration->fleet.nodes.size()) : 0;
        double const scale = std::max(1.0, nodes / periodicReadsPerInterval);
        this->nextPeriodicRead = now + periodicReadInterval * (scale * (0.75 + 0.5 * this->phase()));
    }

    Milliseconds nextRead(Milliseconds now) const
    {
        if (!this->firstReadRequested)
            return now;
        if (this->readPending)
            return this->lastRead + storeReadTimeout;
        Milliseconds const isolatedRead = this->lastRead + isolatedReadInterval * (1 + 0.5 * this->phase());
        if (!this->configuration)
            return std::min(isolatedRead, this->nextPeriodicRead);
        return std::min(std::max(isolatedRead, this->lastPeerMessage + peerSilenceTimeout), this->nextPeriodicRead);
    }

    void readStore(Milliseconds now)
    {
        this->firstReadRequested = true;
        this->readPending = true;
        this->lastRead = now;
        this->schedulePeriodicRead(now);
        this->hooks.readStore(this->knownHashes());
    }

    bool isWatcher() const
    {
        if (!this->configuration)
            return false;
        uint32_t livePredecessors = 0;
        for (auto const& name : rendezvousOrder(this->configuration->fleet, "configuration/root")) {
            if (livePredecessors == this->configuration->fleet.watchers)
                return false;
            if (name == this->nodeName)
                return true;
            if (this->hooks.isUsable(name))
                ++livePredecessors;
        }
        return false;
    }

    Hooks hooks;
    std::string nodeName;
    ConfigurationRoot root;
    /// Texts of the configuration parts of `root`, by content hash.
    std::map<std::string, std::string> texts;
    Milliseconds nextAntiEntropy;
    Milliseconds nextPeriodicRead;
    Milliseconds lastRead;
    Milliseconds lastContact { std::numeric_limits<double>::lowest() };
    Milliseconds lastPeerMessage { std::numeric_limits<double>::lowest() };
    uint64_t fetchVersion { 0 };
    Milliseconds fetchTime;
    uint64_t rejectedVersion { 0 };
    Milliseconds rejectedTime;
    bool firstReadRequested { false };
    bool readPending { false };
    bool watching { false };
};

ConfigurationState::ConfigurationState(Hooks hooks, std::string nodeName)
    : implementation(std::make_unique<Implementation>(std::move(hooks), std::move(nodeName)))
{
}

ConfigurationState::~ConfigurationState() = default;

uint64_t ConfigurationState::version() const { return this->implementation->version(); }

ConfigurationPointer const& ConfigurationState::current() const { return this->implementation->configuration; }

void ConfigurationState::onPeerVersion(std::string const& peer, uint64_t peerVersion, Milliseconds now)
{
    this->implementation->onPeerVersion(peer, peerVersion, now);
}

void ConfigurationState::onUpdate(ConfigurationUpdate&& update, Milliseconds now)
{
    this->implementation->onUpdate(std::move(update), now);
}

void ConfigurationState::onStoreRead(bool reachable, Milliseconds now)
{
    this->implementation->onStoreRead(reachable, now);
}

ConfigurationUpdate ConfigurationState::answerFetch(std::vector<std::string> const& knownHashes) const
{
    return this->implementation->answerFetch(knownHashes);
}

void ConfigurationState::onMembershipChanged(Milliseconds) { this->implementation->updateWatching(); }

void ConfigurationState::onPeerMessage(Milliseconds now) { this->implementation->onPeerMessage(now); }

bool ConfigurationState::ready(Milliseconds now) const { return this->implementation->ready(now); }

void ConfigurationState::advance(Milliseconds now)
{
    this->implementation->lastAdvance = now;
    this->implementation->advance(now);
}

Milliseconds ConfigurationState::nextWakeup() const
{
    return this->implementation->nextWakeup(this->implementation->lastAdvance);
}

} // namespace Toucan
