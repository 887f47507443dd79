#pragma once

#include "app/gateway/process/platform_adapter.hpp"

#include <memory>
#include <string>

namespace pomelorouter::test
{

/// A platform whose store is called at another address than the settings name, as through
/// a relay. Gateways with the same settings then share a store as far as they know, while
/// a test tells their calls apart.
class relayed_store_adapter : public app::platform_adapter
{
public:
    relayed_store_adapter(const app::platform_adapter& platform, std::string address);

    const app::request_dialect& requests() const override
    {
        return this->platform.requests();
    }
    const app::directory_dialect& directory() const override
    {
        return this->platform.directory();
    }
    const app::document_reader& documents() const override
    {
        return this->platform.documents();
    }
    const app::engine_protocol& engines() const override
    {
        return this->platform.engines();
    }
    std::unique_ptr<app::keyed_store>
    make_store(std::string named_address, transport::http_client& client) const override;

private:
    const app::platform_adapter& platform;
    std::string called_address;
};

} // namespace pomelorouter::test
