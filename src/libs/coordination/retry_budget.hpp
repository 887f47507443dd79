#pragma once

#include <cstdint>

namespace pomelorouter::coordination
{

/// Token bucket that limits retries and hedges to a share of the requests of callers. By
/// default it starts empty, so the limit also holds from the start of the process. Over
/// any window of at least `burst` / (0.25 * share) requests (320 at the defaults), the
/// number of attempts is at most (1 + share) times the number of requests.
class retry_budget
{
public:
    explicit retry_budget(double burst = 8.0, double initial = 0.0)
        : capacity(burst), tokens(initial)
    {
    }

    /// Records a request of a caller; `percent` is the setting `retry_percent`.
    void on_request(std::int64_t percent);
    /// Takes a token for one more attempt; returns false if there is none.
    bool try_take();
    /// Returns a token that was taken but not used.
    void give_back();
    double available() const { return this->tokens; }

private:
    double capacity;
    double tokens;
};

} // namespace pomelorouter::coordination
