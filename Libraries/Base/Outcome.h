#pragma once

#include <string_view>

namespace Toucan {

/// What is known about the execution of a request at a target.
enum class Outcome {
    Ran,
    /// No byte of the request can have reached a target, or the target said that it did not start.
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
