#include "Base/Error.h"
#include "Base/Json.h"
#include "Bench/PlatformStandIn.h"

#include <csignal>
#include <fstream>
#include <glog/logging.h>
#include <iterator>
#include <tclap/CmdLine.h>

using namespace Toucan;

/// An empty list for an empty path. Throws Error of kind InvalidSettings when the file cannot be read, and of kind
/// InvalidInput when it is not JSON.
static Json::Value readVmFile(std::string const& path)
{
    if (path.empty())
        return Json::arrayValue;
    std::ifstream file(path);
    if (!file)
        throw Error(ErrorKind::InvalidSettings, "Cannot read '" + path + "'", "Name a file with a JSON array of VMs");
    return parseJson(std::string(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()));
}

/// Serves until SIGINT or SIGTERM.
static void serve(PlatformStandIn::Options const& options)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    // Blocked before any thread starts, so that only sigwait() receives them.
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    PlatformStandIn const platform(options);
    LOG(INFO) << "Platform stand-in is listening on " << platform.endpoint();
    int received = 0;
    sigwait(&signals, &received);
}

/// Serves the stand-in for the platform until SIGINT or SIGTERM, for tests and measurements.
int main(int argc, char** argv)
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    try {
        TCLAP::CmdLine command("Stand-in for the platform's key-value store and list of VMs", ' ', "1");
        TCLAP::ValueArg<std::string> const listen(
            "", "listen", "address to serve", false, "127.0.0.1:2379", "IP:PORT", command);
        TCLAP::ValueArg<std::string> const vms("", "vms", "JSON array of VMs", false, "", "FILE", command);
        TCLAP::ValueArg<double> const lag(
            "", "vm-list-lag-ms", "time until a new list of VMs is visible", false, 0, "N", command);
        command.parse(argc, argv);
        PlatformStandIn::Options options;
        options.listen = listen.getValue();
        options.vms = readVmFile(vms.getValue());
        options.vmListLag = Milliseconds { lag.getValue() };
        serve(options);
    } catch (Error const& error) {
        LOG(ERROR) << error.what();
        return 1;
    } catch (TCLAP::ArgException const& exception) {
        LOG(ERROR) << exception.error() << " " << exception.argId();
        return 2;
    }
    return 0;
}
