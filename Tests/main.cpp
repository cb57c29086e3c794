#include <glog/logging.h>

// CppUTest redefines operator new by macros, which breaks headers that are included after it.
#include "CppUTest/CommandLineTestRunner.h"
#include "CppUTest/MemoryLeakWarningPlugin.h"
#include "CppUTest/TestRegistry.h"

int main(int argc, char** argv)
{
    // POCO and glog keep static allocations that CppUTest would report as leaks; the sanitizer build checks leaks.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = google::GLOG_FATAL;
    // RunAllTests() would also install the leak plugin, which walks a table of the allocations made before main() after
    // each test. Entries of allocations that were freed since then point to freed memory.
    CommandLineTestRunner runner(argc, argv, TestRegistry::getCurrentRegistry());
    return runner.runAllTestsMain();
}
