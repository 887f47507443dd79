#include "coordination/random_source.hpp"
#include "coordination/store_lease.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using coordination::lease_append;
using coordination::lease_record;
using coordination::store_lease;
using coordination::store_lease_timing;
using state::milliseconds;
using state::time_point;

/// Simulated lease topic of the store. Records of each era have a key of their own.
struct lease_topic
{
    std::map<std::uint64_t, lease_record> records;
    std::uint64_t end = 0;
    /// Number of returns from an older copy, from 1 on; 0 names no era.
    std::uint64_t era = 0;

    bool append(const lease_append& append, std::uint64_t sender_era = 0)
    {
        if (append.expected_end != this->end)
            return false;
        this->records[sender_era] = append.record;
        ++this->end;
        return true;
    }

    lease_record newest() const
    {
        return this->records.empty() ? lease_record{} : this->records.rbegin()->second;
    }

    void return_to(const lease_topic& copy)
    {
        this->records = copy.records;
        this->end = copy.end;
        ++this->era;
    }
};

struct order
{
    time_point when{};
    int node = 0;
    std::uint64_t epoch = 0;
};

/// An append that the store executes after its sender has timed out.
struct late_append
{
    time_point when{};
    lease_append append;
    std::uint64_t sender_era = 0;
};

struct faults
{
    double lost_share = 0.0;
    double late_share = 0.0;
    double suspend_share = 0.0;
    double down_share = 0.0;
    /// For a store that names its era.
    double return_share = 0.0;
    double restart_share = 0.0;
};

/// Gateways that compete for the lease in virtual time, in steps of 50 ms.
class lease_simulation
{
public:
    lease_simulation(std::uint64_t seed, const faults& wanted_faults,
                     const store_lease_timing& times)
        : random(seed), fault(wanted_faults)
    {
        this->topic.era = this->fault.return_share > 0.0 ? 1 : 0;
        for (int node = 0; node < nodes; ++node)
        {
            this->leases.emplace_back();
            this->eras.push_back(0);
            this->start(node, times);
        }
        this->timing = times;
    }

    void run(state::seconds duration)
    {
        const time_point last = this->now + duration;
        for (; this->now < last; this->now += step)
        {
            this->execute_late_appends();
            this->copy_or_return();
            for (int node = 0; node < nodes; ++node)
            {
                if (this->random.unit() < this->fault.restart_share)
                    this->start(node, this->timing);
                this->run_node(node);
            }
        }
    }

    std::vector<order> orders;
    lease_topic topic;

private:
    static constexpr int nodes = 4;
    static constexpr milliseconds step{50};
    static constexpr std::size_t max_copies = 200;
    static constexpr double heartbeat_share = 0.3;

    void start(int node, const store_lease_timing& times)
    {
        const auto index = static_cast<std::size_t>(node);
        this->leases[index] = std::make_unique<store_lease>(
            "n" + std::to_string(node), ++this->last_incarnation, times);
        this->eras[index] = 0;
    }

    void copy_or_return()
    {
        if (this->topic.era == 0)
            return;
        this->copies.push_back(this->topic);
        if (this->copies.size() > max_copies)
            this->copies.pop_front();
        if (this->random.unit() >= this->fault.return_share)
            return;
        const std::size_t age = this->random.below(this->copies.size());
        this->topic.return_to(this->copies[age]);
        this->copies.clear();
    }

    /// Returns whether the era that the store names is known. If not, the call ends with
    /// an error.
    bool contact(std::size_t index)
    {
        const bool is_known = this->eras[index] == this->topic.era;
        if (!is_known)
            this->leases[index]->on_era(this->now, this->topic.era);
        const bool is_first = std::exchange(this->eras[index], this->topic.era) == 0;
        return is_known || is_first;
    }

    /// Processes the heartbeat of another node.
    void hear(std::size_t index)
    {
        const std::size_t other = this->random.below(nodes);
        if (other == index || this->now < this->suspended_until[other] ||
            this->eras[other] < this->eras[index])
            return;
        store_lease& lease = *this->leases[index];
        lease.on_era(this->now, this->eras[other]);
        this->eras[index] = this->eras[other];
        const store_lease& sender = *this->leases[other];
        lease.on_peer_report(this->now, sender.holder(), sender.epoch(),
                             sender.end_offset());
    }

    void run_node(int node)
    {
        time_point& until = this->suspended_until[static_cast<std::size_t>(node)];
        if (this->now < until)
            return;
        if (this->random.unit() < this->fault.suspend_share)
        {
            until = this->now + milliseconds(500 + this->random.below(8000));
            return;
        }
        store_lease& lease = *this->leases[static_cast<std::size_t>(node)];
        const bool is_down = this->random.unit() < this->fault.down_share;
        const auto index = static_cast<std::size_t>(node);
        if (this->topic.era > 0 && this->random.unit() < heartbeat_share)
            this->hear(index);
        if (lease.needs_read() && !is_down && this->contact(index))
            lease.on_read(this->now, this->topic.newest(), this->topic.end);
        lease_append append;
        if (lease.next_append(this->now, static_cast<std::size_t>(node), true, append))
            this->send(index, append, is_down);
        // The clock of the lease keeps running while the node is suspended, so the check
        // right before the order detects the suspension.
        if (lease.may_issue_orders(this->now))
            this->orders.push_back({this->now, node, lease.epoch()});
    }

    void send(std::size_t index, const lease_append& append, bool is_down)
    {
        store_lease& lease = *this->leases[index];
        const std::uint64_t era = this->eras[index];
        lease.on_sending(this->now);
        const double draw = this->random.unit();
        if (is_down)
        {
            lease.on_append_unknown(this->now);
        }
        else if (draw < this->fault.late_share)
        {
            this->late.push_back(
                {this->now + milliseconds(this->random.below(4000)), append, era});
            lease.on_append_unknown(this->now);
        }
        else if (draw < this->fault.late_share + this->fault.lost_share)
        {
            this->topic.append(append, era);
            lease.on_append_unknown(this->now);
        }
        else
        {
            const bool is_appended = this->topic.append(append, era);
            if (this->contact(index))
                lease.on_append_response(this->now, append, is_appended, this->topic.end);
            else
                lease.on_append_unknown(this->now);
        }
    }

    void execute_late_appends()
    {
        for (auto item = this->late.begin(); item != this->late.end();)
        {
            if (this->now < item->when)
            {
                ++item;
                continue;
            }
            this->topic.append(item->append, item->sender_era);
            item = this->late.erase(item);
        }
    }

    coordination::random_source random;
    faults fault;
    time_point now{state::seconds(1000)};
    std::vector<std::unique_ptr<store_lease>> leases;
    std::vector<std::uint64_t> eras;
    std::uint64_t last_incarnation = 0;
    store_lease_timing timing;
    std::deque<lease_topic> copies;
    std::array<time_point, nodes> suspended_until{};
    std::deque<late_append> late;
};

} // namespace

// Guards against two gateways that send orders to the same engine within the separation
// time, and against an epoch that is used by two gateways or decreases.
TEST_CASE("orders of different holders keep the separation time, and epochs increase")
{
    struct row
    {
        std::string name;
        faults fault;
    };
    const std::vector<row> rows{
        {"calm", {}},
        {"responses lost", {0.2, 0.0, 0.0, 0.0}},
        {"appends delayed", {0.0, 0.2, 0.0, 0.0}},
        {"suspended", {0.0, 0.0, 0.005, 0.0}},
        {"all", {0.1, 0.1, 0.005, 0.2}},
        {"the store returns from an older copy", {0.0, 0.0, 0.0, 0.0, 0.002, 0.0}},
        {"returns and restarts", {0.0, 0.0, 0.0, 0.0, 0.002, 0.002}},
        {"all, with returns and restarts", {0.1, 0.1, 0.002, 0.1, 0.001, 0.001}},
    };
    const store_lease_timing times;
    for (const row& item : rows)
    {
        for (std::uint64_t seed = 1; seed <= 60; ++seed)
        {
            CAPTURE(item.name);
            CAPTURE(seed);
            lease_simulation simulation(seed, item.fault, times);
            simulation.run(state::seconds(120));
            REQUIRE(simulation.orders.size() > 100);
            for (std::size_t i = 1; i < simulation.orders.size(); ++i)
            {
                const order& before = simulation.orders[i - 1];
                const order& after = simulation.orders[i];
                REQUIRE(after.epoch >= before.epoch);
                if (before.node == after.node)
                    continue;
                REQUIRE(after.epoch > before.epoch);
                REQUIRE(after.when - before.when >= times.separation);
            }
        }
    }
}

// Guards against a fleet without orders after the lease holder has failed.
TEST_CASE("another node takes over the lease of a holder that stopped renewing")
{
    const store_lease_timing times;
    lease_topic topic;
    store_lease first("a", 1, times);
    store_lease second("b", 1, times);
    time_point now{state::seconds(10)};
    first.on_read(now, {}, 0);
    lease_append append;
    REQUIRE(first.next_append(now, 0, true, append));
    first.on_sending(now);
    REQUIRE(topic.append(append));
    first.on_append_response(now, append, true, topic.end);
    CHECK(first.may_issue_orders(now));
    // The second gateway learns of the renewal only from a heartbeat.
    second.on_peer_report(now, "a", first.epoch(), first.end_offset());
    const time_point died = now;
    while (!second.may_issue_orders(now) && now - died < state::seconds(30))
    {
        now += milliseconds(100);
        if (!second.next_append(now, 0, true, append))
            continue;
        second.on_sending(now);
        const bool is_appended = topic.append(append);
        second.on_append_response(now, append, is_appended, topic.end);
    }
    CHECK(now - died >= times.separation);
    CHECK(now - died <= state::seconds(7));
    CHECK_FALSE(first.may_issue_orders(now));
}

// Guards against a holder that continues to issue orders without the store although
// engines do not check tokens, and against one that stops although they do.
TEST_CASE(
    "a holder without responses from the store continues only if engines check tokens")
{
    for (const bool engines_check : {false, true})
    {
        CAPTURE(engines_check);
        store_lease_timing times;
        times.engines_check_tokens = engines_check;
        store_lease lease("a", 1, times);
        time_point now{state::seconds(10)};
        lease.on_read(now, {}, 0);
        lease_append append;
        REQUIRE(lease.next_append(now, 0, true, append));
        lease.on_sending(now);
        lease.on_append_response(now, append, true, 1);
        now += state::seconds(4);
        // After a pause the holder must contact the store before it issues orders.
        CHECK_FALSE(lease.may_issue_orders(now));
        lease.on_append_unknown(now);
        CHECK(lease.may_issue_orders(now) == engines_check);
        lease.on_peer_report(now, "b", 2, 5);
        CHECK_FALSE(lease.may_issue_orders(now));
    }
}

// Guards against several seconds without orders after the holder's instance restarted.
TEST_CASE("a restarted instance claims the lease of its earlier process at once")
{
    store_lease lease("a", 2, {});
    const time_point now{state::seconds(10)};
    lease.on_read(now, {"a", 1, 7, false}, 40);
    CHECK_FALSE(lease.may_issue_orders(now));
    lease_append append;
    REQUIRE(lease.next_append(now, 3, true, append));
    CHECK(append.record.epoch == 8);
    lease.on_sending(now);
    lease.on_append_response(now, append, true, 41);
    CHECK(lease.may_issue_orders(now));
    // Another instance waits until the order window and the margin have passed.
    store_lease other("b", 1, {});
    other.on_read(now, {"a", 1, 7, false}, 40);
    CHECK_FALSE(other.next_append(now + milliseconds(2000), 0, true, append));
    CHECK(other.next_append(now + milliseconds(2500), 0, true, append));
}

// Guards against a lease that keeps the times of the settings at the start.
TEST_CASE("changed times of the lease take effect")
{
    store_lease_timing times;
    times.engines_check_tokens = true;
    store_lease lease("a", 1, times);
    time_point now{state::seconds(10)};
    lease.on_read(now, {}, 0);
    lease_append append;
    REQUIRE(lease.next_append(now, 0, true, append));
    lease.on_sending(now);
    lease.on_append_response(now, append, true, 1);
    now += state::seconds(4);
    lease.on_append_unknown(now);
    CHECK(lease.may_issue_orders(now));
    times.engines_check_tokens = false;
    times.separation = milliseconds(7000);
    lease.set_timing(times);
    CHECK_FALSE(lease.may_issue_orders(now));
    // The next claim, after another holder.
    lease.on_read(now, {"b", 1, 2, false}, 2);
    now += state::seconds(10);
    REQUIRE(lease.next_append(now, 0, true, append));
    lease.on_sending(now);
    lease.on_append_response(now, append, true, 3);
    append.record.may_order = true;
    lease.on_sending(now + milliseconds(6000));
    lease.on_append_response(now + milliseconds(6000), append, true, 4);
    CHECK_FALSE(lease.may_issue_orders(now + milliseconds(6900)));
    CHECK(lease.may_issue_orders(now + milliseconds(7100)));
}

// Guards against fencing tokens that engines have seen from a holder in the earlier
// store.
TEST_CASE("a holder continues above all earlier epochs in another store")
{
    const store_lease_timing times;
    for (const std::uint64_t earlier_era : {0, 3})
    {
        CAPTURE(earlier_era);
        lease_topic topic;
        store_lease lease("a", 1, times);
        time_point now{state::seconds(10)};
        const auto claim = [&]
        {
            lease_append append;
            REQUIRE(lease.next_append(now, 0, true, append));
            lease.on_sending(now);
            const bool is_appended = topic.append(append);
            lease.on_append_response(now, append, is_appended, topic.end);
            CHECK(lease.is_holder());
        };
        lease.on_era(now, earlier_era);
        lease.on_read(now, {}, 0);
        claim();
        // In a later era, another process may have issued orders before.
        while (!lease.may_issue_orders(now))
        {
            REQUIRE(now < time_point{state::seconds(20)});
            now += times.renew;
            claim();
        }
        // Gateways that stay with the earlier store may claim the epochs that follow.
        const std::uint64_t last_claimed = lease.epoch() + 1000;
        // The copy in the new store, of a lower era, has the holder's own record.
        const lease_record copied = topic.newest();
        lease.on_store_moved(now);
        CHECK_FALSE(lease.may_issue_orders(now));
        CHECK(lease.needs_read());
        lease.on_era(now, 1);
        lease.on_read(now, copied, topic.end);
        CHECK_FALSE(lease.is_holder());
        now += milliseconds(100);
        claim();
        CHECK(lease.epoch() > last_claimed);
        // Nobody else can have issued orders meanwhile.
        CHECK(lease.may_issue_orders(now));
    }
}

// Guards against a fleet without orders: engines refuse the tokens of a holder that does
// not know of the earlier store, while it renews its lease without end.
TEST_CASE("a holder with lower epochs than those of the earlier store is replaced")
{
    const store_lease_timing times;
    lease_topic topic;
    store_lease moved("a", 1, times);
    store_lease fresh("b", 1, times);
    time_point now{state::seconds(10)};
    moved.on_read(now, {"a", 1, 500, false}, 1);
    moved.on_store_moved(now);
    fresh.on_read(now, {}, 0);
    lease_append append;
    REQUIRE(fresh.next_append(now, 0, true, append));
    fresh.on_sending(now);
    const bool is_claimed = topic.append(append);
    fresh.on_append_response(now, append, is_claimed, topic.end);
    moved.on_read(now, topic.newest(), topic.end);
    const time_point begin = now;
    while (!moved.is_holder() && now - begin < state::seconds(20))
    {
        now += milliseconds(100);
        for (store_lease* const lease : {&fresh, &moved})
        {
            if (!lease->next_append(now, 0, true, append))
                continue;
            lease->on_sending(now);
            const bool is_appended = topic.append(append);
            lease->on_append_response(now, append, is_appended, topic.end);
        }
        moved.on_peer_report(now, fresh.holder(), fresh.epoch(), fresh.end_offset());
    }
    REQUIRE(moved.is_holder());
    CHECK(moved.epoch() > 500);
    // The other one may issue orders until it learns of the claim.
    CHECK_FALSE(moved.may_issue_orders(now));
}
