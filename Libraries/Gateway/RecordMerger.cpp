#include "Gateway/RecordMerger.h"

#include <algorithm>
#include <vector>

namespace Toucan {

/// Largest ratio of the records of a part to those of the answer: parts hold somewhat more records than the answer, and
/// a part with many times as many is a fault of the target.
constexpr size_t maximumPartRatio = 16;
/// Bounds on the size limit of a part, in bytes. The lower one applies to routes with few records, because parts may be
/// padded.
constexpr size_t minimumPartLimit = 16384;
constexpr size_t maximumPartLimit = 4194304;

size_t partBodyLimit(size_t limit)
{
    constexpr size_t perRecord = recordBytes * maximumPartRatio;
    return std::clamp(std::min(limit, maximumPartLimit / perRecord) * perRecord, minimumPartLimit, maximumPartLimit);
}

std::string mergeRecords(std::span<std::string_view const> parts, size_t limit)
{
    std::vector<std::string_view> records;
    for (auto part : parts) {
        for (; part.size() >= recordBytes; part.remove_prefix(recordBytes))
            records.push_back(part.substr(0, recordBytes));
    }
    auto const count = std::min(limit, records.size());
    // std::string_view compares as memcmp does.
    std::partial_sort(
        records.begin(), records.begin() + static_cast<std::ptrdiff_t>(count), records.end(), std::greater<>());
    std::string merged;
    merged.reserve(count * recordBytes);
    for (size_t index = 0; index < count; ++index)
        merged.append(records[index]);
    return merged;
}

} // namespace Toucan
