#pragma once

#include <cstdint>

namespace pomelorouter::coordination
{

/// Token bucket that bounds retries and hedges to a share of the callers' requests. It
/// starts empty, so the bound also holds from the start of the process, but for the
/// attempts taken on credit. Over any window
/// of at least `burst` / (0.25 * share) requests the attempts are at most 1 + share times
/// the requests; 320 requests at the defaults.
class retry_budget
{
public:
    explicit retry_budget(double burst = 8.0, double debt = 12.0)
        : most(burst), most_debt(debt)
    {
    }

    /// Records a request of a caller; `percent` is the setting `retry_percent`.
    void on_request(std::int64_t percent);
    /// Takes the right to one more attempt; returns whether there was one.
    bool try_take();
    /// Takes the right to one more attempt, on credit if need be. For a request whose
    /// engine failed alone, while the others serve: its retry is no part of a storm, and
    /// a node that has just started could not answer it otherwise. The debt is at most
    /// `most_debt` attempts and is paid off before `try_take` succeeds again.
    bool try_take_on_credit();
    /// Returns a right that was taken and not used.
    void give_back();
    double available() const { return this->tokens; }

private:
    double most;
    double most_debt;
    double tokens = 0.0;
};

} // namespace pomelorouter::coordination
