#include "app/node/service_sender.hpp"
#include "loopback_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using protocol::run_state;
using transport::json_response;
using transport::status;
using transport::verb;

enum class backend_fault
{
    none,
    drops,
    refuses,
    own_error,
    unreachable,
};

std::optional<transport::http_response> answer(backend_fault fault)
{
    switch (fault)
    {
    case backend_fault::drops:
        return std::nullopt;
    case backend_fault::refuses:
        return json_response(status::service_unavailable,
                             R"({"error":{"type":"queue_full"}})");
    case backend_fault::own_error:
        return json_response(status::conflict, R"({"error":{"type":"paid_already"}})");
    default:
        return json_response(status::ok, "{}");
    }
}

void send_once(app::service_sender& sender, boost::asio::io_context& loop,
               const app::service_send& call, app::service_result& result)
{
    loop.restart();
    boost::asio::co_spawn(loop, sender.send(call),
                          [&](std::exception_ptr failure, app::service_result ended)
                          {
                              CHECK(failure == nullptr);
                              result = std::move(ended);
                          });
    loop.run();
}

} // namespace

// Guards against a request that is not idempotent being sent again although the first
// backend server may have run it, and against a refusal with the wrong run state.
TEST_CASE("a request is sent again only if it was not run or is idempotent")
{
    struct row
    {
        verb method;
        backend_fault first;
        backend_fault second;
        int sent_first;
        int sent_second;
        bool answered;
        run_state run;
    };
    using fault = backend_fault;
    const row rows[] = {
        {verb::post, fault::none, fault::none, 1, 0, true, run_state::run},
        {verb::post, fault::drops, fault::none, 1, 0, false, run_state::unknown},
        {verb::post, fault::refuses, fault::none, 1, 1, true, run_state::run},
        {verb::post, fault::own_error, fault::none, 1, 0, true, run_state::run},
        {verb::post, fault::unreachable, fault::none, 0, 1, true, run_state::run},
        {verb::post, fault::unreachable, fault::drops, 0, 1, false, run_state::unknown},
        {verb::post, fault::unreachable, fault::unreachable, 0, 0, false,
         run_state::not_run},
        {verb::get, fault::drops, fault::none, 1, 1, true, run_state::run},
        {verb::get, fault::refuses, fault::none, 1, 1, true, run_state::run},
        {verb::get, fault::unreachable, fault::none, 0, 1, true, run_state::run},
    };
    int number = 0;
    for (const row& item : rows)
    {
        ++number;
        CAPTURE(number);
        test::loopback_server first([&](const auto&) { return answer(item.first); });
        test::loopback_server second([&](const auto&) { return answer(item.second); });
        state::service_settings settings;
        state::service_view service;
        service.settings = &settings;
        auto view = std::make_shared<state::node_view>();
        for (const auto* server : {&first, &second})
        {
            const bool is_first = server == &first;
            state::backend_view backend;
            backend.id = is_first ? "first" : "second";
            const fault kind = is_first ? item.first : item.second;
            backend.address =
                kind == fault::unreachable ? "127.0.0.1:1" : server->address;
            service.backends.push_back(static_cast<std::uint32_t>(view->services.size()));
            view->services.push_back(backend);
        }
        boost::asio::io_context loop(1);
        transport::http_client client(loop.get_executor());
        state::counter_registry counters;
        app::service_sender sender(client, counters);
        transport::http_request request = transport::make_request(item.method, "/x");
        app::service_send call;
        call.view = view;
        call.service = &service;
        call.request = &request;
        call.idempotent = item.method == verb::get;
        call.deadline = std::chrono::steady_clock::now() + state::seconds(30);
        app::service_result result;
        // Earlier requests, which find no backend server, fill the retry budget for one
        // retry.
        service.backends = {1};
        view->services[1].leaving = true;
        for (int i = 0; i < 20; ++i)
            send_once(sender, loop, call, result);
        view->services[1].leaving = false;
        service.backends = {0, 1};
        send_once(sender, loop, call, result);
        CHECK(first.requests == item.sent_first);
        CHECK(second.requests == item.sent_second);
        CHECK(result.response.has_value() == item.answered);
        if (!item.answered)
            CHECK(result.failure.run == item.run);
    }
}

// Guards against retries that multiply the load on backend servers that fail every
// request.
TEST_CASE("the retry budget limits the number of retries")
{
    test::loopback_server server([](const auto&)
                                 { return answer(backend_fault::drops); });
    state::service_settings settings;
    state::service_view service;
    service.settings = &settings;
    service.backends = {0};
    auto view = std::make_shared<state::node_view>();
    view->services.emplace_back().address = server.address;
    boost::asio::io_context loop(1);
    transport::http_client client(loop.get_executor());
    state::counter_registry counters;
    app::service_sender sender(client, counters);
    transport::http_request request = transport::make_request(verb::get, "/x");
    app::service_send call;
    call.view = view;
    call.service = &service;
    call.request = &request;
    call.idempotent = true;
    constexpr int sent = 100;
    for (int i = 0; i < sent; ++i)
    {
        call.deadline = std::chrono::steady_clock::now() + state::seconds(30);
        app::service_result result;
        send_once(sender, loop, call, result);
        CHECK(result.failure.run == run_state::unknown);
    }
    CHECK(server.requests <= sent + sent / 10);
    CHECK(server.requests > sent);
}
