#pragma once

#include <atomic>
#include <memory>
#include <utility>

namespace pomelorouter::state
{

/// Publishes an immutable snapshot from the thread that owns the state to reader threads.
template <typename Snapshot>
class snapshot_cell
{
public:
    explicit snapshot_cell(std::shared_ptr<const Snapshot> initial)
        : current(std::move(initial))
    {
    }

    std::shared_ptr<const Snapshot> load() const
    {
        return this->current.load(std::memory_order_acquire);
    }

    void store(std::shared_ptr<const Snapshot> next)
    {
        this->current.store(std::move(next), std::memory_order_release);
    }

private:
    std::atomic<std::shared_ptr<const Snapshot>> current;
};

} // namespace pomelorouter::state
