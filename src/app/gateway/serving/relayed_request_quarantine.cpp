#include "app/gateway/serving/relayed_request.hpp"

#include <utility>

// Requests whose prompt may crash the backend servers that answer them.

namespace pomelorouter::app
{

using state::error_code;
using state::now;

std::vector<std::uint64_t> relayed_request::shared_parts() const
{
    std::vector<std::uint64_t> result;
    for (std::size_t i = 0; i + 1 < this->demand.parts.size(); ++i)
        result.push_back(this->demand.parts[i].id);
    return result;
}

std::vector<std::uint64_t> relayed_request::all_parts() const
{
    std::vector<std::uint64_t> result;
    for (const auto& part : this->demand.parts)
        result.push_back(part.id);
    return result;
}

bool relayed_request::is_quarantined()
{
    this->quarantine = this->shared.quarantine.find(
        now(), this->demand.service, this->all_parts(), this->shared.is_strongest);
    return this->quarantine.has_value();
}

void relayed_request::on_quarantine()
{
    if (this->aborted->call == nullptr || this->is_aborted() || this->answer_begun ||
        !this->is_quarantined())
        return;
    this->is_withdrawn = true;
    this->aborted->call->abort();
}

void relayed_request::on_answer_begun()
{
    if (std::exchange(this->answer_begun, true))
        return;
    this->shared.quarantine.on_answer(now(), this->demand.service, this->all_parts());
}

void relayed_request::report_lost_call(const state::backend_entry& entry,
                                       const transport::http_error& failure)
{
    const bool is_lost = failure.code() == error_code::connection_lost &&
                         !this->is_aborted() && !this->has_reserved_retry &&
                         !this->is_withdrawn;
    if (!is_lost)
        return;
    if (this->answer_begun)
        this->shared.on_call_lost(entry, std::nullopt);
    else
    {
        ++this->unanswered_calls;
        coordination::unanswered_call call{this->metadata.attempt_id,
                                           this->shared_parts(), this->sent_at};
        if (!this->demand.parts.empty())
            call.own_part = this->demand.parts.back().id;
        this->shared.on_call_lost(entry, std::move(call));
    }
}

} // namespace pomelorouter::app
