#pragma once

#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <memory>
#include <utility>

namespace Toucan {

/// Queue of fixed capacity between one producer and one consumer thread. It never blocks; the producer decides what to
/// do when the ring is full. Items are moved, never copied.
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

    /// Returns false and leaves the item unchanged if the ring is full.
    bool tryPush(T& item)
    {
        if (!this->queue.write_available())
            return false;
        auto owned = std::make_unique<T>(std::move(item));
        // There is a single producer, so the free slot cannot have been taken since the check.
        return this->queue.push(owned.release());
    }

    bool tryPop(T& item)
    {
        T* popped = nullptr;
        if (!this->queue.pop(popped))
            return false;
        std::unique_ptr<T> const owned(popped);
        item = std::move(*owned);
        return true;
    }

    size_t size() const { return this->queue.read_available(); }

private:
    // Holds pointers because spsc_queue copies its items, and copying a JSON tree is expensive.
    boost::lockfree::spsc_queue<T*> queue;
};

} // namespace Toucan
