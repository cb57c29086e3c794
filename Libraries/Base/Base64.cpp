#include "Base/Base64.h"

#include "Base/Error.h"
#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/Exception.h>
#include <iterator>
#include <sstream>

namespace Toucan {

std::string encodeBase64(std::string_view bytes)
{
    std::ostringstream text;
    Poco::Base64Encoder encoder(text);
    encoder.rdbuf()->setLineLength(0);
    encoder.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    encoder.close();
    return text.str();
}

std::string decodeBase64(std::string const& text)
{
    std::istringstream input(text);
    Poco::Base64Decoder decoder(input);
    try {
        std::string bytes { std::istreambuf_iterator<char>(decoder), std::istreambuf_iterator<char>() };
        // istreambuf_iterator can swallow exceptions of the stream buffer; the stream state then reports the error.
        if (!decoder.bad())
            return bytes;
    } catch (Poco::Exception const&) { // NOLINT(bugprone-empty-catch): reported below
    }
    throw Error(ErrorKind::InvalidInput, "Invalid Base64", "Encode keys and values as RFC 4648 says");
}

} // namespace Toucan
