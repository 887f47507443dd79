#include "app/node/membership_component.hpp"

#include "transport/thread_timer_service.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>
#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <vector>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using state::milliseconds;
using state::time_point;

/// Records the requests of a node to the platform.
class recorded_platform : public app::platform_port
{
public:
    void append(std::string /*stream*/, std::string data,
                app::append_callback /*done*/) override
    {
        this->appended.push_back(std::move(data));
    }
    void follow(std::string /*stream*/, std::uint64_t from) override
    {
        this->position = from;
    }

    std::vector<std::string> appended;
    std::uint64_t position = 0;
};

/// Records the messages of a node to its peers.
class recorded_peers : public transport::peer_sender
{
public:
    void send(std::string address, protocol::peer_envelope envelope) override
    {
        this->sent.emplace_back(std::move(address), std::move(envelope));
    }
    void answer(std::uint64_t /*connection*/, protocol::peer_envelope envelope) override
    {
        this->answers.push_back(std::move(envelope));
    }

    std::vector<std::pair<std::string, protocol::peer_envelope>> sent;
    std::vector<protocol::peer_envelope> answers;
};

struct node
{
    explicit node(const std::string& id)
        : identity{id, 1, "hn-1", id + ":80", id + ":7000"},
          events(id, 1, 64),
          loop(context.get_executor(), timers, counters),
          settings(identity, loop, platform, events, counters),
          members(identity, loop, settings, peers, events, 3)
    {
    }

    void read(std::uint64_t first, const std::vector<std::string>& records)
    {
        app::stream_page event;
        event.stream = "settings";
        event.page.first = first;
        event.page.next = first + records.size();
        for (std::size_t i = 0; i < records.size(); ++i)
            event.page.records.push_back({first + i, records[i]});
        this->settings.on_page(event);
        this->members.on_page(event);
    }

    void receive(const protocol::peer_envelope& envelope, bool needs_answer)
    {
        app::peer_received event;
        event.delivery.needs_answer = needs_answer;
        event.delivery.envelope = envelope;
        this->members.on_peer(event);
    }

    /// Sends this node's heartbeat to `other` and delivers the messages that result from
    /// it.
    void talk_to(node& other)
    {
        this->members.on_tick(std::chrono::steady_clock::now());
        protocol::heartbeat message;
        message.origin = {this->identity.id, 1, ++this->counter, true, false, false};
        message.settings_offset = this->settings.fold().next_offset();
        message.settings_version = this->settings.fold().version();
        message.peer_address = this->identity.peer_address;
        other.receive({this->identity.id, message}, true);
        for (const auto& [address, envelope] : std::exchange(other.peers.sent, {}))
        {
            if (address == this->identity.peer_address)
                this->receive(envelope, true);
        }
        for (const auto& envelope : std::exchange(this->peers.answers, {}))
            other.receive(envelope, false);
        other.peers.answers.clear();
    }

    state::node_view view()
    {
        state::node_view result;
        this->settings.contribute(result);
        this->members.contribute(result);
        return result;
    }

    app::node_identity identity;
    boost::asio::io_context context;
    transport::thread_timer_service timers;
    state::counter_registry counters;
    state::event_log events;
    recorded_platform platform;
    recorded_peers peers;
    app::control_loop loop;
    app::settings_component settings;
    app::membership_component members;
    std::uint64_t counter = 0;
};

std::string proposal(const std::string& id, std::uint64_t base,
                     const std::string& service)
{
    protocol::settings_proposal record;
    record.id = id;
    record.base_version = base;
    record.tree = boost::json::parse(
        R"({"attributes":{"snapshot_records":5},"services":{")" + service + R"(":{}}})");
    return protocol::format_settings_record(record);
}

} // namespace

// Guards against a node that starts during an outage of the log and never becomes ready.
TEST_CASE("a node that cannot read the log gets the settings from a peer immediately")
{
    node known("node-1");
    node starting("node-2");
    known.read(0, {proposal("a", 0, "ledger"), proposal("b", 1, "assistants")});
    CHECK(starting.view().ready == state::readiness::settings_unknown);
    known.talk_to(starting);
    CHECK(starting.settings.fold().version() == 2);
    CHECK(starting.view().ready == state::readiness::ready);
    CHECK(starting.view().current_settings->services.contains("assistants"));
    CHECK(starting.platform.position == 2);
    // An older or equal state that a peer sends later must not replace newer settings.
    starting.read(2, {proposal("c", 2, "print")});
    known.talk_to(starting);
    CHECK(starting.settings.fold().version() == 3);
}

// Guards against settings that revert to an older version, and against unreadable state
// from a peer.
TEST_CASE("an older or malformed state from a peer is not adopted")
{
    node older("node-1");
    node newer("node-2");
    older.read(0, {proposal("a", 0, "ledger")});
    newer.read(0, {proposal("a", 0, "ledger"), proposal("b", 1, "assistants")});
    const protocol::settings_state state{
        protocol::format_settings_record(older.settings.fold().snapshot())};
    newer.receive({"node-1", state}, false);
    newer.receive({"node-1", protocol::settings_state{"{"}}, false);
    newer.receive({"node-1", protocol::settings_state{proposal("x", 2, "print")}}, false);
    CHECK(newer.settings.fold().version() == 2);
    CHECK(newer.settings.fold().next_offset() == 2);
    // A node that is not ahead of the requested offset sends no state.
    older.receive({"node-2", protocol::settings_pull{2}}, true);
    CHECK(older.peers.answers.empty());
}

// Guards against load on the peers when every node pulls each change that the log is
// about to deliver.
TEST_CASE("a node that knows settings waits for the log before it asks a peer")
{
    node ahead("node-1");
    node behind("node-2");
    ahead.read(0, {proposal("a", 0, "ledger"), proposal("b", 1, "assistants")});
    behind.read(0, {proposal("a", 0, "ledger")});
    ahead.talk_to(behind);
    CHECK(behind.settings.fold().version() == 1);
}

// Guards against records that expire from the log without a usable snapshot of them.
TEST_CASE("a new reader restores the settings from an appended snapshot")
{
    node writer("node-1");
    std::vector<std::string> records;
    for (std::uint64_t i = 0; i < 5; ++i)
        records.push_back(proposal("p" + std::to_string(i), i, "s" + std::to_string(i)));
    writer.read(0, records);
    writer.settings.on_tick(std::chrono::steady_clock::now());
    REQUIRE(writer.platform.appended.size() == 1);
    writer.settings.on_tick(std::chrono::steady_clock::now());
    CHECK(writer.platform.appended.size() == 1);
    node reader("node-2");
    app::stream_truncated truncated;
    truncated.stream = "settings";
    truncated.first = 5;
    reader.settings.on_truncated(truncated);
    CHECK(reader.view().ready == state::readiness::settings_unknown);
    reader.read(5, writer.platform.appended);
    CHECK(reader.settings.fold().version() == 5);
    CHECK(reader.view().ready == state::readiness::ready);
}

// Guards against a stopping node that is still listed for callers.
TEST_CASE("a leaving node is not ready and notifies its peers immediately")
{
    node leaving("node-1");
    node peer("node-2");
    leaving.read(0, {proposal("a", 0, "ledger")});
    peer.talk_to(leaving);
    leaving.peers.sent.clear();
    leaving.members.announce_leaving();
    REQUIRE(leaving.peers.sent.size() == 1);
    CHECK(leaving.peers.sent[0].first == "node-2:7000");
    CHECK(std::get<protocol::heartbeat>(leaving.peers.sent[0].second.message)
              .origin.leaving);
    CHECK(leaving.view().ready == state::readiness::draining);
    CHECK_FALSE(leaving.view().nodes.front().ready);
}
