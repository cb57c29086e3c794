#include "../FuzzInputs.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>

using namespace Toucan;

static Fuzz::Input const* chosenInput()
{
    char const* const name = std::getenv("TOUCAN_FUZZ_INPUT");
    for (auto const& input : Fuzz::inputs()) {
        if (name && std::string_view(name) == input.name)
            return &input;
    }
    std::cerr << "Set TOUCAN_FUZZ_INPUT to one of:";
    for (auto const& input : Fuzz::inputs())
        std::cerr << ' ' << input.name;
    std::cerr << '\n';
    std::exit(2);
}

/// Writes the samples of the chosen input into the folder TOUCAN_FUZZ_CORPUS, if it is set.
// libFuzzer fixes the names of its entry points.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerInitialize(int*, char***)
{
    auto const* input = chosenInput();
    char const* const folder = std::getenv("TOUCAN_FUZZ_CORPUS");
    if (!folder)
        return 0;
    std::filesystem::create_directories(folder);
    for (size_t index = 0; index < input->samples.size(); ++index)
        std::ofstream(std::filesystem::path(folder) / ("sample-" + std::to_string(index))) << input->samples[index];
    return 0;
}

// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(uint8_t const* data, size_t size)
{
    static auto const* const input = chosenInput();
    input->read({ reinterpret_cast<char const*>(data), size });
    return 0;
}
