#include <glog/logging.h>

// CppUTest redefines operator new by macros, which breaks headers that are included after it.
#include "CppUTest/CommandLineTestRunner.h"
#include "CppUTest/MemoryLeakWarningPlugin.h"

int main(int argc, char** argv)
{
    // POCO and glog keep static allocations that CppUTest would report as leaks; the sanitizer build checks leaks.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = google::GLOG_FATAL;
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
