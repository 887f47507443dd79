#pragma once

#include "coordination/replay_position.hpp"
#include "protocol/settings_records.hpp"
#include "state/settings.hpp"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelorouter::coordination
{

/// Computes the current settings from the settings stream. All nodes that have read the
/// same prefix of the stream have the same state.
class replicated_settings
{
public:
    /// Sets the offset of the next record, because none was read yet or earlier records
    /// were deleted. If records were missed, the state is unknown until a snapshot covers
    /// everything before `first`.
    void begin_at(std::uint64_t first);
    /// Applies one record. Returns the verdict if it was a proposal without an earlier
    /// one. Throws `state::error` if the record cannot be parsed; it is then skipped
    /// permanently.
    std::optional<protocol::proposal_result> apply(std::uint64_t offset,
                                                   std::string_view data);
    /// Adopts the state of a peer or of a snapshot record; returns false if it is not
    /// newer. Throws `state::error` if the settings in it are invalid.
    bool adopt(const protocol::settings_snapshot& snapshot);
    /// Returns the current state for a snapshot record or a peer.
    protocol::settings_snapshot snapshot() const;

    /// Whether the state covers a complete prefix of the stream.
    bool is_known() const { return this->position.is_known(); }
    std::uint64_t version() const { return this->current_version; }
    /// Returns the offset of the next record to apply.
    std::uint64_t next_offset() const { return this->position.next_offset(); }
    const boost::json::value& tree() const { return this->current_tree; }
    /// Returns the current settings, or null until they are known.
    std::shared_ptr<const state::settings> resolved() const { return this->current; }
    /// Returns the verdict of a recent proposal, or nothing if it is no longer stored.
    std::optional<protocol::proposal_result> find_result(std::string_view id) const;

private:
    std::optional<protocol::proposal_result> apply_known(std::uint64_t offset,
                                                         std::string_view data);
    void look_for_snapshot(std::uint64_t offset, std::string_view data);
    std::optional<protocol::proposal_result>
    apply_proposal(const protocol::settings_proposal& proposal);
    void store_result(protocol::proposal_result result);

    replay_position position;
    std::uint64_t current_version = 0;
    boost::json::value current_tree = boost::json::object{};
    std::shared_ptr<const state::settings> current;
    std::deque<protocol::proposal_result> recent;
};

} // namespace pomelorouter::coordination
