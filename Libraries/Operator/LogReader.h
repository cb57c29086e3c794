#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace Toucan {

struct LogReaderHooks {
    /// Called for each line; `place` names it, as in "node-1.log:17".
    std::function<void(std::string_view line, std::string_view place)> line;
    /// Called each time a further 64 MiB have been read; may be empty.
    std::function<void(uint64_t bytesRead, uint64_t bytesTotal)> progress {};
};

/// Reads the files one after the other, line by line. Throws Error of kind NotFound for a file that cannot be read.
void readLogs(std::span<std::string const> paths, LogReaderHooks const& hooks);

} // namespace Toucan
