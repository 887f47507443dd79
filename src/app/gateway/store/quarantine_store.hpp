#pragma once

#include "app/gateway/serving/gateway_state.hpp"
#include "app/gateway/store/keyed_store.hpp"
#include "coordination/prompt_quarantine.hpp"
#include "protocol/gateway_heartbeat.hpp"

#include <functional>
#include <string>
#include <vector>

namespace pomelorouter::app
{

/// Keeps the quarantines of prompt parts in the platform's store, for the case that all
/// gateways start again. Running gateways learn of them by heartbeat.
class quarantine_store
{
public:
    using loaded_callback =
        std::function<void(const std::vector<protocol::suspect_part>&)>;
    using decision_callback = std::function<bool()>;

    /// `is_led` tells whether an aggregator reads the store and sends this gateway
    /// heartbeats, `must_wait` whether that is not known yet.
    quarantine_store(gateway_state& gateway, keyed_store& platform_store,
                     decision_callback has_aggregator,
                     decision_callback awaits_aggregator, loaded_callback on_loaded);

    /// Reads the quarantines that have not ended, unless the aggregator does so.
    void start();
    void save(const coordination::quarantined_part& part);
    void remove(const coordination::part_key& key);

private:
    boost::asio::awaitable<void> load();
    boost::asio::awaitable<void> append(std::string key, std::string value);
    /// Returns whether the record is readable and still of use.
    bool read(const keyed_record& record,
              std::vector<protocol::suspect_part>& parts) const;

    gateway_state& shared;
    keyed_store& store;
    decision_callback has_aggregator;
    decision_callback awaits_aggregator;
    loaded_callback loaded;
};

} // namespace pomelorouter::app
