#pragma once

#include <cstdint>

namespace pomelorouter::coordination
{

/// Token bucket that bounds retries and hedges to a share of the callers' requests. By
/// default it starts empty, so the bound also holds from the start of the process. Over
/// any window of at least `burst` / (0.25 * share) requests the attempts are at most 1 +
/// share times the requests; 320 requests at the defaults.
class retry_budget
{
public:
    explicit retry_budget(double burst = 8.0, double initial = 0.0)
        : most(burst), tokens(initial)
    {
    }

    /// Records a request of a caller; `percent` is the setting `retry_percent`.
    void on_request(std::int64_t percent);
    /// Takes the right to one more attempt; returns whether there was one.
    bool try_take();
    /// Returns a right that was taken and not used.
    void give_back();
    double available() const { return this->tokens; }

private:
    double most;
    double tokens;
};

} // namespace pomelorouter::coordination
