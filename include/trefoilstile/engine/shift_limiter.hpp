// Limits the traffic that this instance moves to other regions: caps, damped shares of their spare capacity, warm-up of
// their caches, and grants for lookup responses.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/base/priority_class.hpp"
#include "trefoilstile/base/time.hpp"
#include "trefoilstile/document/steering_document.hpp"
#include "trefoilstile/shift/capacity_advert.hpp"
#include "trefoilstile/shift/commitment_ledger.hpp"
#include "trefoilstile/shift/shift_budget.hpp"

namespace trefoilstile::engine
{

/// Lookup responses with entry instances in `to` that the caller I/O thread may send to callers in `from`.
struct PlacedGrant {
    std::string from;
    std::string to;
    std::uint64_t id{};
    std::uint32_t responses{};
};

/// Decides which traffic may go to other regions. A forwarded request must be within the cap and within the damped rate of
/// the receiving region; `tryTake` counts it against both.
class ShiftLimiter
{
public:
    ShiftLimiter(base::IncarnationId self, std::string region, base::TimePoint startedAt, const shift::ShiftOptions &options = {});

    /// Applies a new document. Grants placed before are withdrawn.
    void adopt(base::Generation generation, const document::SteeringDocument &document);

    /// Takes a new measurement of a region's spare capacity.
    void onAdvert(std::string_view region, const shift::CapacityAdvert &advert, base::TimePoint now);

    /// Regions that the document allows this instance to forward to.
    std::span<const std::string> targets() const;

    /// Requests of the class that may be forwarded to the region now.
    std::uint32_t available(std::string_view to, base::PriorityClass priorityClass, base::TimePoint now);

    /// Counts one forwarded request, or returns false if it may not be forwarded.
    bool tryTake(std::string_view to, base::PriorityClass priorityClass, base::TimePoint now);

    /// Places grants for each region whose callers have no entry instance in their own region, and withdraws those of other
    /// regions. Returns whether the grants changed.
    /// @param withoutEntries regions of the document without an entry instance that lookup responses may name
    bool placeGrants(const std::set<std::string> &withoutEntries, base::TimePoint now);

    /// Grants for the caller I/O thread; a grant that is no longer listed must be returned.
    const std::vector<PlacedGrant> &grants() const;

    void grantSpent(std::uint64_t id, std::uint32_t responses, base::TimePoint now);
    void grantReturned(std::uint64_t id, std::uint32_t responses);

private:
    struct TargetState {
        TargetState(std::uint32_t senders, base::Duration warmUp);

        shift::DampedRate rate;
        shift::WarmUpRamp ramp;
        double tokens = 0; ///< requests that the damped rate allows now; at most those of one second plus one
        base::TimePoint refilledAt;
    };

    struct Outstanding {
        std::uint32_t responses{};
        base::Duration maximumTtl{}; ///< of the document under which the grant was placed
    };

    void reduceOutstanding(std::uint64_t id, std::uint32_t responses);
    double rateTokens(TargetState &target, base::PriorityClass priorityClass, base::TimePoint now);
    shift::RegionPair linkTo(std::string_view to) const;
    std::uint32_t wantedResponses(const shift::RegionPair &link, base::TimePoint now);

    std::string m_region;
    shift::ShiftBudget m_budget;
    shift::CommitmentLedger m_ledger;
    std::vector<std::string> m_targets;
    std::map<std::string, TargetState, std::less<>> m_targetStates; // by region; has all of m_targets, and may have targets of earlier documents
    std::vector<shift::RegionPair> m_links; // pairs with a cap above zero
    std::vector<PlacedGrant> m_grants;
    std::map<std::uint64_t, Outstanding> m_outstanding; // by grant, withdrawn grants not yet returned included; responses > 0
    shift::Units m_unitsPerResponse = 0;
    base::Duration m_maximumTtl{};
};

} // namespace trefoilstile::engine
