#include "Base/Clock.h"
#include "Net/HttpMessageReader.h"

#include <string>

#include "CppUTest/TestHarness.h"

using namespace Toucan;

/// Four times what a session receives in one turn.
static constexpr size_t floodBytes = 1048576;
/// A reader that moves the rest of the input for each line takes several seconds for such a flood.
static constexpr auto floodBound = 1000_ms;

static std::string repeated(std::string const& text)
{
    std::string result;
    while (result.size() < floodBytes)
        result += text;
    return result;
}

TEST_GROUP(HttpMessageReader) {};

// Guards against one caller who blocks the network thread with empty lines.
TEST(HttpMessageReader, SkipsManyEmptyLinesInLinearTime)
{
    HttpMessageReader reader(HttpMessageReader::Kind::Request, {});
    auto input = repeated("\r\n");
    auto const start = Clock::now();
    CHECK(reader.read(input) == HttpMessageReader::Status::NeedMore);
    CHECK(Clock::now() - start < floodBound);
    CHECK(input.empty());
    input = "GET / HTTP/1.1\r\nHost: a\r\n\r\nrest";
    CHECK(reader.read(input) == HttpMessageReader::Status::Complete);
    STRCMP_EQUAL("rest", input.c_str());
}

// Guards against one caller who blocks the network thread with chunks of one byte.
TEST(HttpMessageReader, ReadsManySmallChunksInLinearTime)
{
    HttpMessageReader reader(HttpMessageReader::Kind::Request, { 16384, floodBytes });
    auto const chunks = repeated("1\r\nx\r\n");
    auto input = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\nrest";
    auto const start = Clock::now();
    CHECK(reader.read(input) == HttpMessageReader::Status::Complete);
    CHECK(Clock::now() - start < floodBound);
    STRCMP_EQUAL(std::string(chunks.size() / 6, 'x').c_str(), reader.body().c_str());
    STRCMP_EQUAL("rest", input.c_str());
}
