#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Toucan::Fuzz {

/// A reader of untrusted input. `read` returns normally for any text, valid or not: it catches the exceptions that the
/// reader documents. Any other exception, and any crash, is a fault.
struct Input {
    char const* name;
    void (*read)(std::string_view text);
    std::vector<std::string> samples;
};

/// The readers of caller requests, target responses, frames (the decoders alone, and a complete engine), configuration
/// folders, settings files, store entries, relay updates and observation reports.
std::vector<Input> const& inputs();

} // namespace Toucan::Fuzz
