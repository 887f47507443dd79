#pragma once

#include "state/gateway_settings.hpp"

#include <string>

namespace pomelorouter::app
{

/// Keeps the settings of a running gateway up to date with their file.
class settings_watch
{
public:
    settings_watch(std::string settings_path, state::gateway_settings& settings);

    /// Reads the file if it was written since it was last read.
    void reload_if_changed();
    /// Reads the file. Values that can change while the process runs are taken over; a
    /// file that cannot be read or is not valid changes nothing.
    void reload();

private:
    std::string path;
    state::gateway_settings& current;
    std::string last_text;
};

} // namespace pomelorouter::app
