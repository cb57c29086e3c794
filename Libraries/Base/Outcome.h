#pragma once

#include <string_view>

namespace Toucan {

/// What is known about whether a target executed a request.
enum class Outcome {
    Ran,
    /// No byte of the request can have reached a target, or the target reported that it did not start the request.
    NotRun,
    Unknown,
};

constexpr std::string_view toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Ran:
        return "ran";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        break;
    }
    return "unknown";
}

} // namespace Toucan
