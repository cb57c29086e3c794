#pragma once

#include <span>
#include <string>
#include <string_view>

namespace Toucan {

/// Size of one record in the parts of a scattered request; records compare byte by byte.
constexpr size_t recordBytes = 16;

/// The greatest `limit` records of all parts, greatest first; equal records all count. A rest of a part that is
/// shorter than a record is ignored.
std::string mergeRecords(std::span<std::string_view const> parts, size_t limit);

/// Largest body of a part that is read: parts may hold more records than the answer, but only the greatest of them
/// count.
size_t largestPart(size_t limit);

} // namespace Toucan
