#include "protocol/gateway_heartbeat.hpp"

#include "protocol/compact_codec.hpp"
#include "state/enum_table.hpp"
#include "state/error.hpp"

#include <peer_types.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>
#include <utility>

namespace pomelorouter::protocol
{

using state::error;
using state::error_code;

namespace
{

constexpr const char* place = "gateway datagram";

constexpr std::array<state::enum_name<load_scope>, 4> scope_names{{
    {load_scope::none, "none"},
    {load_scope::gateway, "gateway"},
    {load_scope::zone, "zone"},
    {load_scope::others, "others"},
}};

constexpr state::milliseconds longest_period{60000};
constexpr int max_round = 1000000;
constexpr std::int32_t max_gateways = 100000;

template <typename Unsigned, typename Signed>
Unsigned to_unsigned(Signed value)
{
    return static_cast<Unsigned>(value);
}

std::int32_t to_wire_count(std::uint32_t value)
{
    return static_cast<std::int32_t>(value);
}

/// A rate or a duration of another gateway; 0 if it is not a sensible number.
double to_rate(double value)
{
    return std::isfinite(value) && value > 0.0 ? value : 0.0;
}

gen::GatewayMember to_wire(const gateway_member& member)
{
    gen::GatewayMember result;
    result.__set_node(member.node);
    result.__set_incarnation(static_cast<std::int64_t>(member.incarnation));
    result.__set_zone(member.zone);
    result.__set_frontend(member.frontend);
    result.__set_control(member.control);
    result.__set_datagrams(member.datagrams);
    result.__set_ready(member.ready);
    result.__set_capacity(member.capacity);
    return result;
}

gateway_member from_wire(const gen::GatewayMember& member)
{
    return {member.node,    to_unsigned<std::uint64_t>(member.incarnation),
            member.zone,    member.frontend,
            member.control, member.datagrams,
            member.ready,   member.capacity};
}

gen::EngineWeights to_wire(const engine_weights& weights)
{
    gen::EngineWeights result;
    result.__set_engine(weights.engine);
    result.__set_incarnation(weights.incarnation);
    result.__set_orderSequence(weights.order_sequence);
    for (const state::loaded_model& model : weights.models)
    {
        gen::LoadedModel& item = result.models.emplace_back();
        item.__set_model(model.name);
        item.__set_version(model.version);
        item.__set_adapters(model.adapters);
    }
    return result;
}

engine_weights from_wire(const gen::EngineWeights& weights)
{
    engine_weights result{weights.engine, weights.incarnation, weights.orderSequence, {}};
    for (const gen::LoadedModel& model : weights.models)
        result.models.push_back({model.model, model.version, model.adapters});
    return result;
}

std::int32_t to_wire_ms(state::milliseconds value)
{
    constexpr state::milliseconds limit{std::chrono::hours(24)};
    return static_cast<std::int32_t>(std::clamp(value, -limit, limit).count());
}

/// Limits a duration of another gateway, so that sums with it do not overflow.
state::milliseconds from_wire_ms(std::int32_t value)
{
    return state::milliseconds(to_wire_ms(state::milliseconds(value)));
}

state::milliseconds age_from_wire(std::int32_t value)
{
    return std::max(from_wire_ms(value), state::milliseconds(0));
}

gen::SuspectPart to_wire(const suspect_part& suspect)
{
    gen::SuspectPart result;
    result.__set_serviceName(suspect.service);
    result.__set_part(static_cast<std::int64_t>(suspect.part));
    result.__set_position(suspect.position);
    for (const suspected_crash& crash : suspect.crashes)
    {
        gen::SuspectedCrash& item = result.crashes.emplace_back();
        item.__set_process(crash.process);
        item.__set_ageMs(to_wire_ms(crash.age));
        item.__set_waitedMs(to_wire_ms(crash.waited));
    }
    if (suspect.cleared_ago)
        result.__set_clearedAgoMs(to_wire_ms(*suspect.cleared_ago));
    if (suspect.round == 0)
        return result;
    result.__set_round(suspect.round);
    result.__set_remainingMs(to_wire_ms(suspect.remaining));
    result.__set_released(suspect.is_released);
    return result;
}

suspect_part from_wire(const gen::SuspectPart& suspect)
{
    suspect_part result;
    result.service = suspect.serviceName;
    result.part = to_unsigned<std::uint64_t>(suspect.part);
    result.position = suspect.position;
    for (const gen::SuspectedCrash& crash : suspect.crashes)
    {
        if (result.crashes.size() == max_suspected_crashes)
            break;
        result.crashes.push_back(
            {crash.process, age_from_wire(crash.ageMs), age_from_wire(crash.waitedMs)});
    }
    if (suspect.__isset.clearedAgoMs)
        result.cleared_ago = age_from_wire(suspect.clearedAgoMs);
    result.round = suspect.__isset.round ? std::clamp(suspect.round, 0, max_round) : 0;
    result.remaining = from_wire_ms(suspect.remainingMs);
    result.is_released = suspect.__isset.released && suspect.released;
    return result;
}

gen::BackendLimit to_wire(const backend_limit& limit)
{
    gen::BackendLimit result;
    result.__set_backend(limit.backend);
    if (limit.per_s)
        result.__set_perSecond(*limit.per_s);
    result.__set_ageMs(to_wire_ms(limit.age));
    return result;
}

backend_limit from_wire(const gen::BackendLimit& limit)
{
    backend_limit result{limit.backend, std::nullopt, age_from_wire(limit.ageMs)};
    if (limit.__isset.perSecond)
        result.per_s =
            std::isfinite(limit.perSecond) ? std::max(limit.perSecond, 0.0) : 0.0;
    return result;
}

gen::GatewayHeartbeat to_wire(const gateway_heartbeat& heartbeat)
{
    gen::GatewayHeartbeat result;
    result.__set_origin(to_wire(heartbeat.origin));
    result.__set_counter(static_cast<std::int64_t>(heartbeat.counter));
    result.__set_configVersion(heartbeat.config_version);
    gen::LeaseView lease;
    lease.__set_holder(heartbeat.lease.holder);
    lease.__set_epoch(static_cast<std::int64_t>(heartbeat.lease.epoch));
    lease.__set_endOffset(static_cast<std::int64_t>(heartbeat.lease.end_offset));
    result.__set_lease(lease);
    result.__set_scope(static_cast<std::int32_t>(heartbeat.scope));
    result.__set_periodMs(static_cast<std::int32_t>(heartbeat.period.count()));
    for (const backend_load_entry& load : heartbeat.loads)
    {
        gen::BackendLoad& item = result.loads.emplace_back();
        item.__set_backend(load.backend);
        item.__set_active(to_wire_count(load.active));
        item.__set_waitingTokens(to_wire_count(load.waiting_tokens));
        item.__set_longStreams(to_wire_count(load.long_streams));
        item.__set_promptRate(load.prompt_rate);
        if (load.memory_tokens > 0)
            item.__set_memoryTokens(to_wire_count(load.memory_tokens));
        if (load.behind_streams > 0)
            item.__set_behindStreams(to_wire_count(load.behind_streams));
        if (load.urgent_behind_streams > 0)
            item.__set_urgentBehindStreams(to_wire_count(load.urgent_behind_streams));
    }
    for (const weight_rate_entry& rate : heartbeat.rates)
    {
        gen::WeightRate& item = result.rates.emplace_back();
        item.__set_serviceName(rate.service);
        item.__set_model(rate.model);
        item.__set_adapter(rate.adapter);
        item.__set_perSecond(rate.per_s);
        item.__set_tokensPerSecond(rate.tokens_per_s);
        item.__set_usualTokensPerSecond(rate.usual_tokens_per_s);
        item.__set_waiting(to_wire_count(rate.waiting));
        if (rate.queued_tokens > 0)
            item.__set_queuedTokens(to_wire_count(rate.queued_tokens));
        std::vector<std::int32_t> by_rank;
        for (const std::uint32_t tokens : rate.queued_by_rank)
            by_rank.push_back(to_wire_count(tokens));
        while (!by_rank.empty() && by_rank.back() == 0)
            by_rank.pop_back();
        if (!by_rank.empty())
            item.__set_queuedByRank(by_rank);
    }
    for (const engine_weights& weights : heartbeat.weights)
        result.weights.push_back(to_wire(weights));
    for (const leaving_process& process : heartbeat.leaving)
    {
        gen::LeavingBackend& item = result.leaving.emplace_back();
        item.__set_id(process.id);
        item.__set_incarnation(process.incarnation);
    }
    result.__set_aggregator(heartbeat.is_aggregator);
    if (heartbeat.store_era > 0)
        result.__set_storeEra(static_cast<std::int64_t>(heartbeat.store_era));
    if (heartbeat.store_id != 0)
        result.__set_storeId(static_cast<std::int64_t>(heartbeat.store_id));
    if (heartbeat.store_contact)
        result.__set_storeContactMs(to_wire_ms(*heartbeat.store_contact));
    if (!heartbeat.suspects.empty())
    {
        result.__isset.suspects = true;
        for (const suspect_part& suspect : heartbeat.suspects)
            result.suspects.push_back(to_wire(suspect));
    }
    if (!heartbeat.limits.empty())
    {
        result.__isset.limits = true;
        for (const backend_limit& limit : heartbeat.limits)
            result.limits.push_back(to_wire(limit));
    }
    for (const team_usage& usage : heartbeat.teams)
    {
        result.__isset.teams = true;
        gen::TeamUsage& item = result.teams.emplace_back();
        item.__set_team(usage.team);
        item.__set_asked(usage.asked_per_s);
        item.__set_admitted(usage.admitted_per_s);
    }
    if (heartbeat.team_reporters > 0)
        result.__set_teamReporters(static_cast<std::int32_t>(heartbeat.team_reporters));
    for (const service_speed& speed : heartbeat.speeds)
    {
        result.__isset.speeds = true;
        gen::ServiceSpeed& item = result.speeds.emplace_back();
        item.__set_serviceName(speed.service);
        item.__set_promptTokensPerMs(speed.prompt_tokens_per_ms);
        item.__set_stepMs(speed.step_ms);
        item.__set_stepMsPerRequest(speed.step_ms_per_request);
        item.__set_samples(speed.samples);
    }
    if (heartbeat.members.empty())
        return result;
    result.__isset.members = true;
    for (const member_notice& notice : heartbeat.members)
    {
        gen::MemberNotice& item = result.members.emplace_back();
        item.__set_member(to_wire(notice.member));
        item.__set_alive(notice.is_alive);
    }
    return result;
}

load_scope scope_from_wire(const gen::GatewayHeartbeat& heartbeat)
{
    if (!heartbeat.__isset.scope)
        return load_scope::gateway;
    for (const auto& item : scope_names)
    {
        if (static_cast<std::int32_t>(item.value) == heartbeat.scope)
            return item.value;
    }
    // A newer sender may use a scope that this version does not know. Its counts cannot
    // be added up then.
    return load_scope::none;
}

gateway_heartbeat from_wire(const gen::GatewayHeartbeat& heartbeat)
{
    gateway_heartbeat result;
    result.origin = from_wire(heartbeat.origin);
    result.counter = to_unsigned<std::uint64_t>(heartbeat.counter);
    result.config_version = heartbeat.configVersion;
    result.lease = {heartbeat.lease.holder,
                    to_unsigned<std::uint64_t>(heartbeat.lease.epoch),
                    to_unsigned<std::uint64_t>(heartbeat.lease.endOffset)};
    result.scope = scope_from_wire(heartbeat);
    if (heartbeat.__isset.periodMs)
    {
        result.period = std::clamp(state::milliseconds(heartbeat.periodMs),
                                   state::milliseconds(1), longest_period);
    }
    for (const gen::BackendLoad& load : heartbeat.loads)
    {
        result.loads.push_back({load.backend, to_unsigned<std::uint32_t>(load.active),
                                to_unsigned<std::uint32_t>(load.waitingTokens),
                                to_unsigned<std::uint32_t>(load.longStreams),
                                load.promptRate,
                                to_unsigned<std::uint32_t>(load.memoryTokens),
                                to_unsigned<std::uint32_t>(load.behindStreams),
                                to_unsigned<std::uint32_t>(load.urgentBehindStreams)});
    }
    for (const gen::WeightRate& rate : heartbeat.rates)
    {
        result.rates.push_back({rate.serviceName,
                                rate.model,
                                rate.adapter,
                                rate.perSecond,
                                rate.tokensPerSecond,
                                rate.usualTokensPerSecond,
                                to_unsigned<std::uint32_t>(rate.waiting),
                                to_unsigned<std::uint32_t>(rate.queuedTokens),
                                {}});
        // Ranks that a newer version may add count among the last.
        for (std::size_t i = 0; i < rate.queuedByRank.size(); ++i)
        {
            result.rates.back().queued_by_rank[std::min(i, queue_ranks - 1)] +=
                to_unsigned<std::uint32_t>(rate.queuedByRank[i]);
        }
    }
    for (const gen::EngineWeights& weights : heartbeat.weights)
        result.weights.push_back(from_wire(weights));
    for (const gen::LeavingBackend& process : heartbeat.leaving)
        result.leaving.push_back({process.id, process.incarnation});
    result.is_aggregator = heartbeat.__isset.aggregator && heartbeat.aggregator;
    for (const gen::SuspectPart& suspect : heartbeat.suspects)
    {
        if (result.suspects.size() == max_suspect_parts)
            break;
        result.suspects.push_back(from_wire(suspect));
    }
    if (heartbeat.__isset.storeEra)
        result.store_era = to_unsigned<std::uint64_t>(heartbeat.storeEra);
    if (heartbeat.__isset.storeId)
        result.store_id = to_unsigned<std::uint64_t>(heartbeat.storeId);
    if (heartbeat.__isset.storeContactMs)
        result.store_contact = age_from_wire(heartbeat.storeContactMs);
    for (const gen::BackendLimit& limit : heartbeat.limits)
    {
        if (result.limits.size() == max_reported_limits)
            break;
        result.limits.push_back(from_wire(limit));
    }
    for (const gen::TeamUsage& usage : heartbeat.teams)
    {
        if (result.teams.size() == max_reported_teams)
            break;
        result.teams.push_back(
            {usage.team, to_rate(usage.asked), to_rate(usage.admitted)});
    }
    if (heartbeat.__isset.teamReporters)
    {
        result.team_reporters = to_unsigned<std::uint32_t>(
            std::clamp(heartbeat.teamReporters, 0, max_gateways));
    }
    for (const gen::ServiceSpeed& speed : heartbeat.speeds)
    {
        if (result.speeds.size() == max_reported_services)
            break;
        result.speeds.push_back({speed.serviceName, to_rate(speed.promptTokensPerMs),
                                 to_rate(speed.stepMs), to_rate(speed.stepMsPerRequest),
                                 to_rate(speed.samples)});
    }
    for (const gen::MemberNotice& notice : heartbeat.members)
        result.members.push_back({from_wire(notice.member), notice.alive});
    return result;
}

void check_size(const std::string& datagram)
{
    if (datagram.size() <= gateway_datagram_max_bytes)
        return;
    throw error(error_code::too_large, place,
                "the encoded heartbeat exceeds " +
                    std::to_string(gateway_datagram_max_bytes) + " bytes");
}

template <typename Entry, typename Compare>
void keep_larger_half(std::vector<Entry>& list, Compare is_larger)
{
    const std::size_t kept = list.size() / 2;
    std::nth_element(list.begin(), list.begin() + static_cast<std::ptrdiff_t>(kept),
                     list.end(), is_larger);
    list.resize(kept);
}

/// Removes part of the lists that later heartbeats repeat. Returns false if they are
/// empty.
bool shorten(gateway_heartbeat& heartbeat)
{
    if (!heartbeat.members.empty())
        heartbeat.members.clear();
    else if (!heartbeat.rates.empty() && heartbeat.rates.size() >= heartbeat.loads.size())
    {
        keep_larger_half(heartbeat.rates,
                         [](const weight_rate_entry& left, const weight_rate_entry& right)
                         {
                             return std::tie(left.waiting, left.queued_tokens,
                                             left.usual_tokens_per_s) >
                                    std::tie(right.waiting, right.queued_tokens,
                                             right.usual_tokens_per_s);
                         });
    }
    else if (!heartbeat.loads.empty())
    {
        keep_larger_half(
            heartbeat.loads,
            [](const backend_load_entry& left, const backend_load_entry& right)
            {
                return std::tie(left.active, left.prompt_rate) >
                       std::tie(right.active, right.prompt_rate);
            });
    }
    else if (!heartbeat.weights.empty())
        heartbeat.weights.resize(heartbeat.weights.size() / 2);
    else
        return false;
    return true;
}

} // namespace

bool is_preferred(const gateway_member& left, const gateway_member& right)
{
    return std::tie(right.capacity, left.node) < std::tie(left.capacity, right.node);
}

std::string_view to_string(load_scope scope)
{
    return name_of(scope_names, scope);
}

std::string encode_gateway_heartbeat(const gateway_heartbeat& heartbeat)
{
    std::string result = internal::encode_compact(to_wire(heartbeat));
    check_size(result);
    return result;
}

std::string encode_within_limit(gateway_heartbeat heartbeat)
{
    std::string result = internal::encode_compact(to_wire(heartbeat));
    while (result.size() > gateway_datagram_max_bytes && shorten(heartbeat))
        result = internal::encode_compact(to_wire(heartbeat));
    check_size(result);
    return result;
}

gateway_heartbeat decode_gateway_heartbeat(std::string_view datagram)
{
    return from_wire(internal::decode_compact<gen::GatewayHeartbeat>(
        datagram, place, gateway_datagram_max_bytes));
}

} // namespace pomelorouter::protocol
