#include "FuzzInputs.h"

#include <algorithm>
#include <cstdlib>
#include <random>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"

using namespace Toucan;

namespace {

constexpr unsigned long defaultRuns = 300;
constexpr unsigned long defaultSeed = 1;
constexpr size_t mostMutations = 8;
constexpr size_t longestRun = 64;

unsigned long numberFrom(char const* variable, unsigned long defaultValue)
{
    char const* const text = std::getenv(variable);
    return text ? std::strtoul(text, nullptr, 10) : defaultValue;
}

/// Changes texts at random; the same seed gives the same changes.
class Mutator {
public:
    explicit Mutator(unsigned long seed)
        : generator(seed)
    {
    }

    size_t below(size_t limit) { return std::uniform_int_distribution<size_t>(0, limit - 1)(this->generator); }

    std::string mutate(std::string text)
    {
        for (auto count = 1 + this->below(mostMutations); count > 0; --count)
            this->mutateOnce(text);
        return text;
    }

private:
    void mutateOnce(std::string& text)
    {
        static std::vector<std::string> const words { "\r\n", "\r\n\r\n", "null", "-1", "1e999", "1e300",
            "18446744073709551616", "4294967295", "2.5", "\"\"", "[]", "{}", "true", ",", ":", "\"", "\\u0000", "\xff",
            "chunked", "//", "/*", std::string(1, '\0') };
        auto const position = this->below(text.size() + 1);
        auto const length = std::min(this->below(longestRun), text.size() - position);
        switch (this->below(6)) {
        case 0:
            text.insert(position, words[this->below(words.size())]);
            break;
        case 1:
            text.replace(position, length, words[this->below(words.size())]);
            break;
        case 2:
            text.erase(position, length);
            break;
        case 3:
            text.insert(position, text.substr(position, length));
            break;
        case 4:
            text.resize(position);
            break;
        default:
            if (position < text.size())
                text[position] = static_cast<char>(this->below(256));
            break;
        }
    }

    std::mt19937_64 generator;
};

} // namespace

TEST_GROUP(MutatedInputs) {};

// Guards against input from outside that crashes a reader or makes it throw what its callers do not expect.
// TOUCAN_FUZZ_RUNS and TOUCAN_FUZZ_SEED choose the number of texts for each reader and their seed.
TEST(MutatedInputs, AreReadOrRefused)
{
    auto const seed = numberFrom("TOUCAN_FUZZ_SEED", defaultSeed);
    auto const runs = numberFrom("TOUCAN_FUZZ_RUNS", defaultRuns);
    for (auto const& input : Fuzz::inputs()) {
        Mutator mutator(seed);
        for (unsigned long run = 0; run < runs; ++run) {
            auto const text = mutator.mutate(input.samples[mutator.below(input.samples.size())]);
            try {
                input.read(text);
            } catch (std::exception const& exception) {
                auto const place = std::string(input.name) + ", seed " + std::to_string(seed) + ", run "
                    + std::to_string(run) + ": " + exception.what() + '\n' + text;
                FAIL(place.c_str());
            }
        }
    }
}
