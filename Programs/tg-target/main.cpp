#include "Bench/Settings.h"
#include "Bench/TargetFleet.h"

#include <glog/logging.h>
#include <tclap/CmdLine.h>

/// Serves the target protocol for many targets in one process, for tests and measurements.
int main(int argc, char** argv)
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    try {
        TCLAP::CmdLine arguments("Target stand-ins of toucangauge");
        TCLAP::ValueArg<std::string> const settings("", "settings", "JSON settings file", true, "", "file", arguments);
        arguments.parse(argc, argv);
        Toucan::Bench::BenchLoop loop;
        loop.stopOnSignals();
        Toucan::Bench::TargetFleet const fleet(loop, Toucan::Bench::readSettings(settings.getValue()));
        LOG(INFO) << "Target stand-ins are listening";
        loop.run();
        return 0;
    } catch (std::exception const& exception) {
        LOG(ERROR) << exception.what();
        return 1;
    }
}
