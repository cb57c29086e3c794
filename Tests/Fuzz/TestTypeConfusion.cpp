#include "FuzzInputs.h"

#include "Base/Error.h"
#include "Base/Json.h"

#include <functional>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"

using namespace Toucan;

namespace {

std::vector<Json::Value> replacements()
{
    Json::Value nested(Json::arrayValue);
    for (int depth = 0; depth < 40; ++depth) {
        Json::Value outer(Json::arrayValue);
        outer.append(nested);
        nested = outer;
    }
    Json::Value object(Json::objectValue);
    object["a"] = 1;
    Json::Value list(Json::arrayValue);
    list.append(Json::Value());
    return { Json::Value(), Json::Value(true), Json::Value(0), Json::Value(-1),
        Json::Value(Json::UInt64 { UINT64_MAX }), Json::Value(4294967296.0), Json::Value(1e300), Json::Value(-1e300),
        Json::Value(0.5), Json::Value(""), Json::Value("\xff\xfe"), Json::Value("1"),
        Json::Value(std::string(70000, 'x')), Json::Value(Json::arrayValue), Json::Value(Json::objectValue), list,
        object, nested };
}

/// Calls `use` with the document once for each value in it and each replacement of that value.
void replaceEach(Json::Value& document, Json::Value& place, std::function<void(Json::Value const&)> const& use)
{
    if (place.isArray() || place.isObject()) {
        for (auto& child : place)
            replaceEach(document, child, use);
    }
    auto const original = place;
    for (auto const& replacement : replacements()) {
        place = replacement;
        use(document);
    }
    place = original;
}

} // namespace

TEST_GROUP(TypeConfusion) {};

// Guards against a document with a value of another type in any place that ends the process: every reader takes it or
// refuses it with an error of its own.
TEST(TypeConfusion, EveryValueOfAnyTypeIsReadOrRefused)
{
    for (auto const& input : Fuzz::inputs()) {
        for (auto const& sample : input.samples) {
            Json::Value document;
            try {
                document = parseJson(sample);
            } catch (Error const&) {
                // The sample is no JSON document.
                continue;
            }
            replaceEach(document, document, [&input](Json::Value const& changed) {
                auto const text = writeJson(changed);
                try {
                    input.read(text);
                } catch (std::exception const& exception) {
                    FAIL((std::string(input.name) + ": " + exception.what() + '\n' + text.substr(0, 2000)).c_str());
                }
            });
        }
    }
}

// Guards against nesting without end that overflows the stack of a reader.
TEST(TypeConfusion, DeepNestingIsRefused)
{
    for (auto const& input : Fuzz::inputs()) {
        for (std::string const open : { "[", "{\"a\":" }) {
            std::string text;
            for (int depth = 0; depth < 100000; ++depth)
                text += open;
            input.read(text);
        }
    }
}

// Guards against a second value of a key that replaces the one that was checked.
TEST(TypeConfusion, DuplicateKeysAreRefused) { CHECK_THROWS(Error, parseJson(R"({"version":1,"version":2})")); }
