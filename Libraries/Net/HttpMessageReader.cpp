#include "Net/HttpMessageReader.h"

#include "Base/HttpStatus.h"
#include <Poco/String.h>
#include <algorithm>
#include <charconv>
#include <optional>

namespace Toucan {

constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view headerEnd = "\r\n\r\n";
/// Line with a chunk size and its extensions.
constexpr size_t maximumChunkLineBytes = 256;
/// Total chunk extensions of one message. Without this limit a body of short chunks could carry many times its length
/// in extensions.
constexpr size_t maximumExtensionBytes = 4096;
/// RFC 9112, section 2.2, asks servers to ignore at least one empty line before a request.
constexpr size_t maximumEmptyLines = 8;

static bool isTokenCharacter(char character)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z')
        || (character >= 'A' && character <= 'Z') || marks.find(character) != std::string_view::npos;
}

static bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

static bool hasControlCharacter(std::string_view text)
{
    return std::any_of(text.begin(), text.end(), [](char character) {
        auto const code = static_cast<unsigned char>(character);
        return (code < 0x20 && character != '\t') || code == 0x7f;
    });
}

static std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view whiteSpace = " \t";
    auto const first = text.find_first_not_of(whiteSpace);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(whiteSpace) - first + 1);
}

/// Reads field lines as RFC 9112, section 5, defines them: no white space before the colon and no line folding, which
/// receivers interpret differently. POCO's MessageHeader::read() is not used because it decodes encoded words (RFC
/// 2047), and a decoded value can hold line breaks that end the header when it is forwarded.
static HttpMessageReader::Status readFields(std::string_view fields, Poco::Net::MessageHeader& header)
{
    using Status = HttpMessageReader::Status;
    while (!fields.empty()) {
        auto const end = fields.find(lineEnd);
        auto const line = fields.substr(0, end);
        fields.remove_prefix(end == std::string_view::npos ? fields.size() : end + lineEnd.size());
        if (line.empty())
            continue;
        auto const colon = line.find(':');
        if (colon == std::string_view::npos || !isToken(line.substr(0, colon)) || hasControlCharacter(line))
            return Status::Malformed;
        header.add(std::string(line.substr(0, colon)), std::string(trimmed(line.substr(colon + 1))));
    }
    return Status::Complete;
}

static bool isSupportedVersion(std::string const& version)
{
    return version == Poco::Net::HTTPMessage::HTTP_1_1 || version == Poco::Net::HTTPMessage::HTTP_1_0;
}

static std::optional<uint64_t> parseNumber(std::string_view text, int base)
{
    uint64_t value = 0;
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    if (error != std::errc() || end != text.data() + text.size() || text.empty())
        return std::nullopt;
    return value;
}

std::string_view toString(HttpMessageReader::Status status)
{
    using Status = HttpMessageReader::Status;
    switch (status) {
    case Status::NeedMore:
        return "incomplete";
    case Status::Complete:
        return "complete";
    case Status::Malformed:
        return "malformed";
    case Status::HeaderTooLarge:
        return "header too large";
    case Status::BodyTooLarge:
        return "body too large";
    case Status::UnsupportedCoding:
        return "unsupported transfer coding";
    case Status::UnsupportedVersion:
        return "unsupported version";
    case Status::TooManyEmptyLines:
        return "too many empty lines";
    case Status::ChunkExtensionsTooLarge:
        return "chunk extensions too large";
    case Status::TrailerTooLarge:
        break;
    }
    return "trailer too large";
}

HttpMessageReader::HttpMessageReader(Kind kind, HttpSizeLimits limits, UnframedBody unframedBody)
    : kind(kind)
    , limits(limits)
    , unframedBody(unframedBody)
{
}

Poco::Net::HTTPMessage& HttpMessageReader::head()
{
    if (this->kind == Kind::Request)
        return this->requestHead;
    return this->responseHead;
}

HttpMessageReader::Status HttpMessageReader::read(std::string& input)
{
    // Erasing once keeps the cost linear when the input holds many empty lines or small chunks.
    std::string_view rest(input);
    auto const status = this->readStages(rest);
    input.erase(0, input.size() - rest.size());
    return status;
}

HttpMessageReader::Status HttpMessageReader::readStages(std::string_view& input)
{
    while (true) {
        if (this->stage == Stage::Done)
            return Status::Complete;
        auto const before = this->stage;
        auto const status = this->readStage(input);
        if (status != Status::Complete)
            return status;
        if (this->stage == before)
            return Status::NeedMore;
    }
}

HttpMessageReader::Status HttpMessageReader::readStage(std::string_view& input)
{
    switch (this->stage) {
    case Stage::Header:
        return this->readHeader(input);
    case Stage::FixedBody:
        return this->readBody(input, Stage::Done);
    case Stage::ChunkSize:
        return this->readChunkSize(input);
    case Stage::ChunkData:
        return this->readBody(input, Stage::ChunkEnd);
    case Stage::ChunkEnd:
        return this->readChunkEnd(input);
    case Stage::Trailer:
        return this->readTrailer(input);
    case Stage::BodyUntilClose:
        return this->readBodyUntilClose(input);
    case Stage::Done:
        break;
    }
    return Status::Complete;
}

HttpMessageReader::Status HttpMessageReader::readHeader(std::string_view& input)
{
    while (input.starts_with(lineEnd)) {
        if (++this->emptyLines > maximumEmptyLines)
            return Status::TooManyEmptyLines;
        input.remove_prefix(lineEnd.size());
    }
    auto const end = input.find(headerEnd);
    auto const size = end == std::string_view::npos ? input.size() : end + headerEnd.size();
    if (size > this->limits.headerBytes)
        return Status::HeaderTooLarge;
    if (end == std::string_view::npos)
        return Status::NeedMore;
    auto const text = input.substr(0, size);
    input.remove_prefix(size);
    if (auto const status = this->parseHead(text); status != Status::Complete)
        return status;
    return this->startBody();
}

HttpMessageReader::Status HttpMessageReader::parseHead(std::string_view text)
{
    auto const startLine = text.substr(0, text.find(lineEnd));
    if (hasControlCharacter(startLine))
        return Status::Malformed;
    bool const valid
        = this->kind == Kind::Request ? this->parseRequestLine(startLine) : this->parseStatusLine(startLine);
    if (!valid)
        return Status::Malformed;
    if (auto const status = readFields(text.substr(startLine.size()), this->head()); status != Status::Complete)
        return status;
    auto const& version = this->head().getVersion();
    if (!version.starts_with("HTTP/"))
        return Status::Malformed;
    if (!isSupportedVersion(version))
        return Status::UnsupportedVersion;
    if (this->kind == Kind::Request && version == Poco::Net::HTTPMessage::HTTP_1_1 && !this->requestHead.has("Host"))
        return Status::Malformed;
    return Status::Complete;
}

/// RFC 9112, section 3: method, target and version, separated by single spaces.
bool HttpMessageReader::parseRequestLine(std::string_view line)
{
    auto const methodEnd = line.find(' ');
    auto const targetEnd = line.rfind(' ');
    if (methodEnd == std::string_view::npos || targetEnd == methodEnd)
        return false;
    auto const method = line.substr(0, methodEnd);
    auto const target = line.substr(methodEnd + 1, targetEnd - methodEnd - 1);
    if (!isToken(method) || target.empty() || target.find_first_of(" \t") != std::string_view::npos)
        return false;
    this->requestHead.setMethod(std::string(method));
    this->requestHead.setURI(std::string(target));
    this->requestHead.setVersion(std::string(line.substr(targetEnd + 1)));
    return true;
}

/// RFC 9112, section 4: version, status code of three digits, and a reason phrase that may be missing. Codes are 100 to
/// 599 (RFC 9110, section 15); a response with another one is refused as a whole, because its sender is faulty and its
/// fields state nothing reliable either.
bool HttpMessageReader::parseStatusLine(std::string_view line)
{
    constexpr size_t codeDigits = 3;
    auto const versionEnd = line.find(' ');
    if (versionEnd == std::string_view::npos)
        return false;
    auto const rest = line.substr(versionEnd + 1);
    auto const code = parseNumber(rest.substr(0, codeDigits), 10);
    if (!code || !isValidHttpStatus(static_cast<int>(*code)) || (rest.size() > codeDigits && rest[codeDigits] != ' '))
        return false;
    this->responseHead.setVersion(std::string(line.substr(0, versionEnd)));
    this->responseHead.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(*code),
        std::string(rest.size() > codeDigits ? rest.substr(codeDigits + 1) : std::string_view {}));
    return true;
}

HttpMessageReader::Status HttpMessageReader::startBody()
{
    auto const& fields = this->head();
    bool const hasCoding = fields.has(Poco::Net::HTTPMessage::TRANSFER_ENCODING);
    // A message with two lengths, or with a length and a transfer coding, can be framed in two ways (request
    // smuggling).
    auto const lengths = std::count_if(fields.begin(), fields.end(),
        [](auto const& field) { return Poco::icompare(field.first, Poco::Net::HTTPMessage::CONTENT_LENGTH) == 0; });
    if (lengths > 1 || (lengths && hasCoding))
        return Status::Malformed;
    if (hasCoding) {
        if (Poco::icompare(fields.getTransferEncoding(), "chunked") != 0)
            return Status::UnsupportedCoding;
        this->stage = Stage::ChunkSize;
        return Status::Complete;
    }
    if (this->kind == Kind::Response) {
        auto const code = static_cast<int>(this->responseHead.getStatus());
        if (code < 200 || code == 204 || code == 304 || this->noBody) {
            this->stage = Stage::Done;
            return Status::Complete;
        }
        if (!lengths) {
            if (this->unframedBody == UnframedBody::Refused)
                return Status::Malformed;
            this->stage = Stage::BodyUntilClose;
            return Status::Complete;
        }
    }
    if (!lengths) {
        this->stage = Stage::Done;
        return Status::Complete;
    }
    auto const length = parseNumber(fields.get(Poco::Net::HTTPMessage::CONTENT_LENGTH), 10);
    if (!length)
        return Status::Malformed;
    if (*length > this->limits.bodyBytes)
        return Status::BodyTooLarge;
    this->remaining = *length;
    this->stage = Stage::FixedBody;
    return Status::Complete;
}

HttpMessageReader::Status HttpMessageReader::readBody(std::string_view& input, Stage next)
{
    auto const size = std::min<uint64_t>(this->remaining, input.size());
    this->bodyText.append(input.substr(0, size));
    input.remove_prefix(size);
    this->remaining -= size;
    if (this->remaining)
        return Status::NeedMore;
    this->stage = next;
    return Status::Complete;
}

HttpMessageReader::Status HttpMessageReader::readBodyUntilClose(std::string_view& input)
{
    if (input.size() > this->limits.bodyBytes - this->bodyText.size())
        return Status::BodyTooLarge;
    this->bodyText.append(input);
    input.remove_prefix(input.size());
    return Status::NeedMore;
}

bool HttpMessageReader::finishAtClose()
{
    if (this->stage == Stage::BodyUntilClose)
        this->stage = Stage::Done;
    return this->stage == Stage::Done;
}

HttpMessageReader::Status HttpMessageReader::readChunkSize(std::string_view& input)
{
    auto const end = input.find(lineEnd);
    if (std::min(end, input.size()) > maximumChunkLineBytes)
        return Status::Malformed;
    if (end == std::string_view::npos)
        return Status::NeedMore;
    auto const line = input.substr(0, end);
    auto const size = parseNumber(line.substr(0, line.find(';')), 16);
    if (!size)
        return Status::Malformed;
    if (*size > this->limits.bodyBytes - this->bodyText.size())
        return Status::BodyTooLarge;
    this->extensionBytes += line.size() - std::min(line.find(';'), line.size());
    if (this->extensionBytes > maximumExtensionBytes)
        return Status::ChunkExtensionsTooLarge;
    input.remove_prefix(end + lineEnd.size());
    this->remaining = *size;
    this->stage = *size ? Stage::ChunkData : Stage::Trailer;
    return Status::Complete;
}

HttpMessageReader::Status HttpMessageReader::readChunkEnd(std::string_view& input)
{
    if (input.size() < lineEnd.size())
        return Status::NeedMore;
    if (!input.starts_with(lineEnd))
        return Status::Malformed;
    input.remove_prefix(lineEnd.size());
    this->stage = Stage::ChunkSize;
    return Status::Complete;
}

HttpMessageReader::Status HttpMessageReader::readTrailer(std::string_view& input)
{
    while (true) {
        auto const end = input.find(lineEnd);
        if (this->trailerBytes + std::min(end, input.size()) > this->limits.headerBytes)
            return Status::TrailerTooLarge;
        if (end == std::string_view::npos)
            return Status::NeedMore;
        this->trailerBytes += end + lineEnd.size();
        input.remove_prefix(end + lineEnd.size());
        if (end == 0)
            break;
    }
    this->stage = Stage::Done;
    return Status::Complete;
}

} // namespace Toucan
