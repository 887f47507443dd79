#pragma once

#include "state/gateway_settings.hpp"

#include <string>

namespace pomelorouter::app
{

/// Applies changes of the settings file to a running gateway.
class settings_watch
{
public:
    settings_watch(std::string settings_path, state::gateway_settings& settings);

    /// Reloads the file if its content has changed since the last read.
    void reload_if_changed();
    /// Reads the file and applies the values that can change at run time. An unreadable
    /// or invalid file is logged and changes nothing.
    void reload();

private:
    std::string path;
    state::gateway_settings& current;
    std::string last_text;
};

} // namespace pomelorouter::app
