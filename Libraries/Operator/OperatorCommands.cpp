#include "Operator/OperatorCommands.h"

#include "Base/Error.h"
#include "Configuration/ConfigurationDifference.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>
#include <algorithm>
#include <fstream>
#include <iomanip>
#include <json/writer.h>
#include <ostream>

namespace Toucan {

// A drain changes a single member, so after a conflict it is safe to retry on top of the other operator's change.
static constexpr unsigned maximumDrainAttempts = 5;

static std::string formatTime(Milliseconds wallClock)
{
    Poco::Timestamp const time(static_cast<Poco::Timestamp::TimeVal>(wallClock.value * 1000));
    return Poco::DateTimeFormatter::format(time, Poco::DateTimeFormat::ISO8601_FORMAT);
}

static std::ostream& operator<<(std::ostream& stream, ConfigurationRoot const& root)
{
    return stream << "version " << root.version << " by " << (root.author.empty() ? "unknown" : root.author) << " at "
                  << formatTime(root.time) << ", change " << root.changeId;
}

NodeAddress parseNodeAddress(std::string const& text)
{
    auto const equals = text.find('=');
    if (equals == 0 || equals == std::string::npos || equals + 1 == text.size())
        throw Error(ErrorKind::InvalidInput, "\"" + text + "\" does not name a node", "Write NAME=IP:PORT");
    return { text.substr(0, equals), text.substr(equals + 1) };
}

OperatorCommands::OperatorCommands(OperatorStore* store, Hooks hooks, std::ostream& output, std::ostream& errors)
    : store(store)
    , hooks(std::move(hooks))
    , output(output)
    , errors(errors)
{
}

ExitCode OperatorCommands::run(std::function<ExitCode()> const& command)
{
    try {
        return command();
    } catch (SettingsError const& error) {
        for (auto const& fault : error.faults())
            this->errors << describe(fault) << "\n";
        this->errors << error.faults().size() << " errors; nothing was applied\n";
        return ExitCode::CheckFailed;
    } catch (Error const& error) {
        this->errors << error.what() << "\n";
        auto const unreachable = error.kind() == ErrorKind::Unavailable || error.kind() == ErrorKind::Timeout;
        return unreachable ? ExitCode::StoreUnreachable : ExitCode::CheckFailed;
    }
}

ExitCode OperatorCommands::check(std::vector<NamedText> const& files)
{
    auto const merge = FolderMerge::create(files);
    auto const configuration = parseDocument(merge.document(), 0, "");
    size_t targets = 0;
    for (auto const& [name, service] : configuration->services)
        targets += service.targets.size();
    this->output << "valid: " << files.size() << " files, " << configuration->fleet.nodes.size() << " nodes, "
                 << configuration->rules.size() << " rules, " << configuration->services.size() << " services, "
                 << targets << " targets\n";
    return ExitCode::Ok;
}

ExitCode OperatorCommands::diff(std::vector<NamedText> const& files)
{
    auto const merge = FolderMerge::create(files);
    auto const stored = readStoredRoot(*this->store);
    auto const document = readStoredDocument(*this->store, stored.root);
    auto const difference = ConfigurationDifference::between(document, merge.document());
    this->output << difference.describe() << difference.changes().size() << " changes to version "
                 << stored.root.version << "\n";
    return ExitCode::Ok;
}

ConfigurationWriter::Change OperatorCommands::createChange(std::string const& author) const
{
    return { this->hooks.createChangeId(), author, this->hooks.wallClock() };
}

static uint32_t keyRangesOf(Json::Value const& document)
{
    return document["fleet"].get("keyRanges", FleetDefinition {}.keyRanges).asUInt();
}

/// Nodes that map request keys to different ranges could execute a command with one key twice.
static void rejectKeyRangeChange(Json::Value const& activeDocument, Json::Value const& next)
{
    auto const before = std::to_string(keyRangesOf(activeDocument));
    auto const after = std::to_string(keyRangesOf(next));
    if (before == after)
        return;
    throw Error(ErrorKind::InvalidInput,
        "fleet.keyRanges cannot change from " + before + " to " + after + " while a configuration is in force",
        "Keep " + before + ". Another number needs an empty store: stop every node, wait 60 s, then apply");
}

ExitCode OperatorCommands::apply(
    std::vector<NamedText> const& files, std::string const& author, std::optional<uint64_t> expectedVersion)
{
    auto const merge = FolderMerge::create(files);
    auto const stored = readStoredRoot(*this->store);
    if (expectedVersion && stored.root.version != *expectedVersion) {
        this->errors << "conflict: expected version " << *expectedVersion << ", the store holds " << stored.root
                     << ". Nothing was written. Compare with tgctl diff and apply again\n";
        return ExitCode::Conflict;
    }
    if (stored.revision)
        rejectKeyRangeChange(readStoredDocument(*this->store, stored.root), merge.document());
    ConfigurationWriter writer(*this->store, this->hooks.pause);
    return this->reportWrite(writer.write(stored, splitDocument(merge.document()), this->createChange(author)));
}

ExitCode OperatorCommands::reportWrite(WriteOutcome const& outcome)
{
    switch (outcome.kind) {
    case WriteOutcome::Kind::Accepted:
        this->output << "accepted: " << outcome.root << "\n";
        if (outcome.lostResponses)
            this->output << "the answer was lost " << outcome.lostResponses << " times; the change was read back\n";
        return ExitCode::Ok;
    case WriteOutcome::Kind::Unchanged:
        this->output << "unchanged: " << outcome.root << "\n";
        return ExitCode::Ok;
    case WriteOutcome::Kind::Conflict:
        this->errors << "conflict: not accepted, another change came first";
        if (outcome.competingRoot)
            this->errors << ": " << *outcome.competingRoot;
        this->errors << ". Nothing was overwritten. Compare with tgctl diff and apply again\n";
        return ExitCode::Conflict;
    case WriteOutcome::Kind::NotSent:
        this->errors << "not accepted, the store cannot be reached: " << outcome.storeError
                     << ". The configuration is unchanged\n";
        return ExitCode::StoreUnreachable;
    case WriteOutcome::Kind::Unknown:
        break;
    }
    this->errors << "unknown whether accepted: " << outcome.root << ": " << outcome.storeError
                 << ". When the store answers, run tgctl history --change " << outcome.root.changeId << "\n";
    return ExitCode::ResultUnknown;
}

ExitCode OperatorCommands::history(std::string const& changeId)
{
    auto const roots = readHistory(*this->store);
    bool found = false;
    for (auto const& root : roots) {
        if (!changeId.empty() && root.changeId != changeId)
            continue;
        found = true;
        this->output << root << "\n";
    }
    if (found || changeId.empty())
        return ExitCode::Ok;
    this->errors << "the change " << changeId << " is not in the history: it was not accepted\n";
    return ExitCode::CheckFailed;
}

std::string OperatorCommands::nodeState(NodeAddress const& node, ConfigurationRoot const& root, bool& current) const
{
    try {
        auto const answer = this->hooks.callNode(node.address, "configurationVersion");
        if (!answer.isObject() || !answer["version"].isUInt64()) {
            current = false;
            return "answered without a version";
        }
        auto const version = answer["version"].asUInt64();
        auto const text = "version " + std::to_string(version);
        // The node may have installed a version that was accepted after `root` was read.
        if (version >= root.version)
            return text + ", current";
        current = false;
        return text + ", behind by " + std::to_string(root.version - version);
    } catch (Error const& error) {
        current = false;
        return error.detail();
    }
}

ExitCode OperatorCommands::status(std::vector<NodeAddress> const& nodes)
{
    auto const stored = readStoredRoot(*this->store);
    this->output << "store: " << stored.root << "\n";
    size_t currentNodes = 0;
    for (auto const& node : nodes) {
        bool current = true;
        auto const state = this->nodeState(node, stored.root, current);
        this->output << node.name << " (" << node.address << "): " << state << "\n";
        currentNodes += current ? 1 : 0;
    }
    this->output << currentNodes << " of " << nodes.size() << " nodes are current\n";
    return currentNodes == nodes.size() ? ExitCode::Ok : ExitCode::CheckFailed;
}

std::optional<OperatorCommands::TargetPath> OperatorCommands::findTarget(
    Json::Value const& document, std::string const& name)
{
    auto const slash = name.find('/');
    auto const service = slash == std::string::npos ? "" : name.substr(0, slash);
    auto const target = slash == std::string::npos ? name : name.substr(slash + 1);
    std::vector<TargetPath> found;
    auto const& services = document["services"];
    for (auto const& serviceName : services.getMemberNames()) {
        if ((service.empty() || service == serviceName) && services[serviceName]["targets"].isMember(target))
            found.push_back({ serviceName, target });
    }
    if (found.size() == 1)
        return found.front();
    if (found.empty())
        this->errors << "the target " << name << " is not in the configuration. Check the name with tgctl diff\n";
    else
        this->errors << "the target " << name << " is in " << found.size() << " services. Write SERVICE/TARGET, as in "
                     << found.front().service << "/" << target << "\n";
    return std::nullopt;
}

ExitCode OperatorCommands::drain(std::string const& target, DrainChange change, std::string const& author)
{
    for (unsigned attempt = 1;; ++attempt) {
        auto const stored = readStoredRoot(*this->store);
        auto document = readStoredDocument(*this->store, stored.root);
        auto const found = this->findTarget(document, target);
        if (!found)
            return ExitCode::CheckFailed;
        auto& definition = document["services"][found->service]["targets"][found->target];
        auto const draining = change == DrainChange::Drain;
        // A missing member means false, so "draining": false is not added to a target that does not drain.
        if (definition.get("draining", false).asBool() != draining)
            definition["draining"] = draining;
        ConfigurationWriter writer(*this->store, this->hooks.pause);
        auto const outcome = writer.write(stored, splitDocument(document), this->createChange(author));
        if (outcome.kind != WriteOutcome::Kind::Conflict || attempt == maximumDrainAttempts)
            return this->reportWrite(outcome);
    }
}

ExitCode OperatorCommands::view(std::vector<NodeAddress> const& nodes, std::string const& name)
{
    auto const named = [&](NodeAddress const& node) { return node.name == name; };
    auto const node = std::find_if(nodes.begin(), nodes.end(), named);
    if (node == nodes.end()) {
        this->errors << "the node " << name << " has no address. Add --node " << name << "=IP:PORT\n";
        return ExitCode::Usage;
    }
    try {
        auto const answer = this->hooks.callNode(node->address, "view");
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "  ";
        this->output << Json::writeString(builder, answer) << "\n";
        return ExitCode::Ok;
    } catch (Error const& error) {
        this->errors << error.what() << "\n";
        return ExitCode::CheckFailed;
    }
}

BurnReport OperatorCommands::collectBurn(std::vector<NodeAddress> const& nodes)
{
    BurnReport report;
    for (auto const& node : nodes) {
        try {
            report.add(node.name, this->hooks.callNode(node.address, "burn"));
        } catch (Error const& error) {
            report.addMissingNode(node.name, error.detail());
        }
    }
    return report;
}

ExitCode OperatorCommands::burn(std::vector<NodeAddress> const& nodes, BurnFormat format, std::string const& htmlFile)
{
    auto const report = this->collectBurn(nodes);
    if (format == BurnFormat::Json) {
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "  ";
        builder["precision"] = 6;
        this->output << Json::writeString(builder, report.toJson()) << "\n";
    } else {
        this->output << report.table();
    }
    if (!htmlFile.empty()) {
        std::ofstream stream(htmlFile, std::ios::binary);
        stream << report.toHtml(formatTime(this->hooks.wallClock())) << std::flush;
        if (!stream) {
            this->errors << "the file " << htmlFile << " cannot be written. Check the folder and its permissions\n";
            return ExitCode::Usage;
        }
    }
    return report.anyAlert() || !report.missingNodes().empty() ? ExitCode::CheckFailed : ExitCode::Ok;
}

} // namespace Toucan
