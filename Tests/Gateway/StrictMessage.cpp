#include "StrictMessage.h"

#include <algorithm>

namespace Toucan {

std::string lowerCase(std::string_view text)
{
    std::string result(text);
    for (auto& character : result) {
        if (character >= 'A' && character <= 'Z')
            character = static_cast<char>(character - 'A' + 'a');
    }
    return result;
}

static bool isToken(std::string_view text)
{
    return !text.empty()
        && text.find_first_not_of("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz")
        == std::string_view::npos;
}

/// Field content: visible ASCII, obs-text, space and tab.
static bool isContent(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char character) {
        auto const code = static_cast<unsigned char>(character);
        return code == '\t' || (code >= 0x20 && code != 0x7f);
    });
}

std::vector<std::string> StrictMessage::values(std::string_view name) const
{
    std::vector<std::string> result;
    for (auto const& [present, value] : this->fields) {
        if (lowerCase(present) == lowerCase(name))
            result.push_back(value);
    }
    return result;
}

static std::optional<std::string> takeLine(std::string& bytes)
{
    auto const end = bytes.find("\r\n");
    if (end == std::string::npos)
        return std::nullopt;
    auto line = bytes.substr(0, end);
    bytes.erase(0, end + 2);
    return line;
}

static std::optional<size_t> number(std::string_view text, size_t base)
{
    constexpr std::string_view digits = "0123456789abcdef";
    size_t value = 0;
    if (text.empty() || text.size() > 8)
        return std::nullopt;
    for (char const character : lowerCase(text)) {
        auto const digit = digits.substr(0, base).find(character);
        if (digit == std::string_view::npos)
            return std::nullopt;
        value = value * base + digit;
    }
    return value;
}

static std::optional<std::string> takeBytes(std::string& bytes, size_t size)
{
    if (bytes.size() < size)
        return std::nullopt;
    auto taken = bytes.substr(0, size);
    bytes.erase(0, size);
    return taken;
}

static std::optional<std::string> takeChunks(std::string& bytes)
{
    std::string body;
    while (true) {
        auto const line = takeLine(bytes);
        if (!line)
            return std::nullopt;
        auto const size = number(line->substr(0, line->find(';')), 16);
        auto const chunk = size ? takeBytes(bytes, *size) : std::nullopt;
        if (!chunk)
            return std::nullopt;
        if (*size == 0)
            break;
        body += *chunk;
        if (takeLine(bytes) != "")
            return std::nullopt;
    }
    while (true) {
        auto const trailer = takeLine(bytes);
        if (!trailer)
            return std::nullopt;
        if (trailer->empty())
            return body;
    }
}

static bool readStartLine(StrictMessage& message, std::string const& line, bool isRequest)
{
    auto const first = line.find(' ');
    auto const second = first == std::string::npos ? first : line.find(' ', first + 1);
    if (second == std::string::npos || !isContent(line) || line.find('\t') < second)
        return false;
    message.first = line.substr(0, first);
    message.second = line.substr(first + 1, second - first - 1);
    message.third = line.substr(second + 1);
    if (isRequest)
        return isToken(message.first) && !message.second.empty()
            && (message.third == "HTTP/1.1" || message.third == "HTTP/1.0");
    return message.first.starts_with("HTTP/1.") && number(message.second, 10) && message.second.size() == 3;
}

std::optional<StrictMessage> StrictMessage::take(std::string& bytes, bool isRequest, bool noBody)
{
    StrictMessage message;
    auto line = takeLine(bytes);
    if (!line || !readStartLine(message, *line, isRequest))
        return std::nullopt;
    while ((line = takeLine(bytes)) && !line->empty()) {
        auto const colon = line->find(':');
        if (colon == std::string::npos || !isToken(line->substr(0, colon)) || !isContent(*line))
            return std::nullopt;
        auto const start = line->find_first_not_of(" \t", colon + 1);
        auto const value
            = start == std::string::npos ? "" : line->substr(start, line->find_last_not_of(" \t") - start + 1);
        message.fields.emplace_back(line->substr(0, colon), value);
    }
    if (!line)
        return std::nullopt;
    auto const lengths = message.values("Content-Length");
    auto const codings = message.values("Transfer-Encoding");
    if (lengths.size() > 1 || codings.size() > 1 || (!lengths.empty() && !codings.empty()))
        return std::nullopt;
    if (noBody || (!isRequest && (message.second == "204" || message.second == "304")))
        return message;
    std::optional<std::string> body = "";
    if (!codings.empty())
        body = lowerCase(codings[0]) == "chunked" ? takeChunks(bytes) : std::nullopt;
    else if (!lengths.empty())
        body = number(lengths[0], 10) ? takeBytes(bytes, *number(lengths[0], 10)) : std::nullopt;
    else if (!isRequest)
        return std::nullopt;
    if (!body)
        return std::nullopt;
    message.body = *body;
    return message;
}

} // namespace Toucan
