#include "app/gateway/process/settings_watch.hpp"

#include "state/error.hpp"
#include "state/json_reader.hpp"
#include "state/log.hpp"
#include "state/process_settings.hpp"

#include <utility>

namespace pomelorouter::app
{

settings_watch::settings_watch(std::string settings_path,
                               state::gateway_settings& settings)
    : path(std::move(settings_path)), current(settings)
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
        std::string text = state::read_file(this->path);
        const state::gateway_settings next =
            state::read_gateway_settings(state::parse_json(text, this->path), this->path);
        this->last_text = std::move(text);
        this->current.seeds = next.seeds;
        this->current.grace_period = next.grace_period;
        this->current.retry_percent = next.retry_percent;
        this->current.address_ttl = next.address_ttl;
        this->current.load_rate_factor = next.load_rate_factor;
        this->current.log_lines_per_s = next.log_lines_per_s;
        state::log_event(state::log_level::info, "settings_reloaded")
            .field("path", this->path);
    }
    catch (const state::error& failure)
    {
        state::log_event(state::log_level::error, "settings_not_reloaded")
            .field("path", this->path)
            .field("problem", failure.what());
    }
}

} // namespace pomelorouter::app
