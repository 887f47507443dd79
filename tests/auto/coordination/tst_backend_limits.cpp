#include "coordination/backend_limits.hpp"
#include "coordination/permit_issuer.hpp"
#include "coordination/random_source.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using coordination::backend_limits;
using coordination::permit_issuer;
using state::milliseconds;

constexpr milliseconds tick{10};
constexpr milliseconds settle_time{2000};
constexpr milliseconds window{4000};
/// Longest time until another gateway learns that one became ready or ended.
constexpr int max_notice_ms = 600;

const state::time_point start{std::chrono::hours(1)};

/// Gateways that request permits of one another for one backend server. Each learns at
/// a time of its own which others are ready, and messages are late or lost.
class permit_fleet
{
public:
    permit_fleet(std::size_t gateways, double limit, std::uint64_t seed)
        : limit_per_s(limit), random(seed)
    {
        for (std::size_t index = 0; index < gateways; ++index)
        {
            this->nodes.push_back(std::make_unique<gateway>("g" + std::to_string(index)));
        }
        for (auto& node : this->nodes)
        {
            node->known.assign(gateways, true);
            this->set_gateways(*node);
            node->limits.on_response(start, "e1@1", limit);
        }
    }

    /// Lets each gateway want to send `per_s` requests a second on average. At
    /// `churn_per_s`, a gateway ends or starts again.
    void run(milliseconds duration, double per_s, double churn_per_s)
    {
        const double tick_s = std::chrono::duration<double>(tick).count();
        for (const state::time_point end = this->now + duration; this->now < end;
             this->now += tick)
        {
            if (this->random.unit() < churn_per_s * tick_s)
                this->end_or_start(this->pick());
            this->deliver_notices();
            for (auto& node : this->nodes)
            {
                if (node->is_running && this->random.unit() < per_s * tick_s)
                    ++node->waiting;
                this->send(*node);
            }
            this->deliver();
        }
    }

    /// Largest number of requests in a window that begins `settle_time` after the start.
    std::size_t most_in_window() const
    {
        std::size_t most = 0;
        auto first = this->sent.begin();
        while (first != this->sent.end() && *first < start + settle_time)
            ++first;
        for (auto last = first; last != this->sent.end(); ++last)
        {
            while (*last - *first > window)
                ++first;
            most = std::max(most, static_cast<std::size_t>(last - first) + 1);
        }
        return most;
    }

    std::size_t requests() const { return this->sent.size(); }
    std::size_t messages() const { return this->message_count; }

private:
    struct gateway
    {
        explicit gateway(const std::string& own_name)
            : name(own_name), issuer(std::make_unique<permit_issuer>(own_name))
        {
        }

        std::string name;
        backend_limits limits;
        std::unique_ptr<permit_issuer> issuer;
        std::vector<bool> known;
        bool is_running = true;
        int waiting = 0;
    };
    struct notice
    {
        state::time_point due{};
        std::size_t receiver = 0;
        std::size_t subject = 0;
        bool is_ready = false;
    };
    struct message
    {
        state::time_point due{};
        std::size_t sender = 0;
        std::size_t receiver = 0;
        protocol::permit_request request;
    };

    std::size_t pick()
    {
        return static_cast<std::size_t>(this->random.unit() *
                                        static_cast<double>(this->nodes.size()));
    }

    void end_or_start(std::size_t index)
    {
        gateway& node = *this->nodes[index];
        node.is_running = !node.is_running;
        if (node.is_running)
        {
            node.issuer = std::make_unique<permit_issuer>(node.name);
            this->set_gateways(node);
            node.limits = {};
            node.limits.on_response(this->now, "e1@1", this->limit_per_s);
        }
        for (std::size_t receiver = 0; receiver < this->nodes.size(); ++receiver)
        {
            const milliseconds delay(
                receiver == index
                    ? 0
                    : static_cast<int>(this->random.unit() * max_notice_ms));
            this->notices.push_back(
                {this->now + delay, receiver, index, node.is_running});
        }
    }

    void set_gateways(gateway& node)
    {
        std::vector<std::string> ready;
        for (std::size_t index = 0; index < this->nodes.size(); ++index)
        {
            if (node.known[index])
                ready.push_back(this->nodes[index]->name);
        }
        node.issuer->set_gateways(this->now, std::move(ready));
    }

    void deliver_notices()
    {
        for (auto item = this->notices.begin(); item != this->notices.end();)
        {
            if (this->now < item->due)
            {
                ++item;
                continue;
            }
            gateway& receiver = *this->nodes[item->receiver];
            receiver.known[item->subject] = item->is_ready;
            this->set_gateways(receiver);
            item = this->notices.erase(item);
        }
    }

    void send(gateway& node)
    {
        if (!node.is_running || node.waiting == 0)
            return;
        while (node.waiting > 0 && node.limits.may_send(this->now, "e1@1"))
        {
            node.limits.on_sent(this->now, "e1@1");
            this->sent.push_back(this->now);
            --node.waiting;
        }
        // Callers that get no permit at once are refused.
        if (node.waiting > 0 &&
            node.limits.next_permit(this->now, "e1@1") > this->now + milliseconds(300))
            node.waiting = 0;
        if (node.waiting == 0)
            return;
        node.limits.on_wanted("e1@1", true);
        for (const protocol::permit_request& request :
             node.limits.take_requests(this->now, this->nodes.size()))
        {
            const std::string name = node.issuer->issuer_of("e1@1");
            ++this->message_count;
            const milliseconds delay(1 + static_cast<int>(this->random.unit() * 80.0));
            this->messages_on_way.push_back({this->now + delay, this->index_of(node.name),
                                             this->index_of(name), request});
        }
    }

    std::size_t index_of(const std::string& name) const
    {
        return name.empty() ? 0 : std::stoul(name.substr(1));
    }

    void deliver()
    {
        for (auto item = this->messages_on_way.begin();
             item != this->messages_on_way.end();)
        {
            if (this->now < item->due)
            {
                ++item;
                continue;
            }
            gateway& sender = *this->nodes[item->sender];
            gateway& receiver = *this->nodes[item->receiver];
            const bool is_lost = this->random.unit() < 0.05 || !receiver.is_running;
            protocol::permit_grant grant;
            if (receiver.is_running)
                grant = receiver.issuer->issue(this->now, item->request);
            if (is_lost)
                sender.limits.on_request_failed(this->now, "e1@1");
            else
                sender.limits.on_grant(this->now, "e1@1", grant);
            item = this->messages_on_way.erase(item);
        }
    }

    double limit_per_s;
    coordination::random_source random;
    std::vector<std::unique_ptr<gateway>> nodes;
    std::vector<notice> notices;
    std::vector<message> messages_on_way;
    std::vector<state::time_point> sent;
    std::size_t message_count = 0;
    state::time_point now = start;
};

} // namespace

// Guards against gateways that together exceed a limit, or leave it unused.
TEST_CASE("the gateways keep the limit of a backend server together")
{
    struct row
    {
        const char* name;
        std::size_t gateways;
        double limit;
        double wanted_per_s;
        double churn_per_s;
        double min_used_share;
    };
    const std::vector<row> rows{
        {"one gateway", 1, 1.0, 5.0, 0.0, 0.5},
        {"six gateways", 6, 1.0, 2.0, 0.0, 0.5},
        {"six gateways that end and start", 6, 1.0, 2.0, 0.5, 0.1},
        {"a limit of several requests", 6, 10.0, 10.0, 0.0, 0.5},
        {"a limit of several requests and ends", 6, 10.0, 10.0, 0.5, 0.1},
        {"only some gateways have requests", 60, 2.0, 0.1, 0.0, 0.5},
        {"a limit below the number of gateways", 300, 1.0, 0.2, 0.0, 0.5},
        {"many gateways that end and start", 300, 1.0, 0.2, 2.0, 0.3},
    };
    for (const row& item : rows)
    {
        for (std::uint64_t seed = 1; seed <= 4; ++seed)
        {
            CAPTURE(item.name);
            CAPTURE(seed);
            permit_fleet fleet(item.gateways, item.limit, seed);
            const milliseconds duration{20000};
            fleet.run(duration, item.wanted_per_s, item.churn_per_s);
            const double window_s = std::chrono::duration<double>(window).count();
            const double allowed = 1.5 * item.limit * window_s + 5.0;
            CHECK(static_cast<double>(fleet.most_in_window()) <= allowed);
            const double possible =
                item.limit *
                std::chrono::duration<double>(duration - settle_time).count();
            CHECK(static_cast<double>(fleet.requests()) >=
                  item.min_used_share * possible);
        }
    }
}

// Guards against an agreement that costs more the more gateways there are.
TEST_CASE("gateways that are refused request permits seldom")
{
    permit_fleet fleet(300, 1.0, 1);
    fleet.run(milliseconds(20000), 2.0, 0.0);
    // A gateway sends at most one heartbeat's worth of messages, ten a second.
    CHECK(fleet.messages() <= 300 * 20);
}

// Guards against a limit that is forgotten or lives on after it has ended.
TEST_CASE("the newest response or report decides the limit of a backend server")
{
    backend_limits limits;
    CHECK(!limits.on_response(start, "e1@1", std::nullopt));
    CHECK(limits.may_send(start, "e1@1"));
    CHECK(limits.on_response(start, "e1@1", 2.0));
    CHECK(!limits.may_send(start, "e1@1"));
    CHECK(!limits.on_response(start, "e1@1", 2.05));
    // A report that is older, or hardly newer, than the own response.
    CHECK(limits.merge(start, {{"e1@1", std::nullopt, milliseconds(0)}}).empty());
    const state::time_point later = start + milliseconds(1000);
    CHECK(limits.merge(later, {{"e1@1", 5.0, milliseconds(900)}}).empty());
    CHECK(limits.merge(later, {{"e1@1", std::nullopt, milliseconds(100)}}).size() == 1);
    CHECK(limits.may_send(later, "e1@1"));
    // Another process under the same id has no limit.
    CHECK(limits.on_response(later, "e1@1", 1.0));
    CHECK(limits.may_send(later, "e1@2"));
    const state::time_point much_later = later + std::chrono::minutes(5);
    limits.forget_old(much_later, [](std::string_view) { return true; });
    CHECK(!limits.may_send(much_later, "e1@1"));
    limits.forget_old(much_later, [](std::string_view) { return false; });
    CHECK(limits.may_send(much_later, "e1@1"));
}

// Guards against permits that are used long after the issuer has counted them.
TEST_CASE("an unused permit expires")
{
    backend_limits limits;
    limits.on_response(start, "e1@1", 1.0);
    limits.on_wanted("e1@1", true);
    REQUIRE(limits.take_requests(start, 1).size() == 1);
    CHECK(limits.take_requests(start, 1).empty());
    limits.on_grant(start, "e1@1", {1, milliseconds(0)});
    CHECK(limits.may_send(start, "e1@1"));
    CHECK(!limits.may_send(start + milliseconds(500), "e1@1"));
    limits.on_grant(start, "e1@1", {1, milliseconds(0)});
    limits.on_sent(start, "e1@1");
    CHECK(!limits.may_send(start, "e1@1"));
}

// Guards against two gateways that issue permits for one backend server in turn.
TEST_CASE("a new issuer waits before it issues permits")
{
    permit_issuer issuer("g1");
    const protocol::permit_request request{"e1@1", 100.0, 1, true};
    CHECK(issuer.issuer_of("e1@1").empty());
    CHECK(issuer.issue(start, request).count == 0);
    issuer.set_gateways(start, {"g1"});
    CHECK(issuer.issuer_of("e1@1") == "g1");
    state::time_point now = start + milliseconds(100);
    CHECK(issuer.issue(now, request).count == 0);
    now = start + milliseconds(3000);
    issuer.set_gateways(now, {"g1"});
    issuer.issue(now, request);
    now += milliseconds(100);
    CHECK(issuer.issue(now, request).count == 1);
}
