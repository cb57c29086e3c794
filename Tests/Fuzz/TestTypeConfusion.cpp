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

/// Calls `use` with the document once for each replacement of `value` and of every value inside it.
void replaceEach(Json::Value& document, Json::Value& value, std::function<void(Json::Value const&)> const& use)
{
    if (value.isArray() || value.isObject()) {
        for (auto& child : value)
            replaceEach(document, child, use);
    }
    auto const original = value;
    for (auto const& replacement : replacements()) {
        value = replacement;
        use(document);
    }
    value = original;
}

} // namespace

TEST_GROUP(TypeConfusion) {};

// Guards against a value of an unexpected type, anywhere in a document, that ends the process. Every reader accepts the
// document or throws one of its documented exceptions.
TEST(TypeConfusion, EveryValueOfAnyTypeIsReadOrRefused)
{
    for (auto const& reader : Fuzz::inputReaders()) {
        for (auto const& sample : reader.samples) {
            Json::Value document;
            try {
                document = parseJson(sample);
            } catch (Error const&) {
                // The sample is not a JSON document.
                continue;
            }
            replaceEach(document, document, [&reader](Json::Value const& changed) {
                auto const text = writeJson(changed);
                try {
                    reader.read(text);
                } catch (std::exception const& exception) {
                    FAIL((std::string(reader.name) + ": " + exception.what() + '\n' + text.substr(0, 2000)).c_str());
                }
            });
        }
    }
}

// Guards against deeply nested arrays and objects that overflow the stack of a recursive reader.
TEST(TypeConfusion, DeepNestingIsRefused)
{
    for (auto const& reader : Fuzz::inputReaders()) {
        for (std::string const open : { "[", "{\"a\":" }) {
            std::string text;
            for (int depth = 0; depth < 100000; ++depth)
                text += open;
            reader.read(text);
        }
    }
}

// Guards against a duplicate key whose second value replaces the one that was validated.
TEST(TypeConfusion, DuplicateKeysAreRefused) { CHECK_THROWS(Error, parseJson(R"({"version":1,"version":2})")); }
