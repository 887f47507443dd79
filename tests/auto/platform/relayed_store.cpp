#include "relayed_store.hpp"

#include <utility>

namespace pomelorouter::test
{

namespace
{

/// Passes all calls on to a store without eras.
class relayed_store : public app::keyed_store
{
public:
    relayed_store(const std::string& named_address,
                  std::unique_ptr<app::keyed_store> called)
        : keyed_store(named_address), store(std::move(called))
    {
    }

    boost::asio::awaitable<app::keyed_page>
    changes(app::store_topic topic, std::uint64_t from, state::milliseconds wait) override
    {
        return this->store->changes(topic, from, wait);
    }
    boost::asio::awaitable<app::keyed_page> newest(app::store_topic topic) override
    {
        return this->store->newest(topic);
    }
    boost::asio::awaitable<app::append_result>
    append(app::store_topic topic, std::string key, std::string value,
           std::optional<std::uint64_t> expected_end) override
    {
        return this->store->append(topic, std::move(key), std::move(value), expected_end);
    }

private:
    void set_address(const std::string& address) override
    {
        this->store->move_to(address);
    }

    std::unique_ptr<app::keyed_store> store;
};

} // namespace

relayed_store_adapter::relayed_store_adapter(const app::platform_adapter& actual,
                                             std::string address)
    : platform(actual), called_address(std::move(address))
{
}

std::unique_ptr<app::keyed_store>
relayed_store_adapter::make_store(std::string named_address,
                                  transport::http_client& client) const
{
    return std::make_unique<relayed_store>(
        named_address, this->platform.make_store(this->called_address, client));
}

} // namespace pomelorouter::test
