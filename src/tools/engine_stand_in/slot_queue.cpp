#include "slot_queue.hpp"

#include <algorithm>

namespace pomelorouter::tools
{

slot_queue::slot_queue(std::int64_t slot_count, std::size_t queue_limit)
    : slot_limit(slot_count), max_queue(queue_limit)
{
}

bool slot_queue::admit(engine_request& request)
{
    if (this->running_count < this->slot_limit)
    {
        this->start(request);
        return true;
    }
    if (this->waiting.size() >= this->max_queue)
        return false;
    this->waiting.emplace(std::pair(-request.priority, this->arrivals++), &request);
    return true;
}

void slot_queue::start(engine_request& request)
{
    ++this->running_count;
    request.running = true;
    request.wake_timer.cancel();
}

void slot_queue::release(engine_request& request)
{
    if (!request.running)
    {
        std::erase_if(this->waiting,
                      [&](const auto& entry) { return entry.second == &request; });
        return;
    }
    request.running = false;
    --this->running_count;
    if (this->waiting.empty())
        return;
    engine_request* next = this->waiting.begin()->second;
    this->waiting.erase(this->waiting.begin());
    this->start(*next);
}

} // namespace pomelorouter::tools
