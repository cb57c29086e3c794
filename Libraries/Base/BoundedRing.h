#pragma once

#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <utility>

namespace Toucan {

/// Queue of fixed capacity between one producing and one consuming thread. It never blocks; the producer decides what
/// a full ring means.
template <typename T> class BoundedRing {
public:
    explicit BoundedRing(size_t capacity)
        : queue(capacity)
    {
    }

    /// Returns false, and leaves the item unchanged, when the ring is full.
    bool tryPush(T& item)
    {
        if (!this->queue.write_available())
            return false;
        return this->queue.push(std::move(item));
    }

    bool tryPop(T& item) { return this->queue.pop(item); }

    size_t size() const { return this->queue.read_available(); }

private:
    boost::lockfree::spsc_queue<T> queue;
};

} // namespace Toucan
