#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace pomelorouter::coordination
{

/// Estimates how many tokens a request will generate, from its `max_tokens` and from the
/// output of earlier requests to the same model with a similar `max_tokens`.
class work_estimator
{
public:
    std::int64_t expected_tokens(std::string_view model_key,
                                 std::int64_t max_tokens) const;
    void record(std::string_view model_key, std::int64_t max_tokens,
                std::int64_t produced);

private:
    // One class of requests for each power of two of `max_tokens`.
    static constexpr std::size_t class_count = 21;

    struct history
    {
        float used_share = 0.0F;
        std::uint32_t samples = 0;
    };
    using model_history = std::array<history, class_count>;

    static std::size_t class_of(std::int64_t max_tokens);

    std::unordered_map<std::uint64_t, model_history> models;
};

} // namespace pomelorouter::coordination
