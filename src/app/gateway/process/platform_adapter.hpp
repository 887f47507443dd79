#pragma once

#include "app/gateway/placement/engine_protocol.hpp"
#include "app/gateway/serving/request_dialect.hpp"
#include "app/gateway/store/document_reader.hpp"
#include "app/gateway/store/keyed_store.hpp"
#include "transport/http_client.hpp"

#include <memory>
#include <string>

namespace pomelorouter::app
{

/// How one platform speaks: all implementations that a gateway needs there.
class platform_adapter
{
public:
    virtual ~platform_adapter() = default;

    virtual const request_dialect& requests() const = 0;
    virtual const directory_dialect& directory() const = 0;
    virtual const document_reader& documents() const = 0;
    virtual const engine_protocol& engines() const = 0;
    /// Makes a client of the store at `address`, which uses `client` for its calls.
    virtual std::unique_ptr<keyed_store>
    make_store(std::string address, transport::http_client& client) const = 0;
};

} // namespace pomelorouter::app
