#pragma once

#include <span>
#include <string>
#include <string_view>

namespace Toucan {

/// Size of one record in the parts of a scattered request; records are compared bytewise.
constexpr size_t recordBytes = 16;

/// The greatest `limit` records of all parts, in descending order; equal records are all included. An incomplete record
/// at the end of a part is ignored.
std::string mergeRecords(std::span<std::string_view const> parts, size_t limit);

/// Largest body of a part that is accepted, in bytes, for a route with `limit` records in the answer.
size_t partBodyLimit(size_t limit);

} // namespace Toucan
