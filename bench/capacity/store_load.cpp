// Arithmetic of the load on the store.

#include "store_load.hpp"

#include <algorithm>
#include <utility>

#include "target.hpp"
#include "trefoilstile/steering/dissemination.hpp"
#include "trefoilstile/tablestore/purpose_budgets.hpp"

namespace trefoilstile::bench
{

namespace
{

/// Rows of one poll: document and drain list.
constexpr double s_rowsPerPoll = 2;

/// `s_instancesPeriod` of src/daemon/peer_duty.cpp.
constexpr double s_instancesPeriod = 2;

/// Submission: the row is read, and after a lost answer read again (`DocumentStore::submit`).
constexpr double s_readsPerChange = 2;

/// Submission: object and row.
constexpr double s_writesPerChange = 2;

double sumOf(const std::vector<StoreRate> &rates, double StoreRate::*member)
{
    double sum = 0;
    for (const StoreRate &rate : rates) {
        sum += rate.*member;
    }
    return sum;
}

} // namespace

double StoreCase::reads() const
{
    return sumOf(rates, &StoreRate::readsPerSecond);
}

double StoreCase::writes() const
{
    return sumOf(rates, &StoreRate::writesPerSecond);
}

StoreCase storeLoad(const FleetState &state)
{
    const steering::DisseminationOptions options;
    const double fastest = 1 / (base::toSeconds(options.polling.period) * (1 - options.polling.jitter));
    const auto pollers = static_cast<double>(state.domains * state.sidesPerDomain * options.polling.pollersPerDomain);
    const auto starting = static_cast<double>(state.nodesStarting);
    const double changes = state.changesPerDay / target::s_secondsPerDay;
    StoreCase made{state.name, {}};
    made.rates.push_back({"rows by pollers", pollers * s_rowsPerPoll * fastest, 0});
    // A node alone in its own view is a poller too, so it polls at the poller's period, not at twice that.
    made.rates.push_back({"rows by starting nodes", starting * s_rowsPerPoll * fastest, 0});
    made.rates.push_back({"instance list", (pollers + starting) / s_instancesPeriod, 0});
    // Every poller may see the row before a peer has the body; a starting node fetches once, here spread over a minute.
    made.rates.push_back({"document bodies", pollers * changes + starting / 60, 0});
    made.rates.push_back({"operators", s_readsPerChange * changes, s_writesPerChange * changes});
    return made;
}

StoreCase budgetCeiling(std::string name, std::size_t nodes)
{
    const tablestore::PurposeBudgetOptions options;
    constexpr const char *purposes[] = {"documents", "claims", "statistics"};
    StoreCase made{std::move(name), {}};
    for (std::size_t purpose = 0; purpose < tablestore::s_purposeCount; ++purpose) {
        const auto rate = [&options, purpose, nodes](tablestore::Access access) {
            return options.rates[static_cast<std::size_t>(access)][purpose].perSecond * static_cast<double>(nodes);
        };
        made.rates.push_back({purposes[purpose], rate(tablestore::Access::Read), rate(tablestore::Access::Write)});
    }
    return made;
}

std::vector<StoreCase> storeCases()
{
    using namespace target;
    constexpr std::size_t perDomainToday = s_nodesToday / s_domainsToday;
    // At the worst minute one failure domain starts anew while every other is cut in two, each side polling.
    return {
        storeLoad({"12 nodes", s_domainsToday, 1, 0, 40}),
        storeLoad({"12 nodes, worst minute", s_domainsToday - 1, perDomainToday, perDomainToday, 40}),
        storeLoad({"1900 nodes", s_domains, 1, 0, s_changesPerDay}),
        storeLoad({"1900 nodes, worst minute", s_domains - 1, 2, s_nodesPerDomain, s_changesPerDay}),
        budgetCeiling("budget ceiling, 12 nodes", s_nodesToday),
        budgetCeiling("budget ceiling, 1900 nodes", s_nodes),
    };
}

double claimsPerNode(std::size_t nodes)
{
    return target::s_storeWritesPerSecond / static_cast<double>(nodes);
}

} // namespace trefoilstile::bench
