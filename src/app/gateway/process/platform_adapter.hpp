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

/// Factory and accessors for the implementations of one platform's interfaces.
class platform_adapter
{
public:
    virtual ~platform_adapter() = default;

    virtual const request_dialect& requests() const = 0;
    virtual const directory_dialect& directory() const = 0;
    virtual const document_reader& documents() const = 0;
    virtual const engine_protocol& engines() const = 0;
    /// Creates a client of the store at `address`. It keeps a reference to `client`.
    virtual std::unique_ptr<keyed_store>
    make_store(std::string address, transport::http_client& client) const = 0;
};

} // namespace pomelorouter::app
