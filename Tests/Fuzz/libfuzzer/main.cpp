#include "../FuzzInputs.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>

using namespace Toucan;

/// The reader that TOUCAN_FUZZ_INPUT names. Ends the process with code 2 when it names none.
static Fuzz::InputReader const* chosenReader()
{
    char const* const name = std::getenv("TOUCAN_FUZZ_INPUT");
    for (auto const& reader : Fuzz::inputReaders()) {
        if (name && std::string_view(name) == reader.name)
            return &reader;
    }
    std::cerr << "Set TOUCAN_FUZZ_INPUT to one of:";
    for (auto const& reader : Fuzz::inputReaders())
        std::cerr << ' ' << reader.name;
    std::cerr << '\n';
    std::exit(2);
}

/// Writes the samples of the chosen reader into the folder TOUCAN_FUZZ_CORPUS, if it is set.
// libFuzzer fixes the names of its entry points.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerInitialize(int*, char***)
{
    auto const* reader = chosenReader();
    char const* const folder = std::getenv("TOUCAN_FUZZ_CORPUS");
    if (!folder)
        return 0;
    std::filesystem::create_directories(folder);
    for (size_t index = 0; index < reader->samples.size(); ++index)
        std::ofstream(std::filesystem::path(folder) / ("sample-" + std::to_string(index))) << reader->samples[index];
    return 0;
}

// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(uint8_t const* data, size_t size)
{
    static auto const* const reader = chosenReader();
    reader->read({ reinterpret_cast<char const*>(data), size });
    return 0;
}
