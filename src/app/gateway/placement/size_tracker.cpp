#include "app/gateway/placement/size_tracker.hpp"

namespace pomelorouter::app
{

using state::now;

namespace
{

constexpr state::milliseconds track_period{1000};

} // namespace

void size_tracker::track()
{
    const auto& routes = this->shared.routes;
    if (routes == nullptr ||
        (routes == this->tracked_routes && now() - this->tracked_at < track_period))
        return;
    this->tracked_routes = routes;
    this->tracked_at = now();
    for (const auto& [id, backend] : this->shared.directory.all())
        this->observe(backend->entry, backend->entry.models);
    this->sizes.forget_old(now());
}

coordination::held_sizes::size_map
size_tracker::sizes_of(const state::backend_entry& entry,
                       const std::vector<state::loaded_model>& models)
{
    this->observe(entry, models);
    return this->sizes.sizes_of(entry.id);
}

void size_tracker::on_load(const state::backend_entry& entry,
                           const state::hosted_model& model)
{
    this->sizes.on_load(now(), entry.id, model.name, {model.weight_mb, model.adapter_mb});
}

void size_tracker::observe(const state::backend_entry& entry,
                           const std::vector<state::loaded_model>& models)
{
    const auto& routes = this->shared.routes;
    const state::gateway_service* const service =
        routes->config().find_service(entry.service);
    coordination::held_sizes::profile_ptr profile;
    if (service != nullptr && service->engine)
        profile = {routes, &*service->engine};
    this->sizes.observe(now(), entry.id, entry.incarnation, models, profile);
}

} // namespace pomelorouter::app
