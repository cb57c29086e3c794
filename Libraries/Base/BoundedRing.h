#pragma once

#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <memory>
#include <utility>

namespace Toucan {

/// Queue of fixed capacity between one producing and one consuming thread. It never blocks; the producer decides what
/// a full ring means. Items are moved, never copied.
template <typename T> class BoundedRing {
public:
    explicit BoundedRing(size_t capacity)
        : queue(capacity)
    {
    }

    ~BoundedRing()
    {
        T* item = nullptr;
        while (this->queue.pop(item))
            delete item;
    }
    BoundedRing(BoundedRing const&) = delete;
    BoundedRing& operator=(BoundedRing const&) = delete;

    /// Returns false, and leaves the item unchanged, when the ring is full.
    bool tryPush(T& item)
    {
        if (!this->queue.write_available())
            return false;
        auto owned = std::make_unique<T>(std::move(item));
        // This thread alone produces, so the room that was seen is still there.
        return this->queue.push(owned.release());
    }

    bool tryPop(T& item)
    {
        T* taken = nullptr;
        if (!this->queue.pop(taken))
            return false;
        std::unique_ptr<T> const owned(taken);
        item = std::move(*owned);
        return true;
    }

    size_t size() const { return this->queue.read_available(); }

private:
    // Pointers, because Boost copies the items of the queue, and a copy of a JSON tree is deep.
    boost::lockfree::spsc_queue<T*> queue;
};

} // namespace Toucan
