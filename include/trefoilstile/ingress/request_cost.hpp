// Cost of a request's delay or refusal to its caller, from the configuration only.
//
// All decisions under overload use this type, so that the meaning of a priority, an objective and a deadline is stated once.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "trefoilstile/base/time.hpp"
#include "trefoilstile/ingress/configuration.hpp"

namespace trefoilstile::ingress
{

struct RequestCostOptions {
    /// Value of a request relative to one of the next less urgent route priority.
    double routePriorityRatio = 2;
    /// The same for the priority of an account. Accounts are compared before routes, so it exceeds the ratio over the three
    /// route priorities in use (2 x 2).
    double accountPriorityRatio = 5;
    std::uint32_t maximumPriority = 3; ///< less urgent priorities count as this one, so that values stay comparable
    /// Value of an answer after the latency objective, as a fraction of one in time: late answers are of little use to callers.
    double lateValue = 0.2;
    /// Time in a slot as a fraction of the latency objective. Objectives lie between the times of warm and cold work.
    double warmWork = 0.4;
    double coldWork = 1.3;
};

/// What a refusal or delay costs a caller, and what serving the request costs the service.
struct RequestCost {
    double value{}; ///< of an answer in time; 1 for the most urgent priority of route and account
    double lateValue{}; ///< of an answer after `objective`, in the same unit
    std::uint32_t priority{}; ///< priority of the account, then of the route; 0 is the most urgent
    base::Duration objective{}; ///< latency objective
    base::Duration timeLeft{}; ///< until the deadline of the caller or the timeout of the route
    base::Duration warmWork{}; ///< expected time in a slot for an object that is warm
    base::Duration coldWork{}; ///< the same for a cold object
    bool repeatable = false; ///< may run more than once

    base::Duration work(bool cold) const
    {
        return cold ? coldWork : warmWork;
    }

    /// Value lost by a refusal for each second of slot time that it frees (index of the c-mu rule).
    double density() const
    {
        return value / base::toSeconds(warmWork);
    }

    /// Value of a late answer for each second of slot time.
    double lateDensity() const
    {
        return lateValue / base::toSeconds(warmWork);
    }
};

/// @param account null without an account
inline RequestCost requestCost(const Route &route, const Account *account, base::Duration timeLeft, const RequestCostOptions &options = {})
{
    const auto power = [](double base, std::uint32_t exponent) {
        double result = 1;
        for (; exponent > 0; --exponent) {
            result *= base;
        }
        return result;
    };
    // Routes may lack an objective; work is then assumed to take a tenth of the time allowed.
    const base::Duration objective = route.latencyObjective > base::Duration::zero() ? route.latencyObjective : timeLeft / 10;
    const std::uint32_t routePriority = std::min(route.priority, options.maximumPriority);
    const std::uint32_t accountPriority = account == nullptr ? 0 : std::min(account->priority, options.maximumPriority);
    const double seconds = std::max(base::toSeconds(objective), 0.001);
    RequestCost cost;
    cost.value = 1 / (power(options.routePriorityRatio, routePriority) * power(options.accountPriorityRatio, accountPriority));
    cost.lateValue = cost.value * options.lateValue;
    cost.priority = accountPriority * (options.maximumPriority + 1) + routePriority;
    cost.objective = objective;
    cost.timeLeft = timeLeft;
    cost.warmWork = base::fromSeconds(seconds * options.warmWork);
    cost.coldWork = base::fromSeconds(seconds * options.coldWork);
    cost.repeatable = route.idempotent;
    return cost;
}

} // namespace trefoilstile::ingress
