#include "gateway_child.hpp"

#include "transport/address.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/serialize.hpp>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <list>
#include <stdexcept>

namespace pomelorouter::test
{

namespace
{

constexpr std::size_t bytes_per_kib = 1024;

[[noreturn]] void run_child(const char* settings_path, std::size_t max_descriptors)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    // Otherwise the child would inherit the sockets of the test.
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    const int no_output = ::open("/dev/null", O_WRONLY);
    ::dup2(no_output, STDOUT_FILENO);
    ::close(no_output);
    const rlimit limit{max_descriptors, max_descriptors};
    ::setrlimit(RLIMIT_NOFILE, &limit);
    ::execl(POMELOROUTER_BINARY, POMELOROUTER_BINARY, "gateway", "--settings",
            settings_path, nullptr);
    ::_exit(127);
}

} // namespace

gateway_child::gateway_child(const boost::json::object& settings,
                             std::size_t max_descriptors)
    : settings_path((std::filesystem::temp_directory_path() /
                     ("gateway-child-" + std::to_string(::getpid()) + "-" +
                      std::string(settings.at("node_id").as_string()) + ".json"))
                        .string())
{
    std::ofstream(this->settings_path) << boost::json::serialize(settings);
    this->child = ::fork();
    if (this->child == 0)
        run_child(this->settings_path.c_str(), max_descriptors);
    if (this->child < 0)
        throw std::runtime_error("cannot start the gateway: fork failed");
}

gateway_child::~gateway_child()
{
    if (this->is_running())
    {
        ::kill(this->child, SIGKILL);
        ::waitpid(this->child, nullptr, 0);
    }
    std::filesystem::remove(this->settings_path);
}

bool gateway_child::is_running()
{
    if (!this->has_ended)
        this->has_ended = ::waitpid(this->child, nullptr, WNOHANG) != 0;
    return !this->has_ended;
}

void gateway_child::send_signal(int number)
{
    if (this->is_running())
        ::kill(this->child, number);
}

std::size_t gateway_child::peak_bytes() const
{
    std::ifstream status("/proc/" + std::to_string(this->child) + "/status");
    std::string word;
    while (status >> word)
    {
        std::size_t size_kib = 0;
        if (word == "VmHWM:" && status >> size_kib)
            return size_kib * bytes_per_kib;
    }
    throw std::runtime_error("the gateway has ended");
}

std::size_t gateway_child::open_descriptors() const
{
    const std::filesystem::directory_iterator entries(
        "/proc/" + std::to_string(this->child) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

/// Keeps the port bound, so that the kernel gives it to no other socket before the
/// gateway binds it. A bound socket that does not listen does not prevent that if both
/// may share the port.
std::string free_address()
{
    static boost::asio::io_context loop;
    static std::list<boost::asio::ip::tcp::socket> reserved;
    boost::asio::ip::tcp::socket& socket =
        reserved.emplace_back(loop, boost::asio::ip::tcp::v4());
    socket.bind(transport::parse_address("127.0.0.1:0"));
    // Set later, since a port may already be shared if it is chosen with this option.
    socket.set_option(boost::asio::socket_base::reuse_address(true));
    return transport::format_address(socket.local_endpoint());
}

} // namespace pomelorouter::test
