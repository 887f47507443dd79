#include "coordination/work_estimator.hpp"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <cmath>

namespace pomelorouter::coordination
{

namespace
{

constexpr float sample_weight = 0.1F;
// With fewer samples, the estimate is the upper bound max_tokens.
constexpr std::uint32_t min_samples = 4;
// Far more than the models and adapters of one deployment; limits memory use after many
// renames.
constexpr std::size_t max_models = 8192;

std::uint64_t hash_of(std::string_view key)
{
    return XXH3_64bits(key.data(), key.size());
}

} // namespace

std::size_t work_estimator::class_of(std::int64_t max_tokens)
{
    const auto tokens = static_cast<std::uint64_t>(std::max<std::int64_t>(max_tokens, 1));
    return std::min<std::size_t>(std::bit_width(tokens) - 1, class_count - 1);
}

std::int64_t work_estimator::expected_tokens(std::string_view model_key,
                                             std::int64_t max_tokens) const
{
    const std::int64_t upper_bound = std::max<std::int64_t>(max_tokens, 1);
    const auto model = this->models.find(hash_of(model_key));
    if (model == this->models.end())
        return upper_bound;
    const history& entry = model->second[class_of(max_tokens)];
    if (entry.samples < min_samples)
        return upper_bound;
    const auto estimate = static_cast<std::int64_t>(std::lround(
        static_cast<double>(entry.used_share) * static_cast<double>(upper_bound)));
    return std::clamp<std::int64_t>(estimate, 1, upper_bound);
}

void work_estimator::record(std::string_view model_key, std::int64_t max_tokens,
                            std::int64_t produced)
{
    if (this->models.size() >= max_models)
        this->models.clear();
    history& entry = this->models[hash_of(model_key)][class_of(max_tokens)];
    const float used = static_cast<float>(produced) /
                       static_cast<float>(std::max<std::int64_t>(max_tokens, 1));
    ++entry.samples;
    const float weight =
        std::max(sample_weight, 1.0F / static_cast<float>(entry.samples));
    entry.used_share += weight * (used - entry.used_share);
}

} // namespace pomelorouter::coordination
