#pragma once

#include <stdexcept>
#include <string>
#include <utility>

namespace Toucan {

/// Category of an error, for code that handles errors by category.
enum class ErrorKind {
    InvalidInput,
    InvalidSettings,
    Conflict,
    NotFound,
    Unavailable,
    Timeout,
    ProtocolViolation,
    LimitExceeded,
};

/// Base of all errors thrown by this project. what() is the message followed by the remedy.
class Error : public std::runtime_error {
public:
    Error(ErrorKind kind, std::string const& message, std::string remedy)
        : std::runtime_error(message + ". " + remedy)
        , errorKind(kind)
        , message(message)
        , remedyText(std::move(remedy))
    {
    }

    ErrorKind kind() const { return this->errorKind; }
    /// The message without the remedy.
    std::string const& detail() const { return this->message; }
    /// One sentence with the action that resolves the error.
    std::string const& remedy() const { return this->remedyText; }

private:
    ErrorKind errorKind;
    std::string message;
    std::string remedyText;
};

} // namespace Toucan
