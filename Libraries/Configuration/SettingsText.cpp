#include "Configuration/SettingsText.h"

#include <algorithm>
#include <charconv>
#include <json/reader.h>
#include <memory>
#include <optional>

namespace Toucan {

/// Largest number of JSON objects and arrays inside each other.
static constexpr int maximumNesting = 64;

namespace {

    enum class DuplicateKeys {
        Refuse,
        KeepLast,
    };

    /// Converts between offsets and line numbers of a text.
    class LineIndex {
    public:
        explicit LineIndex(std::string_view text)
        {
            for (size_t offset = 0; offset < text.size(); ++offset) {
                if (text[offset] == '\n')
                    this->starts.push_back(offset + 1);
            }
        }

        size_t lineAt(size_t offset) const
        {
            return static_cast<size_t>(
                std::upper_bound(this->starts.begin(), this->starts.end(), offset) - this->starts.begin());
        }

        size_t offsetOf(size_t line, size_t column) const
        {
            return this->starts[std::min(line, this->starts.size()) - 1] + column - 1;
        }

    private:
        std::vector<size_t> starts { 0 };
    };

} // namespace

/// Returns an empty string on success, or else jsoncpp's list of errors.
static std::string parseWithComments(std::string_view text, DuplicateKeys duplicateKeys, Json::Value& value)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["allowComments"] = true;
    builder["collectComments"] = false;
    builder["strictRoot"] = false;
    builder["stackLimit"] = maximumNesting;
    builder["rejectDupKeys"] = duplicateKeys == DuplicateKeys::Refuse;
    std::unique_ptr<Json::CharReader> const reader(builder.newCharReader());
    std::string errors;
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &value, &errors))
            return {};
    } catch (Json::Exception const& exception) {
        // jsoncpp throws, instead of returning an error, if the nesting exceeds stackLimit.
        return exception.what();
    }
    return errors.empty() ? "The text is not JSON" : errors;
}

/// JSON Pointer of the innermost value whose text contains the offset.
static std::string pathAt(Json::Value const& value, ptrdiff_t offset, std::string const& path)
{
    if (value.isObject()) {
        for (auto const& name : value.getMemberNames()) {
            auto const& member = value[name];
            if (offset >= member.getOffsetStart() && offset < member.getOffsetLimit())
                return pathAt(member, offset, appendToPointer(path, name));
        }
    }
    if (value.isArray()) {
        for (Json::ArrayIndex index = 0; index < value.size(); ++index) {
            auto const& element = value[index];
            if (offset >= element.getOffsetStart() && offset < element.getOffsetLimit())
                return pathAt(element, offset, appendToPointer(path, index));
        }
    }
    return path;
}

namespace {

    /// One entry of jsoncpp's list of errors, "* Line 3, Column 5\n  message\n"; line and column are 1-based.
    struct ParserError {
        size_t line { 0 };
        size_t column { 0 };
        std::string message;
    };

} // namespace

/// Removes `prefix` and the number that follows it from the front of `text`; returns 0 if `text` has another form.
static size_t consumeNumber(std::string_view prefix, std::string_view& text)
{
    if (!text.starts_with(prefix))
        return 0;
    auto const digits = text.substr(prefix.size());
    size_t number = 0;
    auto const [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    if (error != std::errc())
        return 0;
    text = digits.substr(static_cast<size_t>(end - digits.data()));
    return number;
}

static std::optional<ParserError> firstParserError(std::string_view errors)
{
    auto rest = errors.substr(std::min(errors.find("* Line "), errors.size()));
    size_t const line = consumeNumber("* Line ", rest);
    size_t const column = consumeNumber(", Column ", rest);
    auto const start = rest.find_first_not_of(" \n");
    if (line == 0 || column == 0 || start == std::string_view::npos)
        return std::nullopt;
    auto const message = rest.substr(start);
    return ParserError { line, column, std::string(message.substr(0, message.find('\n'))) };
}

/// Key named by jsoncpp's message about a duplicate key; empty for other messages.
static std::optional<std::string> duplicateKey(std::string_view message)
{
    constexpr std::string_view prefix = "Duplicate key: '";
    if (!message.starts_with(prefix) || message.size() <= prefix.size() || message.back() != '\'')
        return std::nullopt;
    message.remove_prefix(prefix.size());
    message.remove_suffix(1);
    return std::string(message);
}

/// Converts the first error in jsoncpp's list to a fault; later errors are often consequences of the first.
static SettingsFault firstFault(std::string const& file, std::string_view text, std::string const& errors)
{
    auto const found = firstParserError(errors);
    if (!found)
        return { file, 0, "", "Invalid JSON: " + errors, "Write one JSON object with at most 64 levels" };
    auto const& [line, column, message] = *found;
    auto const key = duplicateKey(message);
    if (!key)
        return { file, line, "", "Invalid JSON at column " + std::to_string(column) + ": " + message,
            "Correct the syntax; only comments go beyond RFC 8259" };
    Json::Value lenient;
    auto const path = parseWithComments(text, DuplicateKeys::KeepLast, lenient).empty()
        ? pathAt(lenient, static_cast<ptrdiff_t>(LineIndex(text).offsetOf(line, column)), "")
        : "";
    return { file, line, appendToPointer(path, *key), "The key \"" + *key + "\" is already in this object",
        "Remove one of them" };
}

static void recordLines(
    Json::Value const& value, std::string const& path, LineIndex const& index, std::map<std::string, size_t>& lines)
{
    lines[path] = index.lineAt(static_cast<size_t>(value.getOffsetStart()));
    if (value.isObject()) {
        for (auto const& name : value.getMemberNames())
            recordLines(value[name], appendToPointer(path, name), index, lines);
    }
    if (value.isArray()) {
        for (Json::ArrayIndex element = 0; element < value.size(); ++element)
            recordLines(value[element], appendToPointer(path, element), index, lines);
    }
}

SettingsText::SettingsText(std::string file, Json::Value&& value, std::map<std::string, size_t>&& lines)
    : fileName(std::move(file))
    , value(std::move(value))
    , lines(std::move(lines))
{
}

SettingsText SettingsText::create(std::string file, std::string_view text)
{
    Json::Value value;
    if (auto const errors = parseWithComments(text, DuplicateKeys::Refuse, value); !errors.empty())
        throw SettingsError(ErrorKind::InvalidSettings, { firstFault(file, text, errors) });
    LineIndex const index(text);
    std::map<std::string, size_t> lines;
    recordLines(value, "", index, lines);
    if (!value.isObject())
        throw SettingsError(ErrorKind::InvalidSettings,
            { { file, lines.at(""), "", "The file does not hold a JSON object", "Write one object in { }" } });
    return { std::move(file), std::move(value), std::move(lines) };
}

std::string parentPointer(std::string const& pointer)
{
    auto const slash = pointer.rfind('/');
    return slash == std::string::npos ? "" : pointer.substr(0, slash);
}

size_t SettingsText::lineOf(std::string const& pointer) const
{
    auto found = this->lines.find(pointer);
    for (auto path = pointer; found == this->lines.end(); found = this->lines.find(path))
        path = parentPointer(path);
    return found->second;
}

void SettingsText::throwFaults(std::vector<SettingsFault> faults) const
{
    if (faults.empty())
        return;
    for (auto& fault : faults) {
        fault.file = this->fileName;
        fault.line = this->lineOf(fault.path);
    }
    throw SettingsError(ErrorKind::InvalidSettings, std::move(faults));
}

} // namespace Toucan
