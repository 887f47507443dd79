#include "app/node/completion_proxy.hpp"

#include "app/node/refuse.hpp"
#include "protocol/engine_api.hpp"
#include "protocol/sse_parser.hpp"
#include "state/error.hpp"
#include "state/log.hpp"
#include "transport/http_error.hpp"

#include <algorithm>
#include <chrono>
#include <optional>
#include <string_view>
#include <utility>

namespace pomelorouter::app
{

namespace asio = boost::asio;
using protocol::completion_form;
using protocol::run_state;
using state::attribute;
using state::error;
using state::error_code;
using transport::status;
using transport::verb;

namespace
{

constexpr std::size_t max_attempts = 8;
constexpr std::string_view done_event = "[DONE]";
constexpr state::milliseconds default_retry_after{1000};

std::int64_t unix_seconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::seconds>(now).count();
}

/// Finds the model of a request; throws if no service offers it.
const state::model_view& find_model(const state::node_view& view,
                                    const transport::http_request& request,
                                    const protocol::completion_request& completion)
{
    const auto header = request.find("X-Service");
    if (header != request.end())
    {
        const auto found =
            view.models.find(std::string(header->value()) + "/" + completion.model);
        if (found != view.models.end())
            return found->second;
        throw error(error_code::not_found, "body#/model",
                    "a model that the service offers; see /v1/models");
    }
    const state::model_view* only = nullptr;
    for (const auto& [key, model] : view.models)
    {
        if (model.settings->name != completion.model)
            continue;
        if (only != nullptr)
        {
            throw error(error_code::missing_key, "header X-Service",
                        "several services offer this model");
        }
        only = &model;
    }
    if (only == nullptr)
        throw error(error_code::not_found, "body#/model", "a model listed by /v1/models");
    return *only;
}

} // namespace

/// What is known of one request while it is served.
struct completion_proxy::request_state
{
    protocol::completion_request completion;
    protocol::completion_identity identity;
    std::string service;
    std::string version;
    state::attribute_values attributes;
    /// Number of tokens already delivered to the caller; the next index expected.
    std::int64_t delivered = 0;
    /// Whether a byte of the request may have reached an engine that did not refuse it.
    bool may_have_run = false;
    std::string finish_reason;
    std::vector<std::string> tried;
};

/// Collects or streams the tokens for the caller.
class completion_proxy::caller_output
{
public:
    caller_output(transport::http_exchange& caller, const request_state& request_ref)
        : exchange(caller), request(request_ref)
    {
    }

    asio::awaitable<void> token(const std::string& text)
    {
        if (!this->request.completion.stream)
        {
            this->collected += text;
            co_return;
        }
        co_await this->begin();
        co_await this->exchange.write_piece(
            protocol::format_completion_event(this->request.identity, text, {}));
    }

    asio::awaitable<void> finish()
    {
        if (this->request.completion.stream)
        {
            co_await this->begin();
            co_await this->exchange.write_piece(
                protocol::format_completion_event(this->request.identity, {},
                                                  this->request.finish_reason) +
                "data: [DONE]\n\n");
            co_await this->exchange.end_stream();
            co_return;
        }
        const auto prompt_words = static_cast<std::int64_t>(
            std::count(this->request.completion.prompt.begin(),
                       this->request.completion.prompt.end(), ' ') +
            1);
        co_await this->exchange.respond(transport::json_response(
            status::ok, protocol::format_completion(
                            this->request.identity, this->collected, prompt_words,
                            this->request.delivered, this->request.finish_reason)));
    }

    /// Ends a stream that has begun with an error event, or refuses the request.
    asio::awaitable<void> fail(const protocol::refusal& refusal)
    {
        if (!this->exchange.has_responded())
        {
            co_await refuse(this->exchange, refusal);
            co_return;
        }
        co_await this->exchange.write_piece("event: error\ndata: " + refusal.to_json() +
                                            "\n\n");
        co_await this->exchange.end_stream();
    }

private:
    asio::awaitable<void> begin()
    {
        if (this->exchange.has_responded())
            co_return;
        transport::http_response head(status::ok, 11);
        head.set(transport::field::content_type, "text/event-stream");
        head.set(transport::field::cache_control, "no-cache");
        co_await this->exchange.begin_stream(std::move(head));
    }

    transport::http_exchange& exchange;
    const request_state& request;
    std::string collected;
};

completion_proxy::completion_proxy(const view_cell& view_source,
                                   transport::http_client& http,
                                   state::counter_registry& counters)
    : views(view_source),
      client(http),
      completions(counters.count("completions_total", "completions fully delivered")),
      tokens(counters.count("completion_tokens_total", "tokens delivered to callers")),
      resumed(counters.count("completion_attempts_failed_total",
                             "attempts on an engine that ended before the last token")),
      refused(
          counters.count("completions_refused_total", "completions refused or given up")),
      wrong_chunks(counters.count("completion_wrong_chunks_total",
                                  "chunks of another request or at a wrong index"))
{
}

asio::awaitable<void> completion_proxy::handle(transport::http_exchange& exchange,
                                               completion_form form)
{
    request_state request;
    request.completion =
        protocol::parse_completion_request(exchange.request().body(), form);
    const auto view = this->views.load();
    if (!view->current_settings)
        throw error(error_code::settings_unknown, "node",
                    "settings from the log or a peer");
    const state::model_view& model =
        find_model(*view, exchange.request(), request.completion);
    request.service = model.settings->service;
    request.version = model.settings->version;
    request.attributes = model.settings->attributes;
    request.identity.id = this->ids.next();
    request.identity.model = request.completion.model;
    request.identity.created_s = unix_seconds();
    request.identity.form = form;

    caller_output output(exchange, request);
    while (request.tried.size() < max_attempts)
    {
        const auto current = this->views.load();
        const state::backend_view* engine = this->choose(*current, request);
        if (engine == nullptr)
            break;
        request.tried.push_back(engine->id);
        const attempt_result result = co_await this->attempt(request, *engine, output);
        if (result == attempt_result::finished)
        {
            this->completions.add();
            co_return;
        }
        this->resumed.add();
    }
    this->refused.add();
    protocol::refusal refusal(error(error_code::no_backend_server,
                                    request.completion.model, "an engine that answers"));
    refusal.run = request.may_have_run ? run_state::unknown : run_state::not_run;
    refusal.retry_after = default_retry_after;
    co_await output.fail(refusal);
}

asio::awaitable<completion_proxy::attempt_result>
completion_proxy::attempt(request_state& request, const state::backend_view& engine,
                          caller_output& output)
{
    protocol::engine_completion body;
    body.model = request.completion.model;
    body.version = request.version;
    body.adapter = request.completion.adapter;
    body.prompt = request.completion.prompt;
    body.max_tokens = request.completion.max_tokens;
    body.resume_from = request.delivered;
    body.priority = request.attributes.get(attribute::priority);
    transport::http_request http = transport::make_request(
        verb::post, "/v1/completions", protocol::format_engine_completion(body));
    http.set("X-Request-Id", request.identity.id);
    transport::http_call_options options;
    options.connect_timeout =
        state::milliseconds(request.attributes.get(attribute::connect_timeout_ms));
    options.progress_timeout =
        state::milliseconds(request.attributes.get(attribute::progress_timeout_ms));
    const std::string address = engine.address;
    try
    {
        const auto call = co_await this->client.open(address, http, options);
        if (call->head().result() != status::ok)
        {
            co_await call->read_all();
            co_return attempt_result::refused;
        }
        request.may_have_run = true;
        if (!co_await this->forward_chunks(request, *call, output))
            co_return attempt_result::failed;
    }
    catch (const transport::http_error& failure)
    {
        request.may_have_run = request.may_have_run || failure.request_may_have_left();
        if (failure.code() == error_code::timed_out)
            this->client.forget(address);
        state::log_event(state::log_level::warning, "attempt_failed")
            .field("request", request.identity.id)
            .field("engine", engine.id)
            .field("error", failure.what());
        co_return attempt_result::failed;
    }
    co_await output.finish();
    co_return attempt_result::finished;
}

asio::awaitable<bool> completion_proxy::forward_chunks(request_state& request,
                                                       transport::http_call& call,
                                                       caller_output& output)
{
    protocol::sse_parser parser;
    while (auto piece = co_await call.read_some())
    {
        parser.feed(*piece);
        while (auto data = parser.next())
        {
            if (*data == done_event)
                continue;
            const protocol::engine_chunk chunk = protocol::parse_engine_chunk(*data);
            if (chunk.id != request.identity.id || chunk.index > request.delivered)
            {
                this->wrong_chunks.add();
                co_return false;
            }
            if (!chunk.finish_reason.empty() && chunk.index == request.delivered)
            {
                request.finish_reason = chunk.finish_reason;
                continue;
            }
            if (chunk.index < request.delivered)
                continue; // delivered already by an earlier attempt
            ++request.delivered;
            this->tokens.add();
            co_await output.token(chunk.text);
        }
    }
    co_return !request.finish_reason.empty();
}

const state::backend_view* completion_proxy::choose(const state::node_view& view,
                                                    const request_state& request)
{
    const auto model = view.models.find(request.service + "/" + request.completion.model);
    if (model == view.models.end())
        return nullptr;
    const state::replica_set* replicas = &model->second.replicas;
    if (!request.completion.adapter.empty())
    {
        const auto adapter = model->second.adapters.find(request.completion.adapter);
        if (adapter == model->second.adapters.end())
            return nullptr;
        replicas = &adapter->second;
    }
    const std::size_t count = replicas->engines.size();
    for (std::size_t step = 0; step < count; ++step)
    {
        const auto& engine =
            view.engines[replicas->engines[(this->rotation + step) % count]];
        const bool was_tried = std::find(request.tried.begin(), request.tried.end(),
                                         engine.id) != request.tried.end();
        if (engine.leaving || was_tried)
            continue;
        ++this->rotation;
        return &engine;
    }
    return nullptr;
}

} // namespace pomelorouter::app
