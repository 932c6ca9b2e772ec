// Requests to the store per second, worked out from the periods and budgets of the code.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace trefoilstile::bench
{

/// One purpose of requests.
struct StoreRate {
    std::string purpose;
    double readsPerSecond{};
    double writesPerSecond{};
};

struct StoreCase {
    std::string name;
    std::vector<StoreRate> rates;

    double reads() const;
    double writes() const;
};

/// Size and state of a fleet for which the load is worked out.
struct FleetState {
    std::string name;
    std::size_t domains{}; ///< whose members see each other and the store
    std::size_t sidesPerDomain = 1; ///< groups into which a partition cuts each; every group chooses pollers of its own
    std::size_t nodesStarting{}; ///< nodes without a document, each of which polls until it has one
    double changesPerDay{};
};

/// Load at the fastest that the jitter of the periods allows.
StoreCase storeLoad(const FleetState &state);

/// Ceiling that the budgets of each instance allow, added up over the instances.
StoreCase budgetCeiling(std::string name, std::size_t nodes);

/// Today's size, the two-year size, and the worst minute of both.
std::vector<StoreCase> storeCases();

/// Writes/s left for claims of each node if the writes of all stay within the platform's limit.
double claimsPerNode(std::size_t nodes);

} // namespace trefoilstile::bench
