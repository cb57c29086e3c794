#pragma once

#include "Configuration/FolderMerge.h"
#include "Operator/BurnReport.h"
#include "Operator/ConfigurationWriter.h"
#include "Operator/ExitCode.h"
#include "Operator/OperatorStore.h"

#include <functional>
#include <iosfwd>
#include <json/value.h>
#include <optional>
#include <string>
#include <vector>

namespace Toucan {

/// A node's name and the IP address and port of its admin listener.
struct NodeAddress {
    std::string name;
    std::string address;
};

/// Reads "NAME=IP:PORT". Throws Error of kind InvalidInput.
NodeAddress parseNodeAddress(std::string const& text);

enum class DrainChange {
    Drain,
    Undo,
};

enum class BurnFormat {
    Table,
    Json,
};

/// The commands of tgctl. Each writes its result to `output` and its errors to `errors` and returns the exit code.
class OperatorCommands {
public:
    struct Hooks {
        /// Calls a JSON-RPC method on a node's admin port; throws Error.
        std::function<Json::Value(std::string const& address, std::string const& method)> callNode;
        std::function<std::string()> createChangeId;
        std::function<Milliseconds()> wallClock;
        ConfigurationWriter::Pause pause;
    };

    /// `store` may be null for commands that do not use it.
    OperatorCommands(OperatorStore* store, Hooks hooks, std::ostream& output, std::ostream& errors);

    ExitCode check(std::vector<NamedText> const& files);
    ExitCode diff(std::vector<NamedText> const& files);
    /// With `expectedVersion` the change is rejected unless that version is the stored one.
    ExitCode apply(
        std::vector<NamedText> const& files, std::string const& author, std::optional<uint64_t> expectedVersion);
    /// Lists all versions, or only the one with `changeId` if that is not empty.
    ExitCode history(std::string const& changeId);
    ExitCode status(std::vector<NodeAddress> const& nodes);
    /// Sets the member "draining" of one target, given as TARGET or SERVICE/TARGET.
    ExitCode drain(std::string const& target, DrainChange change, std::string const& author);
    ExitCode view(std::vector<NodeAddress> const& nodes, std::string const& name);
    /// Prints the burn rates summed over the nodes and, unless `htmlFile` is empty, writes them to it as an HTML page.
    /// Returns CheckFailed if a service is at an alert level or a node does not respond.
    ExitCode burn(std::vector<NodeAddress> const& nodes, BurnFormat format, std::string const& htmlFile);

    /// Runs a command and converts its exceptions to messages and exit codes.
    ExitCode run(std::function<ExitCode()> const& command);

private:
    struct TargetPath {
        std::string service;
        std::string target;
    };

    BurnReport collectBurn(std::vector<NodeAddress> const& nodes);
    ConfigurationWriter::Change createChange(std::string const& author) const;
    ExitCode reportWrite(WriteOutcome const& outcome);
    std::optional<TargetPath> findTarget(Json::Value const& document, std::string const& name);
    std::string nodeState(NodeAddress const& node, ConfigurationRoot const& root, bool& current) const;

    OperatorStore* store;
    Hooks hooks;
    std::ostream& output;
    std::ostream& errors;
};

} // namespace Toucan
