#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace Toucan {

/// Limits the total number of bytes that many holders buffer. A holder may grow while it uses at most a fixed share of
/// the free bytes (dynamic thresholds, Choudhury and Hahne 1998), so that large holders leave bytes for others.
/// Holders that block each other still complete: one at a time, in the order of their first waits, they may use the
/// reserve.
class ByteBudget : public std::enable_shared_from_this<ByteBudget> {
public:
    struct Limits {
        /// Bytes shared by all holders, excluding their allowances and the reserve.
        size_t total { 16777216 };
        /// Bytes of each holder that do not count against the total.
        size_t allowance { 16384 };
        /// Bytes for one holder at a time that has waited; at least the size of the largest item to be buffered.
        size_t reserve { 4194304 };
    };
    class Holder;

    static std::shared_ptr<ByteBudget> create(Limits limits);

    std::unique_ptr<Holder> createHolder();
    /// Bytes in use that count against the total or the reserve.
    size_t usedBytes() const;

private:
    explicit ByteBudget(Limits limits)
        : limits(limits)
    {
    }

    size_t free() const { return this->limits.total - std::min(this->limits.total, this->usedOfTotal); }
    bool mayGrow(Holder const& holder) const;
    void assignReserve();
    void resumeWaiting();

    Limits limits;
    size_t usedOfTotal { 0 };
    uint64_t lastWaitPosition { 0 };
    /// Waiting holders, keyed by wait position.
    std::map<uint64_t, Holder*> waiting;
    Holder* reserveHolder { nullptr };
    bool resuming { false };
};

/// The bytes buffered by one connection, request or response. Releases them when it is destroyed.
class ByteBudget::Holder {
public:
    explicit Holder(std::shared_ptr<ByteBudget> budget)
        : budget(std::move(budget))
    {
    }
    ~Holder();
    Holder(Holder const&) = delete;
    Holder& operator=(Holder const&) = delete;

    /// Sets the number of buffered bytes. Returns whether more may be read; if not, `resume` is called once as soon as
    /// more may be read, possibly before this call returns. `resume` must not destroy a holder.
    bool resize(size_t bytes, std::function<void()> resume);
    /// Declares that the holder will not grow any more. If it is in the reserve, its bytes are charged to the total as
    /// soon as they fit, which frees the reserve for the next holder.
    void complete();
    size_t bytes() const { return this->held; }

private:
    friend class ByteBudget;

    size_t bytesOverAllowance() const;

    std::shared_ptr<ByteBudget> budget;
    size_t held { 0 };
    /// Position in the order of first waits, from 1; 0 if the holder has never waited.
    uint64_t waitPosition { 0 };
    bool completed { false };
    std::function<void()> resume;
};

} // namespace Toucan
