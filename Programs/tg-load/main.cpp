#include "Base/Json.h"
#include "Bench/LoadGenerator.h"
#include "Bench/Settings.h"

#include <fstream>
#include <glog/logging.h>
#include <iostream>
#include <tclap/CmdLine.h>

/// Sends an open-loop load to the nodes, writes a history and prints a report.
int main(int argc, char** argv)
{
    using namespace Toucan;
    using namespace Toucan::Bench;
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    try {
        TCLAP::CmdLine arguments("Open-loop load generator of toucangauge");
        TCLAP::ValueArg<std::string> const file("", "settings", "JSON settings file", true, "", "file", arguments);
        TCLAP::ValueArg<std::string> const record(
            "", "record", "Writes the arrivals to a trace", false, "", "file", arguments);
        TCLAP::ValueArg<std::string> const replay(
            "", "replay", "Sends the arrivals of a trace instead of the mix", false, "", "file", arguments);
        TCLAP::ValueArg<std::string> const report(
            "", "json", "Writes the report as JSON", false, "", "file", arguments);
        arguments.parse(argc, argv);
        auto const settings = LoadSettings::parse(readSettings(file.getValue()));
        auto const arrivals = replay.isSet() ? replayTrace(replay.getValue()) : planArrivals(settings);
        if (record.isSet())
            recordTrace(record.getValue(), arrivals);
        BenchLoop loop;
        loop.stopOnSignals();
        LoadGenerator generator(loop, settings, arrivals);
        generator.start();
        loop.run();
        std::cout << generator.report().table();
        if (report.isSet())
            std::ofstream(report.getValue()) << writeJson(generator.report().json()) << '\n';
        return 0;
    } catch (std::exception const& exception) {
        LOG(ERROR) << exception.what();
        return 1;
    }
}
