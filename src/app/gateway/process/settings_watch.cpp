#include "app/gateway/process/settings_watch.hpp"

#include "state/error.hpp"
#include "state/json_reader.hpp"
#include "state/log.hpp"
#include "state/process_settings.hpp"

#include <array>
#include <memory>
#include <utility>

namespace pomelorouter::app
{

namespace
{

using state::gateway_settings;

/// A field that is kept for the life of the process: it names the process to others, or
/// sockets and tables were made with it.
struct fixed_field
{
    const char* name;
    bool (*differs)(const gateway_settings&, const gateway_settings&);
    void (*copy)(const gateway_settings& from, gateway_settings& to);
};

template <auto Member>
constexpr fixed_field make_fixed(const char* name)
{
    return {name,
            [](const gateway_settings& first, const gateway_settings& second)
            { return first.*Member != second.*Member; },
            [](const gateway_settings& from, gateway_settings& to)
            { to.*Member = from.*Member; }};
}

constexpr std::array fixed_fields{
    make_fixed<&gateway_settings::node_id>("node_id"),
    make_fixed<&gateway_settings::zone>("zone"),
    make_fixed<&gateway_settings::listen>("listen"),
    make_fixed<&gateway_settings::readiness_listen>("readiness_listen"),
    make_fixed<&gateway_settings::directory_listen>("directory_listen"),
    make_fixed<&gateway_settings::control_listen>("control_listen"),
    make_fixed<&gateway_settings::peer_listen>("peer_listen"),
    make_fixed<&gateway_settings::metrics_listen>("metrics_listen"),
    make_fixed<&gateway_settings::processor_share>("processor_share"),
    make_fixed<&gateway_settings::link_mbit_per_s>("link_mbit_per_s"),
    make_fixed<&gateway_settings::memory_limit_mb>("memory_limit_mb"),
    make_fixed<&gateway_settings::descriptor_limit>("descriptor_limit"),
};

} // namespace

settings_watch::settings_watch(std::string settings_path,
                               state::gateway_settings_ptr& settings,
                               state::counter_registry& counters,
                               change_callback on_changed)
    : path(std::move(settings_path)),
      current(settings),
      in_file(*settings),
      changed(std::move(on_changed)),
      reloads(counters.count("settings_reloads_total",
                             "times that the settings file was read and applied")),
      refusals(counters.count("settings_refused_total",
                              "changes of the settings file that were refused, since it "
                              "is invalid or a restart is needed"))
{
    this->last_text = state::read_file(this->path);
}

void settings_watch::reload_if_changed()
{
    // Compares the content: the file is small, and its modification time may be older
    // than the last read after a clock step.
    try
    {
        if (state::read_file(this->path) != this->last_text)
            this->reload();
    }
    catch (const state::error&)
    {
        // The file may be missing while it is being replaced; the next check reads it.
    }
}

void settings_watch::reload()
{
    try
    {
        // Kept also if it is refused, so that the same text is refused once.
        this->last_text = state::read_file(this->path);
        this->apply(state::read_gateway_settings(
            state::parse_json(this->last_text, this->path), this->path));
    }
    catch (const state::error& failure)
    {
        this->refuse("", failure.what());
    }
}

void settings_watch::apply(state::gateway_settings next)
{
    std::string refused;
    for (const fixed_field& field : fixed_fields)
    {
        if (field.differs(next, this->in_file))
            refused += (refused.empty() ? "" : ",") + std::string(field.name);
    }
    if (!refused.empty())
    {
        this->refuse(refused, "a restart is needed for these fields; no field of the "
                              "file was applied");
        return;
    }
    this->in_file = next;
    // The kernel may have chosen the ports of the addresses in use.
    for (const fixed_field& field : fixed_fields)
        field.copy(*this->current, next);
    const state::gateway_settings_ptr before = std::exchange(
        this->current, std::make_shared<const state::gateway_settings>(std::move(next)));
    this->reloads.add();
    state::log_event(state::log_level::info, "settings_reloaded")
        .field("path", this->path);
    this->changed(*before);
}

void settings_watch::refuse(const std::string& fields, const std::string& problem)
{
    this->refusals.add();
    state::log_event(state::log_level::error, "settings_not_reloaded")
        .field("path", this->path)
        .field("fields", fields)
        .field("problem", problem);
}

} // namespace pomelorouter::app
