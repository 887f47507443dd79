#pragma once

#include "state/backend_entry.hpp"
#include "state/clock.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace pomelorouter::coordination
{

/// State of a backend server as known to this process.
struct known_backend
{
    state::backend_entry entry;
    /// Identifies the process by id and incarnation.
    std::string process;
    /// When the entry was read or its state last changed.
    state::time_point seen{};
    /// When the holder of the placement lease last announced the loaded models.
    state::time_point weights_announced{};
    /// Number of orders that the engine had accepted at that time.
    std::int64_t order_sequence = 0;
    /// The backend server is leaving or gone and gets no new requests. Only a new
    /// incarnation resets this.
    bool is_leaving = false;
    /// The backend server itself reported that it is leaving, in its entry or in an
    /// answer to this process.
    bool is_leaving_confirmed = false;
    /// When another gateway first reported that the backend server is leaving.
    state::time_point leaving_reported_at{};
    /// When the process will be removed, if that was announced.
    std::optional<state::time_point> removal;
};

/// Returns the name of a process, which consists of the id and the incarnation.
std::string process_key(const state::backend_entry& entry);

using known_backend_ptr = std::shared_ptr<const known_backend>;

/// Time limits of the directory.
struct directory_timing
{
    /// A removed entry counts as gone only after the store has been reachable for this
    /// long, since entries that expired during an outage are written again.
    state::milliseconds reappear_time{2300};
    /// For this long after an announcement of weights, an entry that is read may have
    /// been written before it.
    state::milliseconds stale_entry_time{2200};
};

/// Effect of an update on the directory.
enum class directory_change
{
    none,
    added,
    updated,
    /// A new process uses the same id.
    restarted,
    leaving,
    /// The entry was removed, but may be written again since the store was unavailable.
    removal_deferred,
    gone,
};

std::string_view to_string(directory_change change);

/// Removal of an entry that is missing from a complete list.
struct backend_removal
{
    std::string id;
    directory_change change = directory_change::none;
};

/// Maintains the set of usable backend servers from the platform's list, from answers and
/// from reports of other gateways.
class backend_directory
{
public:
    explicit backend_directory(const directory_timing& times = {}) : timing(times) {}

    /// Applies an entry that was read; ignores entries of older incarnations.
    directory_change apply(state::time_point now, state::backend_entry entry);
    /// Handles the removal of the entry of `id` from the list.
    directory_change remove(state::time_point now, std::string_view id);
    /// Applies a complete list; entries that are missing from it count as removed.
    /// Returns the effects of these removals.
    std::vector<backend_removal> replace_all(state::time_point now,
                                             std::vector<state::backend_entry> entries);
    /// Applies the first complete list after the store has returned from an older copy.
    /// Known processes keep their state, and processes that have ended before are not
    /// added: their next record shows whether they still run. Returns the effects of the
    /// removals.
    std::vector<backend_removal> restore_all(state::time_point now,
                                             std::vector<state::backend_entry> entries);
    /// Records that the store has returned from an older copy: backend servers write
    /// their missing entries again.
    void on_store_returned(state::time_point now) { this->reachable_since = now; }
    /// Records whether the store answered.
    void on_store_contact(state::time_point now, bool is_reachable);
    /// Processes the report of another gateway that the store has answered it for
    /// `duration`. Returns whether removals count earlier because of it.
    bool on_other_contact(state::time_point now, state::milliseconds duration);
    /// Removes a backend server after another process answered at its address.
    void on_misdirected(std::string_view id, std::int64_t incarnation);
    /// Applies the models that the holder of the placement lease announces for an engine
    /// after `sequence` orders; models about to be unloaded are left out. Returns false
    /// if the announcement is outdated or the process is unknown.
    bool on_weights(state::time_point now, std::string_view id, std::int64_t incarnation,
                    std::int64_t sequence,
                    const std::vector<state::loaded_model>& models);
    /// Marks a backend server as leaving after it said so in an answer. Returns whether
    /// that was not known from the backend server itself.
    bool on_leaving_answer(state::time_point now, std::string_view id,
                           std::int64_t incarnation);
    /// Marks a backend server as leaving after a report of another gateway. Returns
    /// whether that was not known.
    bool on_draining(state::time_point now, std::string_view id,
                     std::int64_t incarnation);
    /// Drops removed entries that have not reappeared in time; returns their ids.
    std::vector<std::string> tick(state::time_point now);

    /// Returns null if the id is unknown.
    known_backend_ptr find(std::string_view id) const;
    /// The backend servers of a service, leaving ones included, ordered by id.
    std::vector<known_backend_ptr> of_service(std::string_view service) const;
    /// Number of backend servers of a service that accept new requests.
    std::size_t count(std::string_view service) const;
    const std::map<std::string, known_backend_ptr, std::less<>>& all() const
    {
        return this->backends;
    }

private:
    bool is_store_stable(state::time_point now) const;
    void erase(state::time_point now, std::string_view id);
    std::vector<backend_removal>
    remove_missing(state::time_point now,
                   const std::set<std::string, std::less<>>& listed);
    bool mark_leaving(state::time_point now, std::string_view id);

    directory_timing timing;
    std::map<std::string, known_backend_ptr, std::less<>> backends;
    /// Entries removed while the store was unreachable or had just become reachable.
    std::map<std::string, state::time_point, std::less<>> removed;
    /// A process whose entry was removed.
    struct ended_process
    {
        std::int64_t incarnation = 0;
        state::time_point removed_at{};
    };
    std::map<std::string, ended_process, std::less<>> ended;
    bool reachable = true;
    /// Since when the store has been answering this gateway or another one.
    state::time_point reachable_since{};
};

} // namespace pomelorouter::coordination
