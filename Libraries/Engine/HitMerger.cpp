#include "Engine/HitMerger.h"

#include <algorithm>
#include <utility>

namespace Toucan {

namespace {

    struct RankedHit {
        double score;
        Json::Value* hit;
    };

} // namespace

static double scoreOf(Json::Value const& hit)
{
    if (!hit.isObject())
        return 0;
    auto const& score = hit["score"];
    return score.isNumeric() ? score.asDouble() : 0;
}

static bool ranksBefore(RankedHit const& left, RankedHit const& right)
{
    if (left.score != right.score)
        return left.score > right.score;
    if (!left.hit->isObject() || !right.hit->isObject())
        return *left.hit < *right.hit;
    return std::as_const(*left.hit)["id"] < std::as_const(*right.hit)["id"];
}

Json::Value HitMerger::take(uint32_t limit)
{
    std::vector<RankedHit> ranked;
    for (auto& part : this->parts) {
        for (auto& hit : part)
            ranked.push_back({ scoreOf(hit), &hit });
    }
    auto const count = limit == 0 ? ranked.size() : std::min<size_t>(limit, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(), ranksBefore);
    Json::Value result(Json::arrayValue);
    for (size_t index = 0; index < count; ++index)
        result.append(std::move(*ranked[index].hit));
    this->parts.clear();
    return result;
}

} // namespace Toucan
