#pragma once

#include "coordination/fold_position.hpp"
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

/// Folds the settings stream into the settings in force. All nodes that have read the
/// same prefix of the stream have the same state.
class settings_fold
{
public:
    /// Tells that the next record comes from `first`, because earlier ones have expired
    /// or none was read. The state stays unknown until a snapshot reaches back this far.
    void begin_at(std::uint64_t first);
    /// Applies one record. Returns the verdict if it was a proposal that had none before.
    /// Throws `state::error` if the record cannot be read; it is then skipped for good.
    std::optional<protocol::proposal_result> apply(std::uint64_t offset,
                                                   std::string_view data);
    /// Adopts the state of a peer or of a snapshot record if it is newer; returns
    /// whether.
    bool adopt(const protocol::settings_snapshot& snapshot);
    /// The present state, for a snapshot record or for a peer.
    protocol::settings_snapshot snapshot() const;

    /// Whether the state is that of a known prefix of the stream.
    bool is_known() const { return this->position.is_known(); }
    std::uint64_t version() const { return this->current_version; }
    /// Offset of the next record to fold.
    std::uint64_t next_offset() const { return this->position.next_offset(); }
    const boost::json::value& tree() const { return this->current_tree; }
    /// The settings in force; null until some were known.
    std::shared_ptr<const state::settings> resolved() const { return this->current; }
    /// Verdict of a recent proposal, if it is still remembered.
    std::optional<protocol::proposal_result> find_result(std::string_view id) const;

private:
    std::optional<protocol::proposal_result> apply_known(std::uint64_t offset,
                                                         std::string_view data);
    void look_for_snapshot(std::uint64_t offset, std::string_view data);
    std::optional<protocol::proposal_result>
    apply_proposal(const protocol::settings_proposal& proposal);
    void remember(protocol::proposal_result result);

    fold_position position;
    std::uint64_t current_version = 0;
    boost::json::value current_tree = boost::json::object{};
    std::shared_ptr<const state::settings> current;
    std::deque<protocol::proposal_result> recent;
};

} // namespace pomelorouter::coordination
