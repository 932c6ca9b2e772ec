// Deployments and loads that are emulated.

#include "scenario.hpp"

namespace trefoilstile::bench::placement
{

using namespace std::chrono_literals;

std::vector<Deployment> deployments()
{
    Deployment society;
    society.name = "society";
    society.instancesPerDomain = 2;
    society.services = {{"booking", {16, 4, 14}, 9, 27, 75}, {"archive", {6, 2, 4}, 3, 9, 50}};
    society.kinds = {{"status", "booking", 540, 440ms, 300ms, 2s, 1, 192},
        {"hold", "booking", 233, 560ms, 800ms, 3s, 2, 192},
        {"download", "archive", 73, 344ms, 250ms, 1'500ms, 0, 24},
        {"fee", "archive", 54, 344ms, 250ms, 1'500ms, 1, 24}};
    society.warmPart = 0.3;
    society.withinRegion = 1'400us;
    society.betweenRegions = 12ms;

    Deployment large = society;
    large.name = "large";
    large.instancesPerDomain = 10;
    large.services = {{"booking", {76, 16, 64}, 9, 27, 40}, {"archive", {10, 2, 8}, 9, 27, 30}};
    large.kinds = {{"status", "booking", 1'295, 1'104ms, 600ms, 5s, 1, 600},
        {"hold", "booking", 558, 1'440ms, 1'500ms, 6s, 2, 600},
        {"download", "archive", 175, 912ms, 500ms, 4s, 0, 40},
        {"fee", "archive", 129, 912ms, 500ms, 4s, 1, 40}};
    large.warmPart = 0.25;
    return {society, large};
}

std::vector<Scenario> scenarios()
{
    Scenario calm;
    calm.name = "calm";
    calm.load = 0.6;
    Scenario busy;
    busy.name = "busy";
    Scenario flood = busy;
    flood.name = "flood of the least urgent kind";
    flood.bursts = {{8, 14, 1, 2.5}};
    Scenario urgent = busy;
    urgent.name = "flood of the most urgent kind";
    urgent.bursts = {{8, 14, 2, 2.0}};
    Scenario slow = busy;
    slow.name = "slow upstreams";
    slow.load = 0.8;
    slow.slowPart = 0.4;
    slow.slowFactor = 4;
    slow.slowFrom = 8;
    slow.slowTo = 14;
    return {calm, busy, flood, urgent, slow};
}

} // namespace trefoilstile::bench::placement
