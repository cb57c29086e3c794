#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Toucan {

/// One HTTP/1.1 message as RFC 9110 and 9112 define it, read without the product's code or a library, so that tests can
/// compare what was sent with what arrives.
struct StrictMessage {
    /// Method, target and version, or version, status and reason.
    std::string first;
    std::string second;
    std::string third;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    /// Values of a field, in their order; names are compared without case.
    std::vector<std::string> values(std::string_view name) const;
    bool has(std::string_view name) const { return !this->values(name).empty(); }

    /// Removes one message from the front of `bytes`. Empty when the bytes don't begin with a complete message that
    /// every receiver frames in the same way. `noBody`: the message answers HEAD.
    static std::optional<StrictMessage> take(std::string& bytes, bool isRequest, bool noBody = false);
};

std::string lowerCase(std::string_view text);

} // namespace Toucan
