#include "app/node/request_id.hpp"

#include <array>
#include <cstdint>
#include <cstdio>

namespace pomelorouter::app
{

namespace
{

std::mt19937_64 seeded_generator()
{
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device(),
                       device(), device(), device(), device()};
    return std::mt19937_64(seed);
}

} // namespace

request_id_source::request_id_source() : generator(seeded_generator()) {}

std::string request_id_source::next()
{
    constexpr std::size_t text_size = 33;
    std::array<char, text_size> text{};
    const auto high = static_cast<unsigned long long>(this->generator());
    const auto low = static_cast<unsigned long long>(this->generator());
    std::snprintf(text.data(), text.size(), "%016llx%016llx", high, low);
    return text.data();
}

} // namespace pomelorouter::app
