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
constexpr size_t maximumMutations = 8;
constexpr size_t maximumRunLength = 64;

unsigned long numberFromEnvironment(char const* variable, unsigned long defaultValue)
{
    char const* const text = std::getenv(variable);
    return text ? std::strtoul(text, nullptr, 10) : defaultValue;
}

/// Mutates texts at random. The same seed gives the same mutations.
class Mutator {
public:
    explicit Mutator(unsigned long seed)
        : generator(seed)
    {
    }

    size_t below(size_t limit) { return std::uniform_int_distribution<size_t>(0, limit - 1)(this->generator); }

    std::string mutate(std::string text)
    {
        for (auto count = 1 + this->below(maximumMutations); count > 0; --count)
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
        auto const length = std::min(this->below(maximumRunLength), text.size() - position);
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

// Guards against untrusted input that crashes a reader or makes it throw an exception that its callers do not handle.
// TOUCAN_FUZZ_RUNS sets the number of mutated texts per reader, TOUCAN_FUZZ_SEED the seed of the mutations.
TEST(MutatedInputs, AreReadOrRefused)
{
    auto const seed = numberFromEnvironment("TOUCAN_FUZZ_SEED", defaultSeed);
    auto const runs = numberFromEnvironment("TOUCAN_FUZZ_RUNS", defaultRuns);
    for (auto const& reader : Fuzz::inputReaders()) {
        Mutator mutator(seed);
        for (unsigned long run = 0; run < runs; ++run) {
            auto const text = mutator.mutate(reader.samples[mutator.below(reader.samples.size())]);
            try {
                reader.read(text);
            } catch (std::exception const& exception) {
                auto const description = std::string(reader.name) + ", seed " + std::to_string(seed) + ", run "
                    + std::to_string(run) + ": " + exception.what() + '\n' + text;
                FAIL(description.c_str());
            }
        }
    }
}
