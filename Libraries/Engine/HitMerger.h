#pragma once

#include <cstdint>
#include <json/value.h>
#include <vector>

namespace Toucan {

/// Collects the hits of the parts of one query.
class HitMerger {
public:
    void add(Json::Value&& hits) { this->parts.push_back(std::move(hits)); }
    void clear() { this->parts.clear(); }
    /// All hits by descending `score`, then ascending `id`; at most `limit` of them, or all when it is zero.
    /// Empties the merger.
    Json::Value take(uint32_t limit);

private:
    std::vector<Json::Value> parts;
};

} // namespace Toucan
