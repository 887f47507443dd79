#include "app/node/completion_limits.hpp"

#include "coordination/limit_share.hpp"
#include "state/error.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <string>
#include <vector>

namespace pomelorouter::app
{

using state::attribute;
using state::error;
using state::error_code;

namespace
{

constexpr std::int64_t max_deadline_ms = 3'600'000;

/// Finds the model of a request; throws if no service offers it, or if several do and the
/// request does not name one.
const state::model_view& find_model(const state::node_view& view,
                                    const transport::http_request& http,
                                    const protocol::completion_request& completion)
{
    const auto header = http.find("X-Service");
    if (header != http.end())
    {
        const auto found =
            view.models.find(std::string(header->value()) + "/" + completion.model);
        if (found != view.models.end())
            return found->second;
        throw error(error_code::not_found, "body#/model",
                    "the service does not offer this model; see /v1/models");
    }
    const state::model_view* only = nullptr;
    for (const auto& [key, model] : view.models)
    {
        if (model.settings->name != completion.model)
            continue;
        if (only != nullptr)
        {
            throw error(error_code::missing_key, "header X-Service",
                        "missing, but several services offer this model");
        }
        only = &model;
    }
    if (only == nullptr)
        throw error(error_code::not_found, "body#/model",
                    "no service offers this model; see /v1/models");
    return *only;
}

state::milliseconds find_deadline(const transport::http_request& http,
                                  const state::attribute_values& attributes)
{
    const auto header = http.find("X-Deadline-Ms");
    if (header == http.end())
        return state::milliseconds(attributes.get(attribute::deadline_ms));
    const std::string_view text = header->value();
    std::int64_t value = 0;
    const auto [end, failure] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    const bool is_whole = failure == std::errc{} && end == text.data() + text.size();
    if (!is_whole || value < 1 || value > max_deadline_ms)
    {
        throw error(error_code::invalid_argument, "header X-Deadline-Ms",
                    "expected an integer number of milliseconds from 1 to " +
                        std::to_string(max_deadline_ms));
    }
    return state::milliseconds(value);
}

std::int64_t unix_seconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::seconds>(now).count();
}

/// This node's share of a limit that applies to all nodes together. 0 means no limit and
/// stays 0.
std::int64_t node_share_of(std::int64_t limit, const state::node_view& view,
                           std::string_view node_id)
{
    if (limit == 0)
        return 0;
    std::vector<std::string_view> ids{node_id};
    for (const state::node_address& node : view.nodes)
    {
        if (node.ready && node.id != node_id)
            ids.push_back(node.id);
    }
    std::sort(ids.begin(), ids.end());
    const auto own = std::find(ids.begin(), ids.end(), node_id) - ids.begin();
    // The view does not contain the demand at other nodes, so the limit is divided
    // evenly.
    const std::vector<std::int64_t> demand(ids.size(), 0);
    // With a limit below the number of nodes the share could be 0, which would mean no
    // limit, so a node always allows at least one request.
    return std::max<std::int64_t>(
        1, coordination::share_of_limit(limit, demand, static_cast<std::size_t>(own)));
}

} // namespace

void resolve_request(completion_state& request, const state::node_view& view,
                     const transport::http_request& http)
{
    if (!view.current_settings)
        throw error(error_code::settings_unknown, "node",
                    "no settings received from the log or a peer yet");
    const state::model_view& model = find_model(view, http, request.completion);
    const std::string& adapter = request.completion.adapter;
    const auto found = model.settings->adapters.find(adapter);
    if (!adapter.empty() && found == model.settings->adapters.end())
        throw error(error_code::not_found, "body#/model",
                    "the model has no such adapter; see /v1/models");
    request.service = model.settings->service;
    request.model_key = model.settings->service + "/" + model.settings->name;
    request.version = model.settings->version;
    request.attributes =
        adapter.empty() ? model.settings->attributes : found->second.attributes;
    request.deadline = request.received + find_deadline(http, request.attributes);
    request.prompt = coordination::prefix_hashes(request.model_key + ":" + adapter,
                                                 request.completion.prompt);
    request.identity.model = request.completion.model;
    request.identity.created_s = unix_seconds();
}

coordination::admission_limits limits_of(const completion_state& request,
                                         const state::node_view& view,
                                         std::string_view node_id)
{
    const auto service = view.current_settings->services.find(request.service);
    const state::attribute_values& outer = service->second.attributes;
    coordination::admission_limits limits;
    limits.service_in_flight =
        node_share_of(outer.get(attribute::max_in_flight), view, node_id);
    limits.model_in_flight =
        node_share_of(request.attributes.get(attribute::max_in_flight), view, node_id);
    limits.max_queue = outer.get(attribute::max_queue);
    limits.max_queue_bytes = outer.get(attribute::max_queue_bytes);
    return limits;
}

void clear_not_resident(completion_state& request)
{
    std::erase_if(request.tried,
                  [&request](coordination::engine_slot slot)
                  {
                      return std::find(request.not_resident.begin(),
                                       request.not_resident.end(),
                                       slot) != request.not_resident.end();
                  });
    request.not_resident.clear();
}

} // namespace pomelorouter::app
