#include "coordination/membership.hpp"

#include "coordination/rendezvous.hpp"
#include "state/enum_table.hpp"

#include <algorithm>
#include <utility>

namespace pomelorouter::coordination
{

using protocol::heartbeat;
using protocol::leaving_backend;
using protocol::member_entry;
using state::time_point;

namespace
{

// A node may run before the list contains it, so absence from the list proves that a node
// has ended only after the list was read for longer than its maximum delay.
constexpr state::seconds min_list_history{120};
// Keeps the flag of a backend server until the delayed instance list reflects it.
constexpr state::seconds leaving_flag_lifetime{120};
// Two reads, because the first one that ends after a pause may have started before it.
constexpr std::size_t reads_to_catch_up = 2;
// Limits the memory used when a peer restarts in a loop.
constexpr std::size_t max_retired = 64;

constexpr std::array<state::enum_name<membership_event::change>, 5> change_names{{
    {membership_event::change::listed, "listed"},
    {membership_event::change::unlisted, "unlisted"},
    {membership_event::change::replaced, "replaced"},
    {membership_event::change::removed, "removed"},
    {membership_event::change::paused, "paused"},
}};

} // namespace

std::string_view to_string(membership_event::change change)
{
    return name_of(change_names, change);
}

membership::membership(std::string node, std::uint64_t process, std::string address,
                       std::uint64_t seed)
    : id(std::move(node)),
      incarnation(process),
      peer_address(std::move(address)),
      random(seed)
{
}

void membership::set_seeds(std::vector<std::string> addresses)
{
    this->seeds = std::move(addresses);
}

void membership::set_region_zones(std::set<std::string, std::less<>> zones)
{
    this->region_zones = std::move(zones);
}

void membership::on_list(const std::vector<state::instance>& instances, time_point now)
{
    this->advance_clock(now);
    std::set<std::string> present;
    for (const state::instance& item : instances)
    {
        present.insert(item.id);
        if (item.kind != state::instance_kind::node)
        {
            if (item.state == state::instance_state::leaving)
                this->mark_backend_leaving({item.id, item.incarnation}, now);
            continue;
        }
        if (item.id == this->id)
            continue;
        member& entry = this->peers[item.id];
        const std::string heard_at = entry.listed_as.peer_address;
        entry.listed_as = item;
        if (item.peer_address.empty())
            entry.listed_as.peer_address = heard_at;
        entry.in_list = true;
        entry.leaves_list = item.state == state::instance_state::leaving;
        this->departed.erase(item.id);
    }
    if (!this->first_list)
        this->first_list = now;
    this->last_list = now;
    this->drop_absent(present, now);
}

void membership::drop_absent(const std::set<std::string>& present, time_point now)
{
    for (auto entry = this->peers.begin(); entry != this->peers.end();)
    {
        member& item = entry->second;
        if (!present.contains(entry->first) && std::exchange(item.in_list, false))
            item.leaves_list = true;
        // A node that is still heard is kept, since the list may be outdated.
        const bool is_gone =
            item.leaves_list && !item.in_list && (!item.is_heard() || item.suspected);
        if (!is_gone)
        {
            ++entry;
            continue;
        }
        this->departed.insert(entry->first);
        this->record(membership_event::change::removed, entry->first);
        entry = this->peers.erase(entry);
    }
    std::erase_if(this->leaving_backends,
                  [&](const auto& flag)
                  {
                      return !present.contains(flag.first.id) &&
                             now - flag.second.noted >= leaving_flag_lifetime;
                  });
}

void membership::on_heartbeat(const heartbeat& message, time_point now)
{
    this->advance_clock(now);
    if (message.origin.node == this->id)
        return;
    this->merge(message.origin, true, now);
    const auto origin = this->peers.find(message.origin.node);
    if (origin == this->peers.end() ||
        origin->second.incarnation != message.origin.incarnation)
        return;
    origin->second.last_direct = now;
    // The address in the list takes precedence, since others can reach it; a node may
    // only know its bind address.
    if (!message.peer_address.empty() &&
        (!origin->second.in_list || origin->second.listed_as.peer_address.empty()))
        origin->second.listed_as.peer_address = message.peer_address;
    this->highest_offset_heard =
        std::max(this->highest_offset_heard, message.settings_offset);
    for (const member_entry& entry : message.others)
        this->merge(entry, false, now);
    for (const leaving_backend& backend : message.leaving)
        this->mark_backend_leaving(backend, now);
}

void membership::on_log_read(time_point now)
{
    this->advance_clock(now);
    ++this->reads_since_pause;
}

void membership::mark_backend_leaving(const leaving_backend& backend, time_point now)
{
    const auto [entry, is_new] = this->leaving_backends.try_emplace(backend);
    entry->second.noted = now;
    if (is_new)
        entry->second.sends_left = fan_out * this->spread_rounds();
}

void membership::merge(const member_entry& entry, bool direct, time_point now)
{
    // Suspicions about this node need no handling: its next heartbeats refute them.
    if (entry.node == this->id || entry.incarnation == 0)
        return;
    auto found = this->peers.find(entry.node);
    if (found == this->peers.end())
    {
        if (!direct && (entry.suspect || this->departed.contains(entry.node)))
            return;
        found = this->peers.try_emplace(entry.node).first;
        found->second.listed_as.id = entry.node;
        this->departed.erase(entry.node);
    }
    member& item = found->second;
    if (item.incarnation != entry.incarnation)
    {
        // Incarnations derive from the start time, so of two that were learnt indirectly
        // the greater one is later. A heartbeat of the node itself takes precedence, in
        // case its clock was set back between two starts.
        const bool is_older = !direct && entry.incarnation < item.incarnation;
        if (is_older || item.retired.contains(entry.incarnation))
            return;
        this->replace(found->first, item, entry, now);
    }
    else if (entry.counter > item.counter && !entry.suspect)
        this->progress(item, entry, direct, now);
    else if (entry.suspect && entry.counter >= item.counter)
    {
        item.counter = entry.counter;
        this->suspect(item, now);
    }
    else if (entry.suspect)
        this->spread(item);
    if (direct)
        item.direct_incarnation = entry.incarnation;
}

void membership::replace(const std::string& node, member& item, const member_entry& entry,
                         time_point now)
{
    const bool is_first = !item.is_heard();
    if (!is_first)
    {
        if (item.retired.size() >= max_retired)
            item.retired.erase(item.retired.begin());
        item.retired.insert(item.incarnation);
        this->record(membership_event::change::replaced, node);
    }
    item.incarnation = entry.incarnation;
    item.counter = entry.counter;
    item.ready = entry.ready;
    item.leaving = entry.leaving;
    item.suspected = false;
    item.awaiting_since.reset();
    item.last_progress = now;
    item.rejoin_since = now;
    if (!is_first)
        this->spread(item);
    if (entry.suspect)
        this->suspect(item, now);
    else if (is_first)
    {
        // Do not spread the first contact with a node as a change: a starting node would
        // otherwise send what all others know ahead of suspicions for minutes.
        item.sends_left = fan_out;
        item.live = true;
        this->record(membership_event::change::listed, node);
    }
}

void membership::progress(member& item, const member_entry& entry, bool direct,
                          time_point now)
{
    const bool is_change = item.suspected || item.ready != entry.ready ||
                           item.leaving != (item.leaving || entry.leaving);
    item.counter = entry.counter;
    item.ready = entry.ready;
    // Leaving is final for an incarnation.
    item.leaving = item.leaving || entry.leaving;
    item.last_progress = now;
    item.awaiting_since.reset();
    if (item.suspected)
    {
        item.suspected = false;
        item.rejoin_since = now;
        // An outdated entry may have cleared the suspicion; an immediate heartbeat to the
        // node verifies that it is alive.
        item.probe_next = !direct;
    }
    if (is_change)
        this->spread(item);
}

void membership::suspect(member& item, time_point now)
{
    item.awaiting_since.reset();
    if (item.suspected)
        return;
    item.suspected = true;
    item.suspected_since = now;
    this->spread(item);
}

void membership::spread(member& item)
{
    item.sends_left = fan_out * this->spread_rounds();
}

void membership::advance_clock(time_point now)
{
    const std::optional<time_point> previous = std::exchange(this->last_time, now);
    if (!previous)
    {
        // A random offset keeps nodes from starting their rounds at the same time.
        const auto period = static_cast<std::uint64_t>(this->times.heartbeat.count());
        this->next_round = now + state::milliseconds(this->random() % (period + 1));
        return;
    }
    if (now - *previous >= this->times.pause_limit + max_tick_period)
        this->resume(now);
}

void membership::resume(time_point now)
{
    this->is_catching_up = true;
    this->reads_since_pause = 0;
    this->highest_offset_heard = 0;
    this->resumed = now;
    this->record(membership_event::change::paused, this->id);
    // Heartbeats missed while this process was paused do not indicate failed peers.
    for (auto& [node, item] : this->peers)
    {
        item.awaiting_since.reset();
        item.suspected_since = now;
        item.rejoin_since = now;
        if (item.is_heard() && !item.suspected)
            item.last_progress = now;
    }
}

std::vector<outgoing_heartbeat> membership::tick(time_point now)
{
    this->advance_clock(now);
    for (auto& [node, item] : this->peers)
        this->update_member(node, item, now);
    if (this->is_catching_up)
    {
        const auto reachable = static_cast<std::size_t>(std::ranges::count_if(
            this->peers, [](const auto& entry)
            { return !entry.second.listed_as.peer_address.empty(); }));
        const auto heard = static_cast<std::size_t>(
            std::ranges::count_if(this->peers,
                                  [&](const auto& entry) {
                                      return entry.second.is_heard() &&
                                             entry.second.last_direct >= this->resumed;
                                  }));
        // During a log outage, the log positions of the peers show whether this node has
        // missed records.
        const bool has_caught_up =
            this->reads_since_pause >= reads_to_catch_up ||
            this->own.settings_offset >= this->highest_offset_heard;
        if (has_caught_up && heard >= std::min(fan_out, (reachable + 1) / 2))
            this->is_catching_up = false;
    }
    if (now < this->next_round)
        return {};
    this->next_round = std::max(this->next_round + this->times.heartbeat, now);
    std::vector<outgoing_heartbeat> result = this->send_round(fan_out);
    for (const outgoing_heartbeat& sent : result)
    {
        const auto target = this->peers.find(sent.node);
        if (target != this->peers.end() && target->second.is_heard() &&
            !target->second.suspected && !target->second.awaiting_since)
            target->second.awaiting_since = now;
    }
    return result;
}

void membership::update_member(const std::string& node, member& item, time_point now)
{
    if (item.awaiting_since && now - *item.awaiting_since >= this->times.heartbeat)
        this->suspect(item, now);
    const auto refute_window =
        this->times.heartbeat * static_cast<std::int64_t>(this->spread_rounds());
    if (item.live && item.suspected &&
        now - item.last_progress >= this->times.suspect_after &&
        now - item.suspected_since >= refute_window)
    {
        item.live = false;
        this->record(membership_event::change::unlisted, node);
    }
    if (!item.live && item.is_heard() && !item.suspected &&
        now - item.rejoin_since >= this->times.rejoin_after)
    {
        item.live = true;
        this->record(membership_event::change::listed, node);
    }
}

std::vector<outgoing_heartbeat> membership::announce()
{
    return this->send_round(announce_fan_out);
}

std::vector<outgoing_heartbeat> membership::send_round(std::size_t count)
{
    std::vector<outgoing_heartbeat> result;
    for (const std::string& target : this->choose_targets(count))
    {
        result.push_back({target, this->peers.find(target)->second.listed_as.peer_address,
                          this->make_heartbeat(target)});
    }
    if (this->peers_heard() == 0)
    {
        for (const std::string& seed : this->seeds)
            result.push_back({"", seed, this->make_heartbeat("")});
    }
    return result;
}

protocol::heartbeat membership::make_response()
{
    // A new counter, so that receivers accept the response as newer than any entry.
    ++this->counter;
    heartbeat message;
    message.origin = {this->id,        this->incarnation, this->counter,
                      this->own.ready, this->own.leaving, false};
    message.settings_offset = this->own.settings_offset;
    message.settings_version = this->own.settings_version;
    message.peers_heard = static_cast<std::int32_t>(this->peers_heard());
    return message;
}

protocol::heartbeat membership::make_heartbeat(std::string_view target)
{
    heartbeat message = this->make_response();
    message.peer_address = this->peer_address;
    message.others = this->choose_others(target);
    message.leaving = this->choose_leaving();
    return message;
}

std::vector<std::string> membership::choose_targets(std::size_t count)
{
    std::vector<std::string> targets;
    for (auto& [node, item] : this->peers)
    {
        if (targets.size() < count && !item.listed_as.peer_address.empty() &&
            std::exchange(item.probe_next, false))
            targets.push_back(node);
    }
    // One target is a node that is not heard, so that its return is detected. Limiting it
    // to one keeps many failed nodes from displacing the live ones.
    this->take_from_rotation(this->suspect_rotation, true, targets.size() + 1, targets);
    this->take_from_rotation(this->live_rotation, false, count, targets);
    this->take_from_rotation(this->suspect_rotation, true, count, targets);
    return targets;
}

void membership::take_from_rotation(std::vector<std::string>& rotation, bool suspected,
                                    std::size_t limit, std::vector<std::string>& targets)
{
    const auto take_rest = [&]
    {
        while (!rotation.empty() && targets.size() < limit)
        {
            const std::string node = std::move(rotation.back());
            rotation.pop_back();
            const auto found = this->peers.find(node);
            if (found == this->peers.end() ||
                found->second.listed_as.peer_address.empty() ||
                (found->second.suspected || !found->second.is_heard()) != suspected ||
                std::ranges::find(targets, node) != targets.end())
                continue;
            targets.push_back(node);
        }
    };
    take_rest();
    if (targets.size() >= limit)
        return;
    // A shuffled rotation contacts each peer within two rotations, which bounds the time
    // to detect a failed one; independent random choices would not.
    rotation.clear();
    for (const auto& [node, item] : this->peers)
        rotation.push_back(node);
    std::ranges::shuffle(rotation, this->random);
    take_rest();
}

std::vector<member_entry> membership::choose_others(std::string_view target)
{
    std::vector<member_map::value_type*> known;
    for (auto& entry : this->peers)
    {
        if (entry.second.is_heard() && entry.first != target)
            known.push_back(&entry);
    }
    std::ranges::shuffle(known, this->random);
    // Changes first, those sent least often before others; then the entries with the most
    // recent progress.
    std::ranges::stable_sort(known, [](const auto* a, const auto* b)
                             { return a->second.sends_left > b->second.sends_left; });
    const auto has_change = [](const auto* entry)
    { return entry->second.sends_left > 0; };
    const auto rest = std::ranges::find_if_not(known, has_change);
    std::stable_sort(rest, known.end(),
                     [](const auto* a, const auto* b)
                     { return a->second.last_progress > b->second.last_progress; });
    if (known.size() > max_others)
        known.resize(max_others);
    std::vector<member_entry> result;
    for (member_map::value_type* entry : known)
    {
        member& item = entry->second;
        item.sends_left -= item.sends_left > 0 ? 1 : 0;
        result.push_back({entry->first, item.incarnation, item.counter, item.ready,
                          item.leaving, item.suspected});
    }
    return result;
}

std::vector<leaving_backend> membership::choose_leaving()
{
    std::vector<leaving_backend> result;
    for (auto& [backend, flag] : this->leaving_backends)
    {
        if (result.size() == max_leaving)
            break;
        if (flag.sends_left == 0)
            continue;
        --flag.sends_left;
        result.push_back(backend);
    }
    return result;
}

std::size_t membership::spread_rounds() const
{
    // Each round multiplies the number of informed nodes by up to 1 + fan_out. One round
    // is added because some messages go to nodes that are already informed.
    std::size_t rounds = 1;
    for (std::size_t reached = 1; reached < this->peers.size() + 1; reached *= fan_out)
        ++rounds;
    return rounds;
}

bool membership::counts_for_isolation(const member& item) const
{
    const bool in_region = this->region_zones.empty() || item.listed_as.zone.empty() ||
                           this->region_zones.contains(item.listed_as.zone);
    return in_region && !item.listed_as.peer_address.empty() && !item.leaving &&
           !item.leaves_list;
}

own_health membership::health() const
{
    if (this->is_catching_up)
        return own_health::catching_up;
    // This node counts as heard. A single node, or one of two, is therefore never
    // isolated, and neither is one half of the nodes when it cannot hear the other half.
    std::size_t expected = 1;
    std::size_t heard = 1;
    for (const auto& [node, item] : this->peers)
    {
        if (!this->counts_for_isolation(item))
            continue;
        ++expected;
        // Peers count until they are declared failed, so that an interruption of one or
        // two seconds does not make this node isolated.
        heard += item.is_heard() && (item.live || !item.suspected) ? 1 : 0;
    }
    return 2 * heard < expected ? own_health::isolated : own_health::healthy;
}

std::vector<member_status> membership::members() const
{
    std::vector<member_status> result;
    for (const auto& [node, item] : this->peers)
    {
        member_status status;
        status.id = node;
        status.incarnation = item.incarnation;
        status.address = item.listed_as.address;
        status.peer_address = item.listed_as.peer_address;
        status.zone = item.listed_as.zone;
        // A node without a peer address cannot be heard, so only the list decides.
        const bool is_list_only = item.in_list && item.listed_as.peer_address.empty();
        status.live = (item.live || is_list_only) && !item.leaves_list;
        status.ready = status.live && (is_list_only || item.is_willing());
        result.push_back(std::move(status));
    }
    return result;
}

bool membership::is_live(std::string_view node) const
{
    if (node == this->id)
        return true;
    const auto found = this->peers.find(node);
    return found != this->peers.end() && found->second.live;
}

std::size_t membership::peers_heard() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->peers, [](const auto& entry)
        { return entry.second.is_heard() && !entry.second.suspected; }));
}

bool membership::has_ended(std::string_view node, std::uint64_t process) const
{
    if (node == this->id)
        return process != this->incarnation;
    const auto found = this->peers.find(node);
    if (found == this->peers.end())
    {
        return this->departed.contains(node) ||
               (this->first_list &&
                this->last_list - *this->first_list >= min_list_history);
    }
    const member& item = found->second;
    if (item.direct_incarnation == 0 || item.direct_incarnation == process)
        return false;
    return item.retired.contains(process) || process < item.direct_incarnation;
}

std::size_t membership::rank(std::string_view key) const
{
    const std::uint64_t own_weight = rendezvous_weight(key, this->id);
    std::size_t result = 0;
    for (const member_status& status : this->members())
    {
        if (status.ready && rendezvous_weight(key, status.id) > own_weight)
            ++result;
    }
    return result;
}

bool membership::is_leaving(const leaving_backend& backend) const
{
    return this->leaving_backends.contains(backend);
}

std::vector<membership_event> membership::take_events()
{
    return std::exchange(this->events, {});
}

void membership::record(membership_event::change kind, const std::string& node)
{
    this->events.push_back({kind, node});
}

} // namespace pomelorouter::coordination
