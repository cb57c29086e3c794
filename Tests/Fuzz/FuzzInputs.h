#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Toucan::Fuzz {

/// A reader of untrusted input. `read` returns normally for any text, valid or not: it catches the exceptions that the
/// reader documents. Any other exception, and any crash, is a fault.
struct InputReader {
    char const* name;
    void (*read)(std::string_view text);
    std::vector<std::string> samples;
};

/// The readers of caller requests, target responses (framed and unframed), frames (the decoders alone, and a complete
/// engine), configuration folders, settings files, store entries (alone, and served by a gateway), relayed items, relay
/// updates, observation reports and gateway settings.
std::vector<InputReader> const& inputReaders();

} // namespace Toucan::Fuzz
