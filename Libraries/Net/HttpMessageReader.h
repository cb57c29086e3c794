#pragma once

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Toucan {

struct HttpSizeLimits {
    /// Start line and header fields together.
    size_t headerBytes { 16384 };
    size_t bodyBytes { 65536 };
};

/// Reads one HTTP/1.1 message (RFC 9112) from a growing buffer. Everything that a peer could send without end is
/// limited, so that neither the buffer nor the processing time grows with the input. Message framing is strict: a
/// message that two receivers could frame differently is refused.
class HttpMessageReader {
public:
    enum class Kind {
        Request,
        Response,
    };
    enum class Status {
        NeedMore,
        Complete,
        Malformed,
        HeaderTooLarge,
        BodyTooLarge,
        /// A transfer coding other than "chunked".
        UnsupportedCoding,
        UnsupportedVersion,
        TooManyEmptyLines,
        ChunkExtensionsTooLarge,
        TrailerTooLarge,
    };

    /// How the end of a response with neither Content-Length nor chunked coding is found.
    enum class UnframedBody {
        Refused,
        /// The body ends with the connection (RFC 9112, section 6.3, item 8).
        UntilClose,
    };

    HttpMessageReader(Kind kind, HttpSizeLimits limits, UnframedBody unframedBody = UnframedBody::Refused);

    /// Removes the bytes that it consumes from the front of `input`. After Complete the rest of `input` belongs to the
    /// next message.
    Status read(std::string& input);
    /// The response answers a HEAD request and has no body, regardless of its header fields.
    void expectNoBody() { this->noBody = true; }
    /// The peer closed its sending side in an orderly way. Returns whether the message is complete.
    bool finishAtClose();
    /// Whether the header was read and is valid.
    bool hasHead() const { return this->stage != Stage::Header; }
    /// Whether the header was read and the body is still expected.
    bool expectsBody() const { return this->stage != Stage::Header && this->stage != Stage::Done; }

    Poco::Net::HTTPRequest& request() { return this->requestHead; }
    Poco::Net::HTTPResponse& response() { return this->responseHead; }
    std::string& body() { return this->bodyText; }

private:
    enum class Stage {
        Header,
        FixedBody,
        ChunkSize,
        ChunkData,
        ChunkEnd,
        Trailer,
        BodyUntilClose,
        Done,
    };

    Status readStages(std::string_view& input);
    Status readHeader(std::string_view& input);
    Status parseHead(std::string_view text);
    bool parseRequestLine(std::string_view line);
    bool parseStatusLine(std::string_view line);
    Status startBody();
    Status readStage(std::string_view& input);
    Status readBody(std::string_view& input, Stage next);
    Status readBodyUntilClose(std::string_view& input);
    Status readChunkSize(std::string_view& input);
    Status readChunkEnd(std::string_view& input);
    Status readTrailer(std::string_view& input);
    Poco::Net::HTTPMessage& head();

    Kind kind;
    HttpSizeLimits limits;
    UnframedBody unframedBody;
    bool noBody { false };
    Stage stage { Stage::Header };
    /// Bytes of the body or chunk that have not been read yet.
    uint64_t remaining { 0 };
    size_t emptyLines { 0 };
    size_t extensionBytes { 0 };
    size_t trailerBytes { 0 };
    Poco::Net::HTTPRequest requestHead;
    Poco::Net::HTTPResponse responseHead;
    std::string bodyText;
};

/// Names the protocol violation or the exceeded limit, for logs.
std::string_view toString(HttpMessageReader::Status status);

} // namespace Toucan
