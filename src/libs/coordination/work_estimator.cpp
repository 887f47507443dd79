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
// Below this many samples the estimate is the upper bound, max_tokens.
constexpr std::uint32_t least_samples = 4;
// Far above the models and adapters of one deployment; bounds memory after many renames.
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
    const std::int64_t most = std::max<std::int64_t>(max_tokens, 1);
    const auto model = this->models.find(hash_of(model_key));
    if (model == this->models.end())
        return most;
    const history& past = model->second[class_of(max_tokens)];
    if (past.samples < least_samples)
        return most;
    const auto estimate = static_cast<std::int64_t>(
        std::lround(static_cast<double>(past.used_part) * static_cast<double>(most)));
    return std::clamp<std::int64_t>(estimate, 1, most);
}

void work_estimator::record(std::string_view model_key, std::int64_t max_tokens,
                            std::int64_t produced)
{
    if (this->models.size() >= max_models)
        this->models.clear();
    history& past = this->models[hash_of(model_key)][class_of(max_tokens)];
    const float used = static_cast<float>(produced) /
                       static_cast<float>(std::max<std::int64_t>(max_tokens, 1));
    ++past.samples;
    const float weight = std::max(sample_weight, 1.0F / static_cast<float>(past.samples));
    past.used_part += weight * (used - past.used_part);
}

} // namespace pomelorouter::coordination
