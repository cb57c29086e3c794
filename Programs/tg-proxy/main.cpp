#include "Base/Error.h"
#include "Bench/FaultProxy.h"

#include <glog/logging.h>
#include <tclap/CmdLine.h>

/// Forwards TCP connections and injects faults on request, for tests and measurements.
int main(int argc, char** argv)
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    try {
        TCLAP::CmdLine arguments("Fault-injecting TCP proxy of toucangauge");
        TCLAP::ValueArg<std::string> const listen(
            "", "listen", "Listener of the first route", false, "", "address", arguments);
        TCLAP::ValueArg<std::string> const target(
            "", "to", "Target of the first route", false, "", "address", arguments);
        TCLAP::MultiArg<std::string> const routes("", "route", "One more route", false, "LISTEN=TARGET", arguments);
        TCLAP::ValueArg<std::string> const control(
            "", "control", "Listener of the HTTP control", true, "", "address", arguments);
        TCLAP::ValueArg<uint64_t> const seed("", "seed", "Seed of the random faults", false, 1, "number", arguments);
        arguments.parse(argc, argv);
        if (listen.isSet() != target.isSet())
            throw Toucan::Error(
                Toucan::ErrorKind::InvalidSettings, "--listen and --to must be given together", "Give both or neither");
        auto routeSpecifications = routes.getValue();
        if (listen.isSet())
            routeSpecifications.push_back(listen.getValue() + "=" + target.getValue());
        Toucan::Bench::BenchLoop loop;
        loop.stopOnSignals();
        Toucan::Bench::FaultProxy const proxy(loop, control.getValue(), routeSpecifications, seed.getValue());
        LOG(INFO) << "Fault proxy is listening";
        loop.run();
        return 0;
    } catch (std::exception const& exception) {
        LOG(ERROR) << exception.what();
        return 1;
    }
}
