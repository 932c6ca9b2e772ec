// What this instance may move to other regions: caps, damped shares of their spare capacity, warm-up of their caches,
// and the grants for lookup responses.
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

/// Lookup responses that the caller I/O thread may give out for callers of `from` with entries in `to`.
struct PlacedGrant {
    std::string from;
    std::string to;
    std::uint64_t id{};
    std::uint32_t responses{};
};

/// Decides about traffic between regions. A forwarded request needs room under the cap and under the damped rate for
/// the receiving region; both are counted when it is taken.
class ShiftLimiter
{
public:
    ShiftLimiter(base::IncarnationId self, std::string region, base::TimePoint startedAt, const shift::ShiftOptions &options = {});

    /// Takes a document into effect. Grants placed before it are withdrawn.
    void adopt(base::Generation generation, const document::SteeringDocument &document);

    /// A measurement of a region's spare capacity has arrived.
    void onAdvert(std::string_view region, const shift::CapacityAdvert &advert, base::TimePoint now);

    /// Regions that the document allows this instance to forward to.
    std::span<const std::string> targets() const;

    /// Requests of the class that may be forwarded to the region now.
    std::uint32_t available(std::string_view to, base::PriorityClass priorityClass, base::TimePoint now);

    /// Counts one forwarded request, or returns false if it may not be forwarded.
    bool tryTake(std::string_view to, base::PriorityClass priorityClass, base::TimePoint now);

    /// Keeps grants placed for each region whose callers have no entry instance at home. Returns whether they changed.
    /// @param withoutEntries regions of the document that have no candidate
    bool placeGrants(const std::set<std::string> &withoutEntries, base::TimePoint now);

    /// Grants for the caller I/O thread; a grant that is no longer listed has to be returned.
    const std::vector<PlacedGrant> &grants() const;

    void grantSpent(std::uint64_t id, std::uint32_t responses, base::TimePoint now);
    void grantReturned(std::uint64_t id, std::uint32_t responses);

private:
    struct Target {
        Target(std::uint32_t senders, base::Duration warmUp);

        shift::DampedRate rate;
        shift::WarmUpRamp ramp;
        double tokens = 0; ///< requests that the damped rate allows now, at most one second's worth and one
        base::TimePoint refilledAt;
    };

    struct Outstanding {
        std::uint32_t responses{};
        base::Duration maximumTtl{}; ///< of the document under which the grant was placed
    };

    void reduceOutstanding(std::uint64_t id, std::uint32_t responses);
    double rateTokens(Target &target, base::PriorityClass priorityClass, base::TimePoint now);
    shift::RegionPair linkTo(std::string_view to) const;
    std::uint32_t wantedResponses(const shift::RegionPair &link, base::TimePoint now);

    std::string m_region;
    shift::ShiftBudget m_budget;
    shift::CommitmentLedger m_ledger;
    std::vector<std::string> m_targets;
    std::map<std::string, Target, std::less<>> m_state; // by region; of all targets, those of earlier documents may stay
    std::vector<shift::RegionPair> m_links; // pairs with a cap above zero
    std::vector<PlacedGrant> m_grants;
    std::map<std::uint64_t, Outstanding> m_outstanding; // also of withdrawn grants not yet returned; responses > 0
    shift::Units m_unitsPerResponse = 0;
    base::Duration m_maximumTtl{};
};

} // namespace trefoilstile::engine
