#pragma once

#include <boost/json/object.hpp>

#include <sys/types.h>

#include <cstddef>
#include <string>

namespace pomelorouter::test
{

/// A gateway process of this build. The kernel kills it if the test ends for any reason.
class gateway_child
{
public:
    /// Starts the process with a settings file and its limit of open descriptors.
    gateway_child(const boost::json::object& settings, std::size_t max_descriptors);
    ~gateway_child();
    gateway_child(const gateway_child&) = delete;
    gateway_child& operator=(const gateway_child&) = delete;

    bool is_running();
    void send_signal(int number);
    /// Peak of the resident memory.
    std::size_t peak_bytes() const;
    std::size_t open_descriptors() const;

private:
    pid_t child = -1;
    bool has_ended = false;
    std::string settings_path;
};

/// Returns a loopback address with a free port, which is kept for this process and the
/// gateways that it starts.
std::string free_address();

} // namespace pomelorouter::test
