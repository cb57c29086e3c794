#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Toucan::Fuzz {

/// One reader of input from outside. `read` returns normally for any input, good or bad: what the reader declares to
/// throw is caught, and everything else is a fault.
struct Input {
    char const* name;
    void (*read)(std::string_view text);
    std::vector<std::string> samples;
};

/// The readers of caller requests, target responses, frames (decoders alone, and a whole engine), configuration
/// folders and settings files.
std::vector<Input> const& inputs();

} // namespace Toucan::Fuzz
