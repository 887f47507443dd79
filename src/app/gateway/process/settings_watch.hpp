#pragma once

#include "state/counters.hpp"
#include "state/gateway_settings.hpp"

#include <functional>
#include <string>

namespace pomelorouter::app
{

/// Applies changes of the settings file to a running gateway. Some fields take effect at
/// a restart only; a change of one of them is refused as a whole, so that a gateway never
/// runs with one half of a change.
class settings_watch
{
public:
    using change_callback = std::function<void(const state::gateway_settings& before)>;

    /// Replaces `settings` at each change, and calls `on_changed` after that.
    settings_watch(std::string settings_path, state::gateway_settings_ptr& settings,
                   state::counter_registry& counters, change_callback on_changed);

    /// Reloads the file if its content has changed since the last read.
    void reload_if_changed();
    /// Reads the file and applies it. A file that is unreadable, invalid or needs a
    /// restart is logged and changes nothing.
    void reload();

private:
    void apply(state::gateway_settings next);
    void refuse(const std::string& fields, const std::string& problem);

    std::string path;
    state::gateway_settings_ptr& current;
    /// What the file said when it was last applied; `current` has bound addresses.
    state::gateway_settings in_file;
    change_callback changed;
    state::counter& reloads;
    state::counter& refusals;
    std::string last_text;
};

} // namespace pomelorouter::app
