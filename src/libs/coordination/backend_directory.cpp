#include "coordination/backend_directory.hpp"

#include "state/enum_table.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace pomelorouter::coordination
{

namespace
{

constexpr std::array<state::enum_name<directory_change>, 7> change_names{{
    {directory_change::none, "none"},
    {directory_change::added, "added"},
    {directory_change::updated, "updated"},
    {directory_change::restarted, "restarted"},
    {directory_change::leaving, "leaving"},
    {directory_change::removal_deferred, "removal_deferred"},
    {directory_change::gone, "gone"},
}};

/// Processes that have ended are remembered for this long, which is longer than the store
/// may fall back.
constexpr state::milliseconds ended_lifetime{60000};

} // namespace

std::string_view to_string(directory_change change)
{
    return name_of(change_names, change);
}

std::string process_key(const state::backend_entry& entry)
{
    return entry.id + "@" + std::to_string(entry.incarnation);
}

directory_change backend_directory::apply(state::time_point now,
                                          state::backend_entry entry)
{
    this->removed.erase(entry.id);
    const known_backend_ptr before = this->find(entry.id);
    auto next = std::make_shared<known_backend>();
    next->seen = now;
    directory_change change = directory_change::added;
    if (before)
    {
        const bool is_older = entry.incarnation < before->entry.incarnation;
        if (is_older)
            return directory_change::none;
        const bool same = entry.incarnation == before->entry.incarnation;
        change = same ? directory_change::updated : directory_change::restarted;
        if (same)
        {
            // A process that announced that it is leaving does not revoke this. An entry
            // that says otherwise was written earlier, or by a process that does not know
            // of the announcement.
            next->is_leaving = before->is_leaving;
            next->is_leaving_confirmed = before->is_leaving_confirmed;
            next->leaving_reported_at = before->leaving_reported_at;
            next->removal = before->removal;
            next->weights_announced = before->weights_announced;
            next->order_sequence = before->order_sequence;
            if (now - before->weights_announced < this->timing.stale_entry_time)
                entry.models = before->entry.models;
        }
    }
    if (entry.phase == state::backend_phase::draining)
    {
        if (!next->is_leaving)
            change = directory_change::leaving;
        next->is_leaving = true;
        next->is_leaving_confirmed = true;
        if (entry.remaining && !next->removal)
            next->removal = now + *entry.remaining;
    }
    next->entry = std::move(entry);
    next->process = process_key(next->entry);
    this->backends[next->entry.id] = next;
    return change;
}

directory_change backend_directory::remove(state::time_point now, std::string_view id)
{
    if (this->backends.find(id) == this->backends.end())
        return directory_change::none;
    if (!this->is_store_stable(now))
    {
        const bool is_new = this->removed.emplace(std::string(id), now).second;
        return is_new ? directory_change::removal_deferred : directory_change::none;
    }
    this->erase(now, id);
    return directory_change::gone;
}

void backend_directory::erase(state::time_point now, std::string_view id)
{
    const auto found = this->backends.find(id);
    if (found == this->backends.end())
        return;
    this->ended[std::string(id)] = {found->second->entry.incarnation, now};
    this->backends.erase(found);
}

std::vector<backend_removal>
backend_directory::replace_all(state::time_point now,
                               std::vector<state::backend_entry> entries)
{
    std::set<std::string, std::less<>> named;
    for (state::backend_entry& entry : entries)
    {
        named.insert(entry.id);
        this->apply(now, std::move(entry));
    }
    return this->remove_missing(now, named);
}

std::vector<backend_removal>
backend_directory::restore_all(state::time_point now,
                               std::vector<state::backend_entry> entries)
{
    std::set<std::string, std::less<>> named;
    for (state::backend_entry& entry : entries)
    {
        named.insert(entry.id);
        const known_backend_ptr known = this->find(entry.id);
        const bool is_known = known && known->entry.incarnation >= entry.incarnation;
        const auto found = this->ended.find(entry.id);
        const bool has_ended =
            found != this->ended.end() && found->second.incarnation >= entry.incarnation;
        if (is_known && entry.phase != state::backend_phase::draining)
            this->removed.erase(entry.id);
        else if (is_known || !has_ended)
            this->apply(now, std::move(entry));
    }
    return this->remove_missing(now, named);
}

std::vector<backend_removal>
backend_directory::remove_missing(state::time_point now,
                                  const std::set<std::string, std::less<>>& listed)
{
    std::vector<backend_removal> missing;
    for (const auto& [id, backend] : this->backends)
    {
        if (listed.count(id) == 0)
            missing.push_back({id, directory_change::none});
    }
    for (backend_removal& removal : missing)
        removal.change = this->remove(now, removal.id);
    return missing;
}

void backend_directory::on_store_contact(state::time_point now, bool is_reachable)
{
    if (is_reachable && !this->reachable)
        this->reachable_since = now;
    this->reachable = is_reachable;
}

/// If another gateway has read the store all the while, only the path of this gateway was
/// interrupted. Backend servers could write their entries, so none expired that way.
bool backend_directory::on_other_contact(state::time_point now,
                                         state::milliseconds duration)
{
    const state::time_point since = now - duration;
    if (!this->reachable || since >= this->reachable_since)
        return false;
    const bool was_stable = this->is_store_stable(now);
    this->reachable_since = since;
    return !was_stable;
}

void backend_directory::on_misdirected(std::string_view id, std::int64_t incarnation)
{
    const auto found = this->backends.find(id);
    if (found != this->backends.end() && found->second->entry.incarnation == incarnation)
        this->backends.erase(found);
}

bool backend_directory::on_weights(state::time_point now, std::string_view id,
                                   std::int64_t incarnation, std::int64_t sequence,
                                   const std::vector<state::loaded_model>& models)
{
    const auto found = this->backends.find(id);
    if (found == this->backends.end() ||
        found->second->entry.incarnation != incarnation ||
        found->second->order_sequence > sequence)
        return false;
    auto next = std::make_shared<known_backend>(*found->second);
    next->weights_announced = now;
    next->order_sequence = sequence;
    next->entry.models = models;
    found->second = std::move(next);
    return true;
}

bool backend_directory::on_leaving_answer(state::time_point now, std::string_view id,
                                          std::int64_t incarnation)
{
    const auto found = this->backends.find(id);
    if (found == this->backends.end() || found->second->is_leaving_confirmed ||
        found->second->entry.incarnation != incarnation)
        return false;
    auto next = std::make_shared<known_backend>(*found->second);
    next->is_leaving = true;
    next->is_leaving_confirmed = true;
    next->seen = now;
    found->second = std::move(next);
    return true;
}

bool backend_directory::on_draining(state::time_point now, std::string_view id,
                                    std::int64_t incarnation)
{
    const known_backend_ptr backend = this->find(id);
    return backend && backend->entry.incarnation == incarnation &&
           this->mark_leaving(now, id);
}

std::vector<std::string> backend_directory::tick(state::time_point now)
{
    std::vector<std::string> gone;
    if (!this->is_store_stable(now))
        return gone;
    for (const auto& [id, when] : this->removed)
    {
        this->erase(now, id);
        gone.push_back(id);
    }
    this->removed.clear();
    std::erase_if(this->ended, [now](const auto& item)
                  { return now - item.second.removed_at > ended_lifetime; });
    return gone;
}

known_backend_ptr backend_directory::find(std::string_view id) const
{
    const auto found = this->backends.find(id);
    return found == this->backends.end() ? nullptr : found->second;
}

std::size_t backend_directory::count(std::string_view service) const
{
    return static_cast<std::size_t>(std::count_if(
        this->backends.begin(), this->backends.end(),
        [service](const auto& item)
        { return item.second->entry.service == service && !item.second->is_leaving; }));
}

std::vector<known_backend_ptr>
backend_directory::of_service(std::string_view service) const
{
    std::vector<known_backend_ptr> result;
    for (const auto& [id, backend] : this->backends)
    {
        if (backend->entry.service == service)
            result.push_back(backend);
    }
    return result;
}

bool backend_directory::is_store_stable(state::time_point now) const
{
    return this->reachable && now - this->reachable_since >= this->timing.reappear_time;
}

bool backend_directory::mark_leaving(state::time_point now, std::string_view id)
{
    const auto found = this->backends.find(id);
    if (found == this->backends.end() || found->second->is_leaving)
        return false;
    auto next = std::make_shared<known_backend>(*found->second);
    next->is_leaving = true;
    next->leaving_reported_at = now;
    next->seen = now;
    found->second = std::move(next);
    return true;
}

} // namespace pomelorouter::coordination
