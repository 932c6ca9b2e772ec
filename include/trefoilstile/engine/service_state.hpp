// Decision state of one service at this instance.
#pragma once

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "trefoilstile/admission/class_scheduler.hpp"
#include "trefoilstile/document/steering_document.hpp"
#include "trefoilstile/retry/retry_budget.hpp"
#include "trefoilstile/retry/retry_policy.hpp"
#include "trefoilstile/upstream/selection_policy.hpp"
#include "trefoilstile/upstream/upstream_set.hpp"

namespace trefoilstile::engine
{

/// Another region, with its failure domains that have upstreams of the service.
struct RemoteRegion {
    std::string name;
    std::vector<upstream::DomainIndex> domains;
    std::uint32_t running = 0; ///< attempts in progress there
};

/// Scheduler, upstreams and retry budget of one service. Its address is stable while requests refer to it.
struct ServiceState {
    ServiceState(std::string serviceName, const admission::SchedulerOptions &scheduling, const upstream::UpstreamSetConfig &upstreamConfig)
        : name(std::move(serviceName))
        , scheduler(scheduling)
        , upstreams(upstreamConfig)
    {
    }

    std::string name;
    document::Service settings; ///< of the latest document that has the service, without upstreams and routes
    bool present = true; ///< whether the document in effect has the service
    std::size_t held = 0; ///< requests that refer to this state
    admission::ClassScheduler scheduler;
    upstream::UpstreamSet upstreams;
    upstream::DefaultSelection selection; ///< the policy with the best results in docs/measurements/policy.md
    retry::RetryBudget budget;
    retry::RetryPolicy retryPolicy;
    std::vector<upstream::DomainIndex> domains; ///< of the own region, in order of preference
    std::vector<RemoteRegion> remotes; ///< regions that the document allows to forward to, in order of preference
};

} // namespace trefoilstile::engine
