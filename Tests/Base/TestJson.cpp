#include "Base/Error.h"
#include "Base/Json.h"

#include "CppUTest/TestHarness.h"

using namespace Toucan;

TEST_GROUP(Json) {};

// Guards against accepting two equal keys and keeping the last one without an error.
TEST(Json, RefusesDuplicateKeys) { CHECK_THROWS(Error, parseJson(R"({"a":1,"a":2})")); }

// Guards against a stack overflow caused by deep nesting in a request body.
TEST(Json, RefusesDeepNesting) { CHECK_THROWS(Error, parseJson(std::string(10000, '['))); }

TEST(Json, WritesMembersInNameOrder)
{
    STRCMP_EQUAL(R"({"a":1,"b":[true,null]})", writeJson(parseJson(R"({ "b": [true, null], "a": 1 })")).c_str());
}
