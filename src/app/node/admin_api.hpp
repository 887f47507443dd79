#pragma once

#include "app/node/control_loop.hpp"
#include "app/node/reply_slot.hpp"
#include "app/node/settings_component.hpp"
#include "state/event_log.hpp"
#include "transport/http_server.hpp"

#include <boost/json/value.hpp>

#include <memory>
#include <string>

namespace pomelorouter::app
{

/// Copy of the current settings tree, for a reader on another thread.
struct settings_state
{
    bool known = false;
    std::uint64_t version = 0;
    boost::json::value tree;
};

/// Serves the administration endpoints: settings, status and timeline. Runs on the
/// serving thread.
class admin_api
{
public:
    admin_api(const node_identity& identity, const view_cell& views,
              control_mailbox& control, settings_component& settings,
              const state::event_log& events);

    /// Responds to a request under /admin/. Throws `state::error` if the operation does
    /// not exist, the body is invalid, or the control thread does not reply in time.
    boost::asio::awaitable<void> handle(transport::http_exchange& exchange);

private:
    boost::asio::awaitable<void> get_settings(transport::http_exchange& exchange);
    boost::asio::awaitable<void> post_settings(transport::http_exchange& exchange);
    void request_settings(const std::shared_ptr<reply_slot<settings_state>>& slot);
    boost::asio::awaitable<void> get_history(transport::http_exchange& exchange);
    void request_history(const std::shared_ptr<reply_slot<std::string>>& slot);
    void request_change(const std::string& body,
                        const std::shared_ptr<reply_slot<settings_outcome>>& slot);
    transport::http_response status_response() const;
    transport::http_response timeline_response(std::string_view target) const;

    const node_identity& identity;
    const view_cell& views;
    control_mailbox& control;
    settings_component& settings;
    const state::event_log& events;
};

} // namespace pomelorouter::app
