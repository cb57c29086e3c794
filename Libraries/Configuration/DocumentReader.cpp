#include "Configuration/DocumentReader.h"

#include "Configuration/SettingsReader.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <set>

namespace Toucan {

// Length of a name in characters, which are all ASCII.
static constexpr size_t maximumNameLength = 64;
static constexpr Range<uint64_t> dispatchersPerTargetRange { 1, 16 };
static constexpr Range<uint64_t> watchersRange { 1, 16 };
static constexpr Range<uint64_t> keyRangesRange { 1, 1024 };
static constexpr Range<double> millisecondsRange { 1, 3'600'000 };
static constexpr Range<double> shareRange { 0, 1 };
// The burn rate is divided by the error budget, 1 - ratio, which must not be 0.
static constexpr Range<double> objectiveRatioRange { 0, 0.99999 };
static constexpr Range<uint64_t> queueLimitRange { 0, 100'000 };
static constexpr Range<uint64_t> slotsRange { 1, 10'000 };
static constexpr Range<uint64_t> connectionsRange { 1, 100'000 };
// Up to the largest integer that every JSON parser represents exactly (RFC 8259, section 6).
static constexpr Range<uint64_t> sequenceRange { 0, (uint64_t { 1 } << 53) - 1 };

static bool isName(std::string_view name)
{
    auto const allowed = [](unsigned char character) {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
            || (character >= '0' && character <= '9') || character == '-' || character == '_' || character == '.';
    };
    return !name.empty() && name.size() <= maximumNameLength && std::all_of(name.begin(), name.end(), allowed);
}

static bool isPort(std::string_view text)
{
    uint16_t port = 0;
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
    return error == std::errc() && end == text.data() + text.size() && port > 0;
}

/// Accepts "192.0.2.1:80" and "[2001:db8::1]:80".
static bool isAddress(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos || !isPort(text.substr(colon + 1)))
        return false;
    auto host = std::string(text.substr(0, colon));
    std::array<unsigned char, sizeof(in6_addr)> binary {};
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), binary.data()) == 1;
    return inet_pton(AF_INET, host.c_str(), binary.data()) == 1;
}

namespace {

    class DocumentReader {
    public:
        DocumentReader(UnknownKeys unknownKeys, std::vector<SettingsFault>& faults)
            : unknownKeys(unknownKeys)
            , faults(faults)
        {
        }

        Configuration read(Json::Value const& document)
        {
            SettingsReader reader(document, "", this->faults);
            this->readFleet(reader.object("fleet"), reader.pathOf("fleet"));
            this->readClasses(reader);
            this->readRules(reader.object("rules"), reader.pathOf("rules"));
            this->readServices(reader.object("services"), reader.pathOf("services"));
            this->applyUnknownKeysPolicy(reader);
            return std::move(this->result);
        }

    private:
        void applyUnknownKeysPolicy(SettingsReader& reader) const
        {
            if (this->unknownKeys == UnknownKeys::Refuse)
                reader.reportUnknownKeys();
        }

        void checkName(std::string const& path, std::string_view name)
        {
            if (!isName(name))
                this->faults.push_back({ {}, 0, path, "The name \"" + std::string(name) + "\" is not allowed",
                    "Use 1 to 64 letters, digits, '-', '_' or '.'" });
        }

        static Feature readFeature(SettingsReader& reader, std::string const& key)
        {
            return reader.boolean(key, true) ? Feature::On : Feature::Off;
        }

        void readFleet(Json::Value const& value, std::string const& path)
        {
            // The document calls the dispatchers carriers.
            static constexpr std::array<std::pair<std::string_view, Routing>, 2> routingNames {
                { { "carried", Routing::Dispatched }, { "direct", Routing::Direct } }
            };
            SettingsReader reader(value, path, this->faults);
            auto& fleet = this->result.fleet;
            fleet.dispatchersPerTarget = static_cast<uint32_t>(
                reader.integer("carriersPerTarget", fleet.dispatchersPerTarget, dispatchersPerTargetRange));
            fleet.routing = reader.choice<Routing>("routing", fleet.routing, routingNames);
            fleet.watchers = static_cast<uint32_t>(reader.integer("watchers", fleet.watchers, watchersRange));
            fleet.keyRanges = static_cast<uint32_t>(reader.integer("keyRanges", fleet.keyRanges, keyRangesRange));
            auto const& nodes = reader.object("nodes");
            for (auto const& name : nodes.getMemberNames()) {
                auto const nodePath = appendToPointer(reader.pathOf("nodes"), name);
                this->checkName(nodePath, name);
                SettingsReader nodeReader(nodes[name], nodePath, this->faults);
                fleet.nodes[name] = { name, nodeReader.requiredText("failureDomain") };
                this->applyUnknownKeysPolicy(nodeReader);
            }
            this->applyUnknownKeysPolicy(reader);
        }

        void readClasses(SettingsReader& reader)
        {
            auto const faultsBefore = this->faults.size();
            auto const& values = reader.array("classes");
            auto const path = reader.pathOf("classes");
            for (Json::ArrayIndex index = 0; index < values.size(); ++index)
                this->readClass(values[index], appendToPointer(path, index));
            if (values.empty() && this->faults.size() == faultsBefore)
                reader.report(reader.has("classes") ? "classes" : "", "There is no priority class",
                    "Add \"classes\" with at least one name, most urgent first");
        }

        void readClass(Json::Value const& value, std::string const& path)
        {
            if (!value.isString()) {
                this->faults.push_back({ {}, 0, path, "A class name is not a string", "Write a string here" });
                return;
            }
            auto const name = value.asString();
            this->checkName(path, name);
            auto& classes = this->result.classes;
            if (std::find(classes.begin(), classes.end(), name) != classes.end()) {
                this->faults.push_back(
                    { {}, 0, path, "The class \"" + name + "\" is listed twice", "Remove one of them" });
                return;
            }
            classes.push_back(name);
        }

        void readRules(Json::Value const& rules, std::string const& path)
        {
            for (auto const& name : rules.getMemberNames()) {
                auto const rulePath = appendToPointer(path, name);
                this->checkName(rulePath, name);
                this->result.rules[name] = this->readRule(rules[name], rulePath, name);
            }
        }

        Rule readRule(Json::Value const& value, std::string const& path, std::string const& name)
        {
            static constexpr std::array<std::pair<std::string_view, ReplicaChoice>, 2> replicaChoiceNames {
                { { "load-aware", ReplicaChoice::LoadAware }, { "random", ReplicaChoice::Random } }
            };
            SettingsReader reader(value, path, this->faults);
            Rule rule;
            rule.name = name;
            rule.priority = this->readPriority(reader);
            rule.deadline = { reader.number("deadlineMs", rule.deadline.value, millisecondsRange) };
            rule.minimumCoverage = reader.number("minimumCoverage", rule.minimumCoverage, shareRange);
            rule.hedge = readFeature(reader, "hedge");
            rule.hedgeQuantile = reader.number("hedgeQuantile", rule.hedgeQuantile, shareRange);
            rule.extraLoadBudget = reader.number("extraLoadBudget", rule.extraLoadBudget, shareRange);
            rule.replicaChoice = reader.choice<ReplicaChoice>("replicaChoice", rule.replicaChoice, replicaChoiceNames);
            rule.queueLimit = static_cast<uint32_t>(reader.integer("queueLimit", rule.queueLimit, queueLimitRange));
            rule.ejection = readFeature(reader, "ejection");
            rule.limits = readFeature(reader, "limits");
            rule.atMostOnce = readFeature(reader, "atMostOnce");
            rule.echoCheck = readFeature(reader, "echoCheck");
            rule.objective = this->readObjective(reader.object("objective"), reader.pathOf("objective"));
            this->applyUnknownKeysPolicy(reader);
            return rule;
        }

        std::string readPriority(SettingsReader& reader)
        {
            auto const& classes = this->result.classes;
            auto const faultsBefore = this->faults.size();
            auto priority = reader.text("priority", classes.empty() ? "" : classes.back());
            if (this->faults.size() == faultsBefore && !classes.empty()
                && std::find(classes.begin(), classes.end(), priority) == classes.end())
                reader.report("priority", "The class \"" + priority + "\" does not exist",
                    "Name a member of \"classes\" or add it there");
            return priority;
        }

        Objective readObjective(Json::Value const& value, std::string const& path)
        {
            SettingsReader reader(value, path, this->faults);
            Objective objective;
            objective.latency = { reader.number("latencyMs", objective.latency.value, millisecondsRange) };
            objective.ratio = reader.number("ratio", objective.ratio, objectiveRatioRange);
            this->applyUnknownKeysPolicy(reader);
            return objective;
        }

        void readServices(Json::Value const& services, std::string const& path)
        {
            for (auto const& name : services.getMemberNames()) {
                auto const servicePath = appendToPointer(path, name);
                this->checkName(servicePath, name);
                this->result.services[name] = this->readService(services[name], servicePath, name);
            }
        }

        ServiceDefinition readService(Json::Value const& value, std::string const& path, std::string const& name)
        {
            SettingsReader reader(value, path, this->faults);
            ServiceDefinition service;
            service.name = name;
            auto const faultsBefore = this->faults.size();
            service.rule = reader.requiredText("rule");
            if (this->faults.size() == faultsBefore && !this->result.rules.contains(service.rule))
                reader.report("rule", "The rule \"" + service.rule + "\" does not exist",
                    "Name a member of \"rules\" or add it there");
            auto const& targets = reader.object("targets");
            for (auto const& targetName : targets.getMemberNames()) {
                auto const targetPath = appendToPointer(reader.pathOf("targets"), targetName);
                this->checkName(targetPath, targetName);
                service.targets[targetName] = this->readTarget(targets[targetName], targetPath, targetName);
            }
            this->readSnapshots(service, reader.object("snapshots"), reader.pathOf("snapshots"));
            this->applyUnknownKeysPolicy(reader);
            return service;
        }

        TargetDefinition readTarget(Json::Value const& value, std::string const& path, std::string const& name)
        {
            SettingsReader reader(value, path, this->faults);
            TargetDefinition target;
            target.name = name;
            auto const faultsBefore = this->faults.size();
            target.address = reader.requiredText("address");
            if (this->faults.size() == faultsBefore && !isAddress(target.address))
                reader.report("address", "\"" + target.address + "\" is not an IP address with a port",
                    "Write it as in \"192.0.2.1:9001\" or \"[2001:db8::1]:9001\"; host names are not resolved");
            target.failureDomain = reader.requiredText("failureDomain");
            target.slots = static_cast<uint32_t>(reader.integer("slots", target.slots, slotsRange));
            target.connections
                = static_cast<uint32_t>(reader.integer("connections", target.connections, connectionsRange));
            target.intent = reader.boolean("draining", false) ? TargetIntent::Draining : TargetIntent::Serving;
            this->applyUnknownKeysPolicy(reader);
            return target;
        }

        void readSnapshots(ServiceDefinition& service, Json::Value const& snapshots, std::string const& path)
        {
            std::set<uint64_t> sequences;
            for (auto const& id : snapshots.getMemberNames()) {
                auto const snapshotPath = appendToPointer(path, id);
                this->checkName(snapshotPath, id);
                auto snapshot = this->readSnapshot(service, snapshots[id], snapshotPath, id);
                if (!sequences.insert(snapshot.sequence).second)
                    this->faults.push_back({ {}, 0, appendToPointer(snapshotPath, "sequence"),
                        "Another snapshot of the service has the sequence " + std::to_string(snapshot.sequence),
                        "Give each snapshot its own sequence, the newest the highest" });
                service.snapshots.push_back(std::move(snapshot));
            }
            auto const newer = [](SnapshotDefinition const& one, SnapshotDefinition const& other) {
                return one.sequence > other.sequence;
            };
            std::sort(service.snapshots.begin(), service.snapshots.end(), newer);
        }

        SnapshotDefinition readSnapshot(
            ServiceDefinition const& service, Json::Value const& value, std::string const& path, std::string const& id)
        {
            SettingsReader reader(value, path, this->faults);
            SnapshotDefinition snapshot;
            snapshot.id = id;
            snapshot.sequence = reader.requiredInteger("sequence", sequenceRange);
            auto const faultsBefore = this->faults.size();
            auto const& shards = reader.array("shards");
            if (shards.empty() && this->faults.size() == faultsBefore)
                reader.report(reader.has("shards") ? "shards" : "", "The snapshot has no shards",
                    "Add \"shards\" with a list of target names for each shard");
            for (Json::ArrayIndex index = 0; index < shards.size(); ++index)
                snapshot.shards.push_back(
                    this->readReplicas(service, shards[index], appendToPointer(reader.pathOf("shards"), index)));
            this->applyUnknownKeysPolicy(reader);
            return snapshot;
        }

        std::vector<std::string> readReplicas(
            ServiceDefinition const& service, Json::Value const& value, std::string const& path)
        {
            std::vector<std::string> replicas;
            if (!value.isArray() || value.empty()) {
                this->faults.push_back(
                    { {}, 0, path, "The shard has no target", "Write an array with at least one target name" });
                return replicas;
            }
            for (Json::ArrayIndex index = 0; index < value.size(); ++index) {
                auto const replicaPath = appendToPointer(path, index);
                if (!value[index].isString()) {
                    this->faults.push_back(
                        { {}, 0, replicaPath, "A target name is not a string", "Write a string here" });
                    continue;
                }
                auto const name = value[index].asString();
                if (!service.targets.contains(name))
                    this->faults.push_back({ {}, 0, replicaPath, "The target \"" + name + "\" does not exist",
                        "Name a member of the service's \"targets\" or add it there" });
                else if (std::find(replicas.begin(), replicas.end(), name) != replicas.end())
                    this->faults.push_back(
                        { {}, 0, replicaPath, "The target \"" + name + "\" is listed twice", "Remove one of them" });
                replicas.push_back(name);
            }
            return replicas;
        }

        UnknownKeys unknownKeys;
        std::vector<SettingsFault>& faults;
        Configuration result;
    };

} // namespace

Configuration readDocument(Json::Value const& document, UnknownKeys unknownKeys, std::vector<SettingsFault>& faults)
{
    return DocumentReader(unknownKeys, faults).read(document);
}

} // namespace Toucan
