#pragma once

#include "coordination/backend_crash.hpp"
#include "coordination/recent_answers.hpp"
#include "protocol/gateway_heartbeat.hpp"
#include "state/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace pomelorouter::coordination
{

/// A crash that a part may have caused: a request with the part was waiting for the begin
/// of its answer.
struct part_crash
{
    std::string process;
    state::time_point crashed_at{};
    /// When the last of these requests was sent.
    state::time_point sent_at{};
};

/// Why requests with a part are refused, for log lines and messages to callers.
struct quarantined_part
{
    part_key key;
    /// Number of the quarantine; each is longer than the one before.
    int round = 0;
    state::time_point until{};
    /// The backend servers' processes that crashed.
    std::vector<std::string> processes;
};

/// Returns the length of the quarantine with this number.
state::seconds quarantine_length(int round);

/// Says which part is quarantined and which processes crashed.
std::string to_string(const quarantined_part& part);

/// Finds the prompt part that crashes backend servers, and keeps requests with it from
/// being sent.
///
/// A part is suspected after a crash until some backend server begins to answer a request
/// with it. It is quarantined after successive crashes for which no better explanation is
/// left. When the quarantine ends, one gateway sends single requests with the part to
/// find out whether it still crashes backend servers. Gateways exchange their
/// observations, so that crashes and answers seen by different gateways count together.
/// The last part of a prompt, which belongs to the request or to its session, is
/// suspected of the crashes for which no part is suspected that other requests share.
class prompt_quarantine
{
public:
    /// Records a crash as the cause of which the parts of its unanswered calls are
    /// suspected. Returns whether it was new evidence.
    bool on_crash(state::time_point now, const backend_crash& crash);
    /// Records that a backend server has begun to answer a request with `parts`, which
    /// clears them of suspicion.
    void on_answer(state::time_point now, const std::string& service,
                   const std::vector<std::uint64_t>& parts);
    /// Records that a request with `parts` is sent.
    void on_sent(state::time_point now, const std::string& service,
                 const std::vector<std::uint64_t>& parts);

    /// Returns the part for which a request must not be sent now. `may_try` allows the
    /// single requests after the end of a quarantine.
    std::optional<quarantined_part> find(state::time_point now,
                                         const std::string& service,
                                         const std::vector<std::uint64_t>& parts,
                                         bool may_try) const;

    /// Returns the observations for other gateways; bounded.
    std::vector<protocol::suspect_part> reports(state::time_point now) const;
    /// Adds the observations of another gateway. Returns whether other gateways should
    /// learn of them at once.
    bool merge(state::time_point now,
               const std::vector<protocol::suspect_part>& reported);

    /// Decides which part is quarantined, and drops what is too old.
    void tick(state::time_point now);

    /// Return the quarantines that began and those that ended with a successful trial
    /// since the last call.
    std::vector<quarantined_part> take_quarantined();
    std::vector<part_key> take_released();
    std::size_t quarantined_parts() const;
    /// Number of parts that were answered a moment ago.
    std::size_t answered_parts() const { return this->answers.size(); }
    /// Return all parts that are quarantined, and those whose quarantine has ended.
    std::vector<quarantined_part> quarantined() const;
    std::vector<part_key> released() const;

private:
    struct record
    {
        /// Position of the part in the prompt; parts at the begin are shared by more
        /// requests. `own_part_position` if it was seen as the last part only.
        int position = 0;
        /// Crashes for which the part is still suspected, oldest first.
        std::vector<part_crash> crashes;
        /// Crashes until then were not caused by the part.
        state::time_point cleared_at{};
        int round = 0;
        state::time_point until{};
        bool is_released = false;
        /// When this gateway last sent a request after the end of the quarantine.
        state::time_point tried_at{};

        bool is_quarantined() const { return this->round > 0 && !this->is_released; }
        bool is_own_part() const { return this->position == own_part_position; }
        /// When the last crash or answer was seen.
        state::time_point last_seen() const;
    };
    /// Importance of a record for other gateways, larger first: its kind, the number of
    /// its crashes, and the time of the last observation.
    using record_strength = std::tuple<int, std::size_t, state::time_point>;
    struct suspicion
    {
        part_key key;
        int position = 0;
        state::time_point sent_at{};
    };
    struct evidence
    {
        /// Crashes each of which happened under a request that was sent after the one
        /// before.
        int successive = 0;
        /// Those for which no other part is suspected.
        int unshared = 0;
        state::time_point first{};
    };
    using record_map = std::map<part_key, record>;
    /// Number of shared parts that are suspected of the crash of a service's process.
    using suspect_counts = std::map<std::pair<std::string, std::string>, int>;

    static constexpr int own_part_position = -1;

    /// Returns the record of a part, which it creates if there is room.
    record* find_or_add(state::time_point now, const part_key& key, int position);
    /// Returns the parts that are suspected of a crash, those with a record first.
    std::vector<suspicion> suspicions_of(const backend_crash& crash) const;
    bool suspect(state::time_point now, const backend_crash& crash,
                 const suspicion& item);
    bool add_crash(const part_key& key, record& target, part_crash crash);
    bool is_explained(const part_key& key, const std::string& process) const;
    suspect_counts count_suspects() const;
    static evidence evidence_against(const part_key& key, const record& suspect,
                                     const suspect_counts& suspects);
    bool is_convicted(state::time_point now, const part_key& key,
                      const evidence& found) const;
    /// Whether a last part explains its crashes better than any other last part that is
    /// suspected of some of them.
    bool is_distinct(const part_key& key, const record& suspect, const evidence& found,
                     const suspect_counts& suspects) const;
    void begin_quarantine(const part_key& key, record& target, int round,
                          state::time_point until);
    void clear(state::time_point time, const part_key& key, record& target);
    bool merge(state::time_point now, const part_key& key, record& target,
               const protocol::suspect_part& report);
    void forget_old(state::time_point now);
    static record_strength strength(const record& item);
    static quarantined_part describe(const part_key& key, const record& source);

    record_map records;
    /// Begins of answers, for crashes that are reported late.
    recent_answers answers;
    /// When any answer of a service last began.
    std::map<std::string, state::time_point, std::less<>> service_answers;
    std::vector<quarantined_part> new_quarantines;
    std::vector<part_key> new_releases;
};

} // namespace pomelorouter::coordination
