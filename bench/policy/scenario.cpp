// The scenarios of the policy benchmark.

#include "scenario.hpp"

#include <chrono>

namespace trefoilstile::bench
{

using namespace std::chrono_literals;

namespace
{

// Half of the slots, the usual load of a service with room for the loss of a region.
constexpr base::PerClass<double> s_normal{{0.10, 0.25, 0.15}};
constexpr base::PerClass<double> s_quiet{{0.02, 0.06, 0.04}};

std::vector<Phase> steady(base::Duration length)
{
    return {{"warm", 10s, s_normal}, {"steady", length, s_normal}};
}

} // namespace

std::vector<Deployment> deployments()
{
    base::PerClass<ClassWork> work;
    work[base::PriorityClass::Urgent] = {20ms, 20ms, 2s, false};
    work[base::PriorityClass::Interactive] = {15ms, 15ms, 2s, true};
    work[base::PriorityClass::Bulk] = {20ms, 600ms, 5s, true};
    Deployment booking{"booking"};
    booking.work = work;
    Deployment downloads{"downloads"};
    downloads.upstreamsPerDomain = 2;
    downloads.slots = 3;
    downloads.work = work;
    downloads.work[base::PriorityClass::Bulk].held = 3s;
    return {booking, downloads};
}

std::vector<Scenario> scenarios()
{
    // At 10 and 3 times the capacity, with the other classes at their usual load; then demand of all classes above
    // their shares under each flood, so that every share is claimed.
    const base::PerClass<double> bulkFlood{{0.10, 0.25, 10.0}};
    const base::PerClass<double> urgentFlood{{3.0, 0.25, 0.15}};
    const base::PerClass<double> urgentHigh{{0.50, 0.25, 10.0}};
    const base::PerClass<double> allClaimed{{3.0, 0.60, 0.60}};
    return {
        {"quiet", {{"warm", 10s, s_quiet}, {"quiet", 60s, s_quiet}}, {}},
        {"reconnect", {{"warm", 10s, s_normal}, {"wave", 2s, {{0.10, 8.0, 0.15}}}, {"after", 28s, s_normal}}, {}, false, true},
        {"flood",
            {{"warm", 10s, s_normal},
                {"bulk10", 30s, bulkFlood},
                {"urgent-high", 20s, urgentHigh},
                {"urgent3", 20s, urgentFlood},
                {"all", 20s, allClaimed},
                {"after", 20s, s_normal}},
            {}},
        {"lagging", steady(60s), {{10s, FaultKind::LagReports, 0}}},
        {"misleading", steady(60s), {{10s, FaultKind::MisleadReports, 0}}},
        {"stopped", steady(60s), {{10s, FaultKind::StopReports, 0}}},
        {"region-loss",
            {{"warm", 10s, s_normal}, {"lost", 40s, s_normal}, {"returned", 40s, s_normal}},
            {{10s, FaultKind::LoseRegion, 2}, {50s, FaultKind::RestoreRegion, 2}},
            true},
        {"cold", steady(60s), {{10s, FaultKind::ColdDomain, 1}}},
        {"drain", steady(60s), {{10s, FaultKind::DrainDomain, 1}}, true},
    };
}

} // namespace trefoilstile::bench
