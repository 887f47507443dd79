#include "coordination/replicated_settings.hpp"

#include "state/error.hpp"

#include <utility>

namespace pomelorouter::coordination
{

using protocol::proposal_result;
using protocol::proposal_verdict;

namespace
{
// A writer that lost the response to an append looks up its proposal here. It gives up
// long before this many other proposals have been processed.
constexpr std::size_t max_recent_results = 256;
constexpr const char* document_name = "settings";
} // namespace

std::optional<proposal_result> replicated_settings::apply(std::uint64_t offset,
                                                          std::string_view data)
{
    if (offset < this->position.next_offset())
        return std::nullopt;
    if (this->position.is_known())
        return this->apply_known(offset, data);
    this->look_for_snapshot(offset, data);
    return std::nullopt;
}

void replicated_settings::begin_at(std::uint64_t first)
{
    if (this->position.begin_at(first))
        this->current = std::make_shared<const state::settings>();
}

std::optional<proposal_result> replicated_settings::apply_known(std::uint64_t offset,
                                                                std::string_view data)
{
    // Advance before parsing: every node skips a malformed record.
    this->position.advance(offset);
    const protocol::settings_record record = protocol::parse_settings_record(data);
    if (const auto* proposal = std::get_if<protocol::settings_proposal>(&record))
        return this->apply_proposal(*proposal);
    return std::nullopt;
}

void replicated_settings::look_for_snapshot(std::uint64_t offset, std::string_view data)
{
    this->position.buffer_record(offset, data);
    const protocol::settings_record record = protocol::parse_settings_record(data);
    const auto* snapshot = std::get_if<protocol::settings_snapshot>(&record);
    if (snapshot == nullptr)
        return;
    // A snapshot that ends before the oldest retained record lacks the changes between
    // the two.
    if (this->position.covers_missed_records(snapshot->upto))
        this->adopt(*snapshot);
}

bool replicated_settings::adopt(const protocol::settings_snapshot& snapshot)
{
    auto resolved = std::make_shared<const state::settings>(
        state::resolve_settings(snapshot.tree, document_name));
    const auto later = this->position.adopt(snapshot.upto);
    if (!later)
        return false;
    this->current = std::move(resolved);
    this->current_tree = snapshot.tree;
    this->current_version = snapshot.version;
    this->recent.assign(snapshot.recent.begin(), snapshot.recent.end());
    for (const replay_position::buffered_record& record : *later)
    {
        try
        {
            this->apply_known(record.offset, record.data);
        }
        catch (const state::error&)
        {
            // Already reported by `look_for_snapshot`.
        }
    }
    return true;
}

protocol::settings_snapshot replicated_settings::snapshot() const
{
    protocol::settings_snapshot result;
    result.version = this->current_version;
    result.upto = this->next_offset() == 0 ? 0 : this->next_offset() - 1;
    result.tree = this->current_tree;
    result.recent.assign(this->recent.begin(), this->recent.end());
    return result;
}

std::optional<proposal_result> replicated_settings::find_result(std::string_view id) const
{
    for (const proposal_result& result : this->recent)
    {
        if (result.id == id)
            return result;
    }
    return std::nullopt;
}

std::optional<proposal_result>
replicated_settings::apply_proposal(const protocol::settings_proposal& proposal)
{
    // Duplicate of a proposal, appended again because the first response was lost.
    if (this->find_result(proposal.id))
        return std::nullopt;
    proposal_result result;
    result.id = proposal.id;
    if (proposal.base_version != this->current_version)
    {
        result.verdict = proposal_verdict::conflict;
        result.reason =
            "the settings are at version " + std::to_string(this->current_version);
    }
    else
    {
        try
        {
            this->current = std::make_shared<const state::settings>(
                state::resolve_settings(proposal.tree, document_name));
            this->current_tree = proposal.tree;
            ++this->current_version;
        }
        catch (const state::error& failure)
        {
            result.verdict = proposal_verdict::invalid;
            result.reason = failure.what();
        }
    }
    result.version = this->current_version;
    this->store_result(result);
    return result;
}

void replicated_settings::store_result(proposal_result result)
{
    this->recent.push_back(std::move(result));
    if (this->recent.size() > max_recent_results)
        this->recent.pop_front();
}

} // namespace pomelorouter::coordination
