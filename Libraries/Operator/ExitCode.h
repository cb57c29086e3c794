#pragma once

namespace Toucan {

/// Exit status of tgctl; docs/OPERATORS.md explains what to do about each.
enum class ExitCode {
    Ok = 0,
    /// The configuration is not valid, or a node or service is not as it should be.
    CheckFailed = 1,
    Usage = 2,
    /// Another operator changed the configuration first; nothing was written.
    Conflict = 3,
    /// The store did not answer; nothing was written.
    StoreUnreachable = 4,
    /// The answer to the write was lost and could not be read back.
    ResultUnknown = 5,
};

} // namespace Toucan
