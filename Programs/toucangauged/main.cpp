#include "Base/Error.h"
#include "Node/ControlThread.h"
#include "Node/Node.h"
#include "Node/NodeSettings.h"
#include "Node/WatchThread.h"

#include <csignal>
#include <glog/logging.h>
#include <iostream>
#include <pthread.h>
#include <string>
#include <tclap/CmdLine.h>

using namespace Toucan;

static constexpr int exitInvalidSettings = 2;

/// Returns the path of the settings file.
static std::string parseArguments(int argc, char** argv)
{
    TCLAP::CmdLine command("Entry node of toucangauge", ' ', "1");
    TCLAP::ValueArg<std::string> settings(
        "s", "settings", "Settings file, JSON with comments", true, "", "FILE", command);
    command.parse(argc, argv);
    return settings.getValue();
}

/// Blocks SIGTERM and SIGINT before any thread starts, so that all threads inherit the mask and only waitForSignal()
/// receives them.
static sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

static void waitForSignal(sigset_t const& signals)
{
    int signal = 0;
    sigwait(&signals, &signal);
    LOG(INFO) << "Signal " << signal << " received";
}

/// Returns a handler that pushes replies into a ring of the engine thread and wakes that thread.
static StoreReplyHandler createReplyHandler(StoreReplyRing& ring, EngineThread& engine)
{
    return [&ring, &engine](StoreReply&& reply) {
        bool const pushed = ring.tryPush(reply);
        engine.wake();
        return pushed;
    };
}

static void runNode(NodeOptions const& options, sigset_t const& signals)
{
    Node node(options);
    auto& engine = node.engine();
    ControlThread control({ options.store, options.vmList }, createReplyHandler(engine.controlReplies(), engine));
    WatchThread watch({ options.store }, createReplyHandler(engine.watchReplies(), engine));
    node.start({ [&control](StoreRequest&& request) { control.request(std::move(request)); },
        [&watch](bool watching) { watch.setWatching(watching); } });
    waitForSignal(signals);
    // Further signals stay blocked and have no effect.
    node.stop();
    watch.stop();
    control.stop();
}

int main(int argc, char** argv)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    auto const settingsPath = parseArguments(argc, argv);
    auto const signals = blockStopSignals();
    try {
        auto const options = readNodeSettings(settingsPath);
        runNode(options, signals);
        return 0;
    } catch (Error const& error) {
        std::cerr << error.what() << '\n';
        return error.kind() == ErrorKind::InvalidSettings ? exitInvalidSettings : 1;
    }
}
