#pragma once

#include <string_view>

namespace Toucan {

/// Whether a request was executed by a target.
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
