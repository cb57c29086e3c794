#include "Gateway/GatewayMessages.h"

namespace Toucan {

/// Bytes of the objects of one attempt, and of one header field, in addition to their text.
constexpr size_t attemptOverhead = 512;
constexpr size_t fieldOverhead = 96;

size_t estimateMemory(ProxiedRequest const& request, size_t parts)
{
    auto head = request.head.getURI().size();
    for (auto const& [name, value] : request.head)
        head += name.size() + value.size() + fieldOverhead;
    return request.body.size() + parts * (head + attemptOverhead);
}

} // namespace Toucan
