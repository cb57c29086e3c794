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

/// The commands of tgctl. Each writes its result to `output` and its errors to `errors`, and returns the exit code.
class OperatorCommands {
public:
    struct Hooks {
        /// Calls a method of a node's admin port; throws Error.
        std::function<Json::Value(std::string const& address, std::string const& method)> callNode;
        std::function<std::string()> createChangeId;
        std::function<Milliseconds()> wallClock;
        ConfigurationWriter::Pause pause;
    };

    /// `store` may be null for commands that do not use it.
    OperatorCommands(OperatorStore* store, Hooks hooks, std::ostream& output, std::ostream& errors);

    ExitCode check(std::vector<NamedText> const& files);
    ExitCode diff(std::vector<NamedText> const& files);
    /// With `expectedVersion` the change is refused unless the store holds that version.
    ExitCode apply(
        std::vector<NamedText> const& files, std::string const& author, std::optional<uint64_t> expectedVersion);
    /// All versions, or only the one with `changeId` when it is not empty.
    ExitCode history(std::string const& changeId);
    ExitCode status(std::vector<NodeAddress> const& nodes);
    /// Changes the member "draining" of one target, given as TARGET or SERVICE/TARGET.
    ExitCode drain(std::string const& target, DrainChange change, std::string const& author);
    ExitCode view(std::vector<NodeAddress> const& nodes, std::string const& name);
    /// Burn rates summed over the nodes; also written as a page to `htmlFile` unless that is empty. CheckFailed when a
    /// service burns at an alert level or a node does not answer.
    ExitCode burn(std::vector<NodeAddress> const& nodes, BurnFormat format, std::string const& htmlFile);

    /// Runs a command and turns its errors into messages and exit codes.
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
