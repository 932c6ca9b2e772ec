// Chooses the upstream of a request, or tells that it cannot be served in time.
//
// Answers a load that fits the upstreams only while most objects are warm. All instances rank the upstreams of a key the
// same way (rendezvous hashing), so that an object is handled by few upstreams, without agreement. The upstream with the
// least expected time is taken: the wait for a slot, and the extra time of cold work where the object is not known to be
// warm. Work is therefore only moved when waiting costs more than doing it cold. A request that cannot be answered in its
// time is rejected at once.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "trefoilstile/ingress/configuration.hpp"
#include "trefoilstile/ingress/fleet_limits.hpp"
#include "trefoilstile/ingress/region_split.hpp"
#include "trefoilstile/ingress/upstream_table.hpp"

namespace trefoilstile::ingress
{

struct PlacementOptions {
    /// Extra time of cold work, as a part of the route's latency objective. Objectives lie between the time of warm and of
    /// cold work.
    double coldCost = 0.7;
    /// Chance that the object is cold at an upstream of which nothing is known, by its rank for the key. Load above what the
    /// first one takes goes to the next ones from all instances, so that those are warm before long.
    std::array<double, 4> coldChance{0.0, 0.4, 0.7, 0.9};
    /// Part of the objective that a request may be expected to wait before one with a free slot in another region is used.
    double spillWait = 0.5;
    /// Requests waiting at an upstream beyond its slots, as a multiple of the slots: for the most urgent priority, and less
    /// for each priority below it, so that urgent work still finds room in the queue.
    double queuePerSlot = 1.6;
    double queueStep = 0.35;
    double leastQueuePerSlot = 0.7;
    /// Part of the slots up to which an upstream takes work that is cold there. Cold work takes several times as long, so on a
    /// busy upstream it would displace more work than it does, and a service that is full would stay cold.
    double coldFill = 0.75;
    /// Requests spilled to other regions for want of room, as a part of all: below the shift that operators allow.
    double spillShare = 0.05;
    RegionSplitOptions split;
    /// Time of an attempt at an upstream of which nothing is known.
    base::Duration assumedServiceTime = std::chrono::milliseconds(100);
    /// Load per slot of the own region from which callers are sent elsewhere, if it is also above that of another region by
    /// `imbalance`; below `relaxedLoad` they return.
    double pressedLoad = 0.9;
    double relaxedLoad = 0.55;
    double imbalance = 0.3;
    double biasPerSecond = 0.03; ///< change of the part of the own region's share that is sent elsewhere
    double mostBias = 0.6;
    /// A rejected caller is told to stay away for at least this long: queues do not drain faster.
    base::Duration leastRetryAfter = std::chrono::milliseconds(300);
    /// Upstreams considered for a request, the first ones by the ranking of its key. The cost of a request then does not grow
    /// with the fleet; a sample of this size is all full only if nearly all upstreams are.
    std::size_t considered = 32;
    /// With fewer of them in use, all upstreams are considered.
    std::size_t leastConsidered = 8;
    /// Part of the time left that an answer may be predicted to take.
    double deadlineShare = 0.9;
};

/// Options for a limit on the part of a region's requests that changes region within 2 s. A third of it is for spilled
/// requests and a quarter for the split; the rest covers chance, as the limit holds for small numbers of requests too.
inline PlacementOptions placementOptions(double shiftLimit)
{
    PlacementOptions options;
    options.spillShare = shiftLimit / 3;
    options.split.shiftPerSecond = shiftLimit / 4 / 2;
    return options;
}

enum class PlacementOutcome : std::uint8_t {
    Chosen,
    NoUpstream, ///< no usable upstream is known
    NoRoom, ///< all are too busy for the time that the request has
};

/// Why the upstream was taken; for logs.
enum class PlacementReason : std::uint8_t {
    First, ///< ranked first for the key
    Warm, ///< has handled the object of late
    Cold, ///< has not, as far as known
    Spill, ///< in another region than planned, for want of room
    None,
};

struct PlacementRequest {
    const Route &route;
    std::string_view service;
    std::uint64_t key{}; ///< hash of the affinity key, or random without one
    std::span<const Upstream *const> excluded; ///< tried before
    base::Duration timeLeft{}; ///< until the caller or the route gives up
};

struct PlacementResult {
    PlacementOutcome outcome = PlacementOutcome::NoUpstream;
    PlacementReason reason = PlacementReason::None;
    UpstreamTable::Pointer upstream; ///< if chosen
    double load{}; ///< believed load of the chosen upstream
    base::Duration wait{}; ///< expected for a slot there
    base::Duration retryAfter{}; ///< if there is no room: when some is expected
    std::string plannedRegion; ///< by the split of regions
    std::size_t candidates{}; ///< upstreams considered in the planned region, or in all if it has none in use
    double leastLoadPerSlot{}; ///< among the candidates
};

/// Placement of one entry instance.
class Placement
{
public:
    Placement(UpstreamTable &book, std::string ownRegion, std::string ownDomain, std::uint64_t instanceHash, PlacementOptions options = {})
        : m_book(book)
        , m_ownRegion(std::move(ownRegion))
        , m_ownDomain(std::move(ownDomain))
        , m_instanceHash(instanceHash)
        , m_options(options)
    {
    }

    /// Demand of the callers of each region, in any unit.
    void setDemand(std::map<std::string, double, std::less<>> demand)
    {
        m_demand = std::move(demand);
    }

    /// Hashes of the other instances of this failure domain, for the division of warm-up rates; `members` counts this one
    /// too, and those that may run although they are not known singly. 0: nothing is known yet.
    void setMembers(std::vector<std::uint64_t> others, std::size_t members)
    {
        m_others = std::move(others);
        m_members = members;
    }

    /// Moves the region splits and measures the services; to be called a few times a second, less often with many upstreams.
    void advance(const Configuration &configuration, base::TimePoint now);

    PlacementResult choose(const PlacementRequest &request, const Configuration &configuration, base::TimePoint now);

    /// Shares of the regions for the requests to a service; empty if nothing is known of it.
    std::map<std::string, double, std::less<>> shares(std::string_view service) const;

private:
    struct Candidate {
        const UpstreamTable::Pointer *upstream{};
        std::size_t rank{};
        double load{};
        double slots{};
        base::Duration wait{}; ///< expected, for a slot
        base::Duration cost{}; ///< `wait` and the extra time of cold work
        bool warm = false;
    };

    /// Usable upstreams of a service in one region; the hashes stand apart, as all of them are read for each request.
    struct RegionGroup {
        std::vector<std::uint64_t> hashes;
        std::vector<UpstreamTable::Pointer> upstreams;
    };

    struct ServiceState {
        RegionSplit split;
        double bias{}; ///< part of the own region's callers that are sent elsewhere because of its load
        std::optional<base::TimePoint> biasedAt;
        SpillLimit spill{0};
        std::map<const Upstream *, WarmUpShare> warmUp;
        std::map<std::string, RegionGroup, std::less<>> groups; ///< by region
        std::optional<std::uint64_t> groupsVersion; ///< of the book when `groups` was made
    };

    /// Upstreams for a request, in the order of their ranks.
    struct Ranking {
        std::vector<const UpstreamTable::Pointer *> inUse;
        std::vector<const UpstreamTable::Pointer *> avoided;
    };

    ServiceState &state(std::string_view service);
    void updateBias(std::string_view service, ServiceState &serviceState, base::TimePoint now);
    bool admitsCold(ServiceState &service, const Upstream &upstream, const Configuration &configuration, base::TimePoint now);
    Candidate candidate(const PlacementRequest &request, const UpstreamTable::Pointer &upstream, std::size_t rank, base::TimePoint now) const;
    void refreshGroups(std::string_view service, ServiceState &serviceState);
    Ranking ranked(const PlacementRequest &request, std::span<const RegionGroup *const> groups, std::size_t most, base::TimePoint now) const;
    std::vector<Candidate> candidates(const PlacementRequest &request, std::span<const UpstreamTable::Pointer *const> upstreams, base::TimePoint now) const;

    UpstreamTable &m_book;
    std::string m_ownRegion;
    std::string m_ownDomain;
    std::uint64_t m_instanceHash;
    PlacementOptions m_options;
    std::map<std::string, double, std::less<>> m_demand;
    std::vector<std::uint64_t> m_others;
    std::size_t m_members{};
    std::map<std::string, ServiceState, std::less<>> m_services;
};

} // namespace trefoilstile::ingress
