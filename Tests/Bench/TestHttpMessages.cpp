#include "Base/Error.h"
#include "Bench/HttpMessages.h"

#include "CppUTest/TestHarness.h"

using namespace Toucan::Bench;

TEST_GROUP(HttpMessages) {};

// Guards against a request that is handled before its body has arrived.
TEST(HttpMessages, WaitsForTheCompleteBody)
{
    auto const message = writeRequest("POST", "/v1/search", "h", { { "Toucan-Shard", "1" } }, "{}");
    std::string buffer = message.substr(0, message.size() - 1);
    CHECK_FALSE(takeRequest(buffer).has_value());
    buffer += message.back();
    auto const request = takeRequest(buffer);
    CHECK_TRUE(request.has_value());
    STRCMP_EQUAL("1", request->header->get("Toucan-Shard").c_str());
    STRCMP_EQUAL("{}", request->body.c_str());
}

// Guards against pipelined messages that are lost or merged.
TEST(HttpMessages, LeavesTheNextMessageInTheBuffer)
{
    std::string buffer = writeResponse(200, {}, "a") + writeResponse(503, {}, "");
    STRCMP_EQUAL("a", takeResponse(buffer)->body.c_str());
    LONGS_EQUAL(503, takeResponse(buffer)->header->getStatus());
    CHECK_TRUE(buffer.empty());
}

// Guards against a chunked body that is parsed as an empty body, which would hide a truncated answer.
TEST(HttpMessages, RefusesChunkedBodies)
{
    std::string buffer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    CHECK_THROWS(Toucan::Error, takeResponse(buffer));
}
