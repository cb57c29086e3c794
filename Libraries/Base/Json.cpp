#include "Base/Json.h"

#include "Base/Error.h"
#include <json/reader.h>
#include <json/writer.h>
#include <memory>

namespace Toucan {

static std::unique_ptr<Json::CharReader> createStrictReader()
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["strictRoot"] = false;
    builder["stackLimit"] = 64;
    return std::unique_ptr<Json::CharReader>(builder.newCharReader());
}

Json::Value parseJson(std::string_view text)
{
    thread_local auto const reader = createStrictReader();
    Json::Value value;
    std::string errors;
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &value, &errors))
            return value;
    } catch (Json::Exception const& exception) {
        // jsoncpp throws, instead of returning an error, if the nesting exceeds stackLimit.
        errors = exception.what();
    }
    throw Error(
        ErrorKind::InvalidInput, "Invalid JSON: " + errors, "Send one JSON value without comments or duplicate keys");
}

std::string writeJson(Json::Value const& value)
{
    static Json::StreamWriterBuilder const builder = [] {
        Json::StreamWriterBuilder result;
        result["indentation"] = "";
        result["precision"] = 12;
        return result;
    }();
    return Json::writeString(builder, value);
}

} // namespace Toucan
