#include "Base/Error.h"
#include "Base/Json.h"
#include "Operator/FolderReader.h"
#include "Operator/JsonRpcClient.h"
#include "Operator/LogReader.h"
#include "Operator/LossReport.h"
#include "Operator/OperatorCommands.h"
#include "Operator/PlatformStore.h"
#include "Operator/WorkspaceReport.h"
#include "Platform/HttpExchange.h"

#include <array>
#include <cstdlib>
#include <functional>
#include <glog/logging.h>
#include <iostream>
#include <memory>
#include <random>
#include <tclap/CmdLine.h>
#include <thread>

using namespace Toucan;

static constexpr char const* programVersion = "1";
static constexpr double defaultTimeoutMs = 2000;

static constexpr char const* exitCodes = R"(
Exit codes:
  0  done
  1  the configuration is not valid, or a node, service or target is not as it should be
  2  wrong arguments
  3  conflict: another change came first; nothing was overwritten
  4  the store did not answer; nothing was written
  5  result unknown: the answer was lost and could not be read back
)";

/// Returns 128 random bits as 32 hexadecimal digits.
static std::string createChangeId()
{
    std::random_device random;
    std::string id;
    for (int word = 0; word < 4; ++word) {
        std::array<char, 9> digits {};
        std::snprintf(digits.data(), digits.size(), "%08x", random());
        id += digits.data();
    }
    return id;
}

static std::string defaultAuthor()
{
    auto const* user = std::getenv("USER");
    return user ? user : "";
}

namespace {

/// Command-line arguments that several commands share, in addition to those that TCLAP defines itself.
class Arguments {
public:
    explicit Arguments(std::string const& description)
        : line(description, ' ', programVersion)
    {
        this->line.setExceptionHandling(false);
    }

    void addFolder()
    {
        this->folder = std::make_unique<TCLAP::UnlabeledValueArg<std::string>>(
            "folder", "folder of the configuration files (*.json)", true, "", "FOLDER", this->line);
    }
    void addStore()
    {
        this->addTimeout();
        this->store = std::make_unique<TCLAP::ValueArg<std::string>>(
            "s", "store", "address of the platform's key-value store", true, "", "IP:PORT", this->line);
    }
    void addNodes()
    {
        this->addTimeout();
        this->nodes = std::make_unique<TCLAP::MultiArg<std::string>>(
            "n", "node", "name and admin address of a node; repeat it for each node", true, "NAME=IP:PORT", this->line);
    }
    void addAuthor()
    {
        this->author = std::make_unique<TCLAP::ValueArg<std::string>>(
            "a", "author", "name in the history (default: $USER)", false, defaultAuthor(), "NAME", this->line);
    }

    void addTimeout()
    {
        if (!this->timeout)
            this->timeout = std::make_unique<TCLAP::ValueArg<double>>("t", "timeout-ms",
                "time for each answer of the store or of a node (default: 2000)", false, defaultTimeoutMs, "MS",
                this->line);
    }

    std::vector<NamedText> files() const { return readFolder(this->folder->getValue()); }
    std::vector<NodeAddress> nodeAddresses() const
    {
        std::vector<NodeAddress> addresses;
        for (auto const& text : this->nodes->getValue())
            addresses.push_back(parseNodeAddress(text));
        return addresses;
    }

    /// Runs `action` with the operator commands, connected to the store of --store if that was given.
    ExitCode run(std::function<ExitCode(OperatorCommands&)> const& action)
    {
        auto const timeoutMs = this->timeout ? this->timeout->getValue() : defaultTimeoutMs;
        std::unique_ptr<PlatformStore> platformStore;
        if (this->store)
            platformStore = std::make_unique<PlatformStore>(this->store->getValue(), Milliseconds { timeoutMs });
        OperatorCommands::Hooks hooks;
        hooks.callNode = [timeoutMs](std::string const& address, std::string const& method) {
            return callJsonRpc(address, method, timeoutMs);
        };
        hooks.createChangeId = createChangeId;
        hooks.wallClock = Clock::wallClock;
        hooks.pause = [](Milliseconds duration) {
            std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(duration.value));
        };
        OperatorCommands commands(platformStore.get(), std::move(hooks), std::cout, std::cerr);
        return commands.run([&] { return action(commands); });
    }

    TCLAP::CmdLine line;
    std::unique_ptr<TCLAP::ValueArg<double>> timeout;
    std::unique_ptr<TCLAP::UnlabeledValueArg<std::string>> folder;
    std::unique_ptr<TCLAP::ValueArg<std::string>> store;
    std::unique_ptr<TCLAP::MultiArg<std::string>> nodes;
    std::unique_ptr<TCLAP::ValueArg<std::string>> author;
};

struct Command {
    std::string name;
    std::string summary;
    std::function<ExitCode(std::vector<std::string>&)> run;
};

} // namespace

static ExitCode runCheck(std::vector<std::string>& rawArguments)
{
    Arguments arguments("Checks the configuration in a folder without any connection. The files are merged in byte "
                        "order of their names by JSON Merge Patch (RFC 7396). All errors are listed with file, line, "
                        "key and remedy. Exit codes: 0 valid, 1 not valid, 2 wrong arguments.");
    arguments.addFolder();
    arguments.line.parse(rawArguments);
    auto const files = arguments.files();
    return arguments.run([&](OperatorCommands& commands) { return commands.check(files); });
}

static ExitCode runDiff(std::vector<std::string>& rawArguments)
{
    Arguments arguments("Shows what apply would change, by key: + added, - removed, ~ changed. Exit codes: 0 shown, "
                        "1 the folder is not valid, 2 wrong arguments, 4 the store did not answer.");
    arguments.addFolder();
    arguments.addStore();
    arguments.line.parse(rawArguments);
    auto const files = arguments.files();
    return arguments.run([&](OperatorCommands& commands) { return commands.diff(files); });
}

static ExitCode runApply(std::vector<std::string>& rawArguments)
{
    Arguments arguments(
        "Checks the folder and makes it the new version of the configuration in one transaction. When another change "
        "comes first, nothing is overwritten. When the answer is lost, the result is read back by the change's id. "
        "Exit codes: 0 accepted or unchanged, 1 the folder is not valid, 2 wrong arguments, 3 conflict, 4 the store "
        "did not answer and nothing was written, 5 result unknown (see tgctl history --change).");
    TCLAP::ValueArg<uint64_t> const expect(
        "e", "expect", "refuse unless the store holds this version", false, 0, "VERSION", arguments.line);
    arguments.addFolder();
    arguments.addStore();
    arguments.addAuthor();
    arguments.line.parse(rawArguments);
    auto const files = arguments.files();
    auto const expected = expect.isSet() ? std::optional(expect.getValue()) : std::nullopt;
    return arguments.run(
        [&](OperatorCommands& commands) { return commands.apply(files, arguments.author->getValue(), expected); });
}

static ExitCode runHistory(std::vector<std::string>& rawArguments)
{
    Arguments arguments("Lists the accepted versions, oldest first. Exit codes: 0 listed, 1 the change given with "
                        "--change was not accepted, 2 wrong arguments, 4 the store did not answer.");
    TCLAP::ValueArg<std::string> const change(
        "c", "change", "show only the change with this id", false, "", "ID", arguments.line);
    arguments.addStore();
    arguments.line.parse(rawArguments);
    return arguments.run([&](OperatorCommands& commands) { return commands.history(change.getValue()); });
}

static ExitCode runStatus(std::vector<std::string>& rawArguments)
{
    Arguments arguments("Shows which node has which version of the configuration. Exit codes: 0 all nodes are "
                        "current, 1 a node is behind or does not answer, 2 wrong arguments, 4 the store did not "
                        "answer.");
    arguments.addStore();
    arguments.addNodes();
    arguments.line.parse(rawArguments);
    auto const nodes = arguments.nodeAddresses();
    return arguments.run([&](OperatorCommands& commands) { return commands.status(nodes); });
}

static ExitCode runBurn(std::vector<std::string>& rawArguments)
{
    Arguments arguments(
        "Shows how fast each service uses up its error budget, summed over the nodes. A burn rate of 1 uses up the "
        "budget exactly in its period of 30 days. Level page: above 14.4 over 1h and 5m, or above 6 over 6h and 1h; "
        "ticket: above 1 over 3d and 6h. Exit codes: 0 all services are ok, 1 a service is at page or ticket or a "
        "node did not answer, 2 wrong arguments.");
    TCLAP::SwitchArg const json("j", "json", "print JSON in place of the table", arguments.line);
    TCLAP::ValueArg<std::string> const html(
        "", "html", "also write a self-contained page", false, "", "FILE", arguments.line);
    arguments.addNodes();
    arguments.line.parse(rawArguments);
    auto const nodes = arguments.nodeAddresses();
    auto const format = json.getValue() ? BurnFormat::Json : BurnFormat::Table;
    return arguments.run([&](OperatorCommands& commands) { return commands.burn(nodes, format, html.getValue()); });
}

static ExitCode runDrain(std::vector<std::string>& rawArguments)
{
    Arguments arguments("Sets \"draining\" of one target, and changes nothing else, by the same transaction as apply. "
                        "A later apply of a folder without that key ends the drain. Exit codes: 0 accepted or "
                        "unchanged, 1 unknown or ambiguous target, 2 wrong arguments, 3 conflict, 4 the store did not "
                        "answer and nothing was written, 5 result unknown (see tgctl history --change).");
    TCLAP::UnlabeledValueArg<std::string> const target("target",
        "name of the target; SERVICE/TARGET when several services have it", true, "", "TARGET", arguments.line);
    TCLAP::SwitchArg const undo("u", "undo", "end the drain", arguments.line);
    arguments.addStore();
    arguments.addAuthor();
    arguments.line.parse(rawArguments);
    auto const change = undo.getValue() ? DrainChange::Undo : DrainChange::Drain;
    return arguments.run([&](OperatorCommands& commands) {
        return commands.drain(target.getValue(), change, arguments.author->getValue());
    });
}

static ExitCode runView(std::vector<std::string>& rawArguments)
{
    Arguments arguments("Prints the state of one node as JSON. Exit codes: 0 shown, 1 the node did not answer, 2 "
                        "wrong arguments.");
    TCLAP::UnlabeledValueArg<std::string> const name(
        "name", "name of the node, whose address --node gives", true, "", "NODE", arguments.line);
    arguments.addNodes();
    arguments.line.parse(rawArguments);
    auto const nodes = arguments.nodeAddresses();
    return arguments.run([&](OperatorCommands& commands) { return commands.view(nodes, name.getValue()); });
}

static ExitCode runLosses(std::vector<std::string>& rawArguments)
{
    constexpr double defaultSliceSeconds = 2;
    constexpr double bytesPerMegabyte = 1e6;
    Arguments arguments(
        "Counts, from the logs of toucan-gateway nodes, which requests were late, partial, refused or failed in each "
        "time slice, by cause, with the shard and the target that most of them name. Lines that cannot be read are "
        "counted. Exit codes: 0 counted, 2 wrong arguments or a file that cannot be read.");
    TCLAP::UnlabeledMultiArg<std::string> const logs(
        "logs", "files of the nodes' logs", true, "FILE...", arguments.line);
    TCLAP::ValueArg<double> const slice(
        "", "slice", "length of a time slice (default: 2)", false, defaultSliceSeconds, "SECONDS", arguments.line);
    TCLAP::SwitchArg const json("j", "json", "print JSON in place of the table", arguments.line);
    arguments.line.parse(rawArguments);
    if (!(slice.getValue() > 0))
        throw Error(ErrorKind::InvalidInput, "The slice must be longer than 0 s", "Give --slice in seconds");
    LossReport report(Milliseconds { 1000 * slice.getValue() });
    LogReaderHooks hooks;
    hooks.line = [&report](std::string_view line, std::string_view place) { report.add(line, place); };
    hooks.progress = [](uint64_t read, uint64_t total) {
        std::cerr << "read " << static_cast<double>(read) / bytesPerMegabyte << " of "
                  << static_cast<double>(total) / bytesPerMegabyte << " MB\n";
    };
    readLogs(logs.getValue(), hooks);
    std::cout << (json.getValue() ? writeJson(report.toJson()) + "\n" : report.table());
    return ExitCode::Ok;
}

static ExitCode runWorkspaces(std::vector<std::string>& rawArguments)
{
    constexpr Milliseconds timeout { 2000 };
    Arguments arguments("Shows the limits of workspaces, their use over the given toucan-gateway nodes, and which are "
                        "above 0.8 of their limit. Each node names the 20 workspaces with the most requests. Exit "
                        "codes: 0 shown, 1 a node did not answer, 2 wrong arguments.");
    TCLAP::UnlabeledMultiArg<std::string> const addresses(
        "nodes", "addresses of the nodes' metrics", true, "IP:PORT...", arguments.line);
    TCLAP::SwitchArg const json("j", "json", "print JSON in place of the table", arguments.line);
    arguments.line.parse(rawArguments);
    WorkspaceReport report;
    auto result = ExitCode::Ok;
    for (auto const& address : addresses.getValue()) {
        try {
            Poco::Net::HTTPClientSession session;
            configureSession(session, address, timeout);
            Poco::Net::HTTPResponse response;
            auto& body = exchange(session, "GET", "/metrics", "", response);
            report.add(readBody(session, body, response, Clock::now() + timeout));
        } catch (Error const& error) {
            if (error.kind() == ErrorKind::InvalidSettings)
                throw;
            std::cerr << address << ": " << error.what() << "\n";
            result = ExitCode::CheckFailed;
        }
    }
    std::cout << (json.getValue() ? writeJson(report.toJson()) + "\n" : report.table());
    return result;
}

static std::vector<Command> const& allCommands()
{
    static std::vector<Command> const commands {
        { "check", "check a folder without any connection", runCheck },
        { "diff", "show what apply would change", runDiff },
        { "apply", "make a folder the new version of the configuration", runApply },
        { "history", "list the accepted versions", runHistory },
        { "status", "show which node has which version", runStatus },
        { "burn", "show the use of the services' error budgets", runBurn },
        { "drain", "take a target out of service, or back", runDrain },
        { "view", "print the state of one node", runView },
        { "losses", "count from gateways' logs which requests were not served well, and why", runLosses },
        { "workspaces", "show the use of the workspaces' limits", runWorkspaces },
    };
    return commands;
}

static void printUsage(std::ostream& stream)
{
    stream << "Usage: tgctl COMMAND [ARGUMENTS]\n\nCommands (tgctl COMMAND --help explains each):\n";
    for (auto const& command : allCommands())
        stream << "  " << command.name << std::string(12 - command.name.size(), ' ') << command.summary << "\n";
    stream << exitCodes;
}

static ExitCode runCommand(Command const& command, std::vector<std::string> rawArguments)
{
    try {
        return command.run(rawArguments);
    } catch (TCLAP::ExitException const& exception) {
        return exception.getExitStatus() ? ExitCode::Usage : ExitCode::Ok;
    } catch (TCLAP::ArgException const& exception) {
        std::cerr << exception.error() << " " << exception.argId() << ". Run tgctl " << command.name << " --help\n";
    } catch (Error const& error) {
        std::cerr << error.what() << "\n";
    }
    return ExitCode::Usage;
}

int main(int argc, char** argv)
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    std::string const name = argc > 1 ? argv[1] : "";
    if (name == "--help" || name == "-h") {
        printUsage(std::cout);
        return static_cast<int>(ExitCode::Ok);
    }
    for (auto const& command : allCommands()) {
        if (command.name != name)
            continue;
        std::vector<std::string> rawArguments { "tgctl " + name };
        rawArguments.insert(rawArguments.end(), argv + 2, argv + argc);
        return static_cast<int>(runCommand(command, std::move(rawArguments)));
    }
    printUsage(std::cerr);
    return static_cast<int>(ExitCode::Usage);
}
