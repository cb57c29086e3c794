#pragma once

namespace Toucan {

/// Exit status of tgctl; docs/OPERATORS.md explains how to handle each.
enum class ExitCode {
    Ok = 0,
    /// The configuration is not valid, or a node, service or target is not in the required state.
    CheckFailed = 1,
    /// The arguments are not valid or not complete, or the output file cannot be written.
    Usage = 2,
    /// Another operator changed the configuration first; nothing was overwritten.
    Conflict = 3,
    /// The store did not respond; the configuration is unchanged.
    StoreUnreachable = 4,
    /// The response to the write was lost and the result could not be read back.
    ResultUnknown = 5,
};

} // namespace Toucan
