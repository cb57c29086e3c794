#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace Toucan {

/// Bounds the bytes that many holders buffer together. A holder may grow while it has at most a part of what
/// is still free (dynamic thresholds, Choudhury and Hahne 1998), so that greedy holders leave room for others. Holders
/// that block each other still end: one at a time, in the order of their waits, they move to the reserve.
class ByteBudget : public std::enable_shared_from_this<ByteBudget> {
public:
    struct Limits {
        /// Bytes of all holders together, without their allowances and the reserve.
        size_t total { 16777216 };
        /// Bytes that every holder may have without taking from the total.
        size_t allowance { 16384 };
        /// Bytes of one holder that has waited; at least the largest item that must pass.
        size_t reserve { 4194304 };
    };
    class Holder;

    static std::shared_ptr<ByteBudget> create(Limits limits);

    std::unique_ptr<Holder> createHolder();
    /// Bytes that count against the total and the reserve.
    size_t usedBytes() const;

private:
    explicit ByteBudget(Limits limits)
        : limits(limits)
    {
    }

    size_t free() const { return this->limits.total - std::min(this->limits.total, this->takenBytes); }
    bool mayGrow(Holder const& holder) const;
    void fillReserve();
    void resumeWaiting();

    Limits limits;
    size_t takenBytes { 0 };
    uint64_t lastTurn { 0 };
    /// Holders that wait, in the order of their first wait.
    std::map<uint64_t, Holder*> waiting;
    Holder* inReserve { nullptr };
    bool resuming { false };
};

/// What one connection, request or answer holds. Gives its bytes back when it is destroyed.
class ByteBudget::Holder {
public:
    explicit Holder(std::shared_ptr<ByteBudget> budget)
        : budget(std::move(budget))
    {
    }
    ~Holder();
    Holder(Holder const&) = delete;
    Holder& operator=(Holder const&) = delete;

    /// Notes that `bytes` are held now. Returns whether more may be read; otherwise `resume` is called once when it
    /// may, which can be within the call. `resume` must not destroy a holder.
    bool resize(size_t bytes, std::function<void()> resume);
    /// The holder will not grow any more; it leaves the reserve to others as soon as the total has room.
    void complete();
    size_t bytes() const { return this->held; }

private:
    friend class ByteBudget;

    /// Bytes beyond the allowance.
    size_t counted() const;

    std::shared_ptr<ByteBudget> budget;
    size_t held { 0 };
    /// Place among those that wait; 0 when the holder never had to.
    uint64_t turn { 0 };
    bool completed { false };
    std::function<void()> resume;
};

} // namespace Toucan
