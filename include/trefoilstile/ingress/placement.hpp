// Chooses the upstream of a request, or rejects a request that cannot be served in time.
//
// The upstreams can handle the load only while most objects are warm. All instances therefore rank the upstreams of a key the
// same way (rendezvous hashing), so that each object is processed by few upstreams without coordination between instances.
// Among the ranked upstreams the one with the lowest expected cost is chosen: the wait for a slot, plus the extra time of cold
// work if the object is not known to be warm there. Work thus moves to another upstream only when waiting would take longer
// than cold work. Where upstreams report the speed of their machine, all of these times are multiplied by it, and the extra time
// of the work itself is added. A request that cannot be answered before its deadline is rejected immediately.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "trefoilstile/ingress/configuration.hpp"
#include "trefoilstile/ingress/fleet_limits.hpp"
#include "trefoilstile/ingress/overload_control.hpp"
#include "trefoilstile/ingress/region_split.hpp"
#include "trefoilstile/ingress/upstream_table.hpp"

namespace trefoilstile::ingress
{

/// Services that are under overload control.
enum class OverloadMode : std::uint8_t {
    Off,
    On, ///< all
    Auto, ///< all if the configuration has accounts; otherwise those whose upstreams report their speed
};

struct PlacementOptions {
    /// Extra time of cold work, as a fraction of the route's latency objective. Objectives lie between the time of warm and the
    /// time of cold work.
    double coldCost = 0.7;
    /// Probability that the object is cold at an upstream, by the upstream's rank for the key, if nothing else is known. Load that
    /// exceeds the capacity of the first upstream goes to the next ranks from all instances, so the object soon is warm there.
    std::array<double, 4> coldProbability{0.0, 0.4, 0.7, 0.9};
    /// Expected cost above which an upstream with a free slot in another region is considered, as a fraction of the latency objective.
    double spillThreshold = 0.5;
    /// Maximum number of requests that wait at an upstream in addition to its slots, as a multiple of the slots, for the most
    /// urgent priority. `queuePerSlotStep` is subtracted for each less urgent priority, down to `minimumQueuePerSlot`, so that
    /// urgent requests still fit into the queue.
    double queuePerSlot = 1.6;
    double queuePerSlotStep = 0.35;
    double minimumQueuePerSlot = 0.7;
    /// Fraction of the slots up to which an upstream gets work that is cold there. Cold work takes several times as long as warm
    /// work, so on a busy upstream it would displace more work than it completes, and a fully loaded service would stay cold.
    double coldUtilizationLimit = 0.75;
    /// Maximum share of the requests that is spilled to other regions for lack of capacity. Must be below the shift limit that
    /// operators set.
    double spillShare = 0.05;
    RegionSplitOptions split;
    /// Service time assumed for an upstream without measurements.
    base::Duration assumedServiceTime = std::chrono::milliseconds(100);
    /// Load per slot of the own region above which requests are diverted to other regions, if it also exceeds the load of another
    /// region by more than `imbalance`. Below `lowLoad` the diverted share decreases again.
    double highLoad = 0.9;
    double lowLoad = 0.55;
    double imbalance = 0.3;
    double divertedSharePerSecond = 0.03; ///< rate of change of the diverted share
    double maximumDivertedShare = 0.6;
    /// Minimum retry delay in a rejection. Queues do not drain faster.
    base::Duration minimumRetryAfter = std::chrono::milliseconds(300);
    /// Number of upstreams considered for a request, in the order of the ranking for its key. It bounds the cost of a request
    /// independently of the size of the fleet. All upstreams of a sample of this size are full only if nearly all upstreams are.
    std::size_t candidateLimit = 32;
    /// If fewer of them are in use, all upstreams are considered.
    std::size_t minimumCandidates = 8;
    /// Maximum expected wait, as a fraction of the time left until the deadline.
    double deadlineShare = 0.9;
    /// An upstream is avoided because a new connection to it would probably be reset only if another one costs at most this
    /// fraction of the latency objective more.
    double connectionCost = 0.5;
    /// Services whose queues are limited by `OverloadControl` instead of `queuePerSlot` and `deadlineShare`.
    OverloadMode overloadMode = OverloadMode::Off;
    OverloadOptions overload;
};

/// Options for a limit on the share of a region's requests that changes region within 2 s. A third of the limit is used for
/// spilled requests and a quarter for the split. The rest is reserved for random variation, because the limit also applies to
/// small numbers of requests.
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
    NoRoom, ///< no upstream has capacity for the request before its deadline
};

/// Why the upstream was chosen; for logs.
enum class PlacementReason : std::uint8_t {
    First, ///< ranked first for the key
    Warm, ///< has processed the object recently
    Cold, ///< is not known to have processed the object recently
    Spill, ///< in another region than planned, for lack of capacity
    None,
};

/// What has arrived of a request that is placed.
enum class RequestStage : std::uint8_t {
    Whole, ///< with its body, if it has one
    Head, ///< only whether there is capacity for it: no share of a warm-up or of the spilled requests is taken
    Body, ///< with its body, after overload control has counted its arrival at the head and admitted it
};

struct PlacementRequest {
    const Route &route;
    std::string_view service;
    std::uint64_t key{}; ///< hash of the affinity key, or random without one
    std::span<const Upstream *const> excluded; ///< upstreams that were tried before
    base::Duration timeLeft{}; ///< until the deadline of the caller or the route
    const Account *account = nullptr; ///< account of the caller; null without one
    std::size_t connectionLimit = 1'000'000; ///< connections that this instance may have to one upstream
    std::function<bool(const Upstream &)> reusable{}; ///< whether an open connection to the upstream is free for the request; empty: none is
    RequestStage stage = RequestStage::Whole;
    std::uint64_t bodyBytes{}; ///< size of a body that counts towards `bodyLimit`; 0: none
    std::uint64_t bodyLimit{}; ///< bytes of bodies that this instance may have in flight at one upstream, but at least one body
};

/// True if upstreams of the region may serve the request. The regions of the route and those of the account both bind.
bool mayServe(const PlacementRequest &request, std::string_view region);

/// True if the body of the request fits beside those in flight at the upstream.
bool fitsBody(const PlacementRequest &request, const Upstream &upstream);

struct PlacementResult {
    PlacementOutcome outcome = PlacementOutcome::NoUpstream;
    PlacementReason reason = PlacementReason::None;
    UpstreamTable::Pointer upstream; ///< set if the outcome is `Chosen`
    double load{}; ///< estimated load of the chosen upstream, in requests
    base::Duration wait{}; ///< expected wait for a slot of the chosen upstream
    base::Duration retryAfter{}; ///< set if the outcome is `NoRoom`: time until capacity is expected
    RefusalReason refusal = RefusalReason::None; ///< why the outcome is `NoRoom`; set only under overload control
    bool counted = false; ///< overload control has counted the arrival of the request
    std::string plannedRegion; ///< according to the region split
    std::size_t candidates{}; ///< number of upstreams considered in the planned region, or in all regions if the planned one has none in use
    double leastLoadPerSlot{}; ///< minimum over the candidates
};

/// What is known of an upstream that a request may be sent to, for operators.
struct CandidateDescription {
    UpstreamTable::Pointer upstream;
    std::size_t rank{}; ///< in its region, for the key of the request
    double load{}; ///< estimated requests at the upstream
    base::Duration wait{}; ///< expected wait for a slot
    base::Duration cost{}; ///< `wait` plus the expected extra time of cold work
    bool warm = false;
    bool avoided = false; ///< because of failures
    bool quiet = false; ///< it has asked for a pause
};

/// Placement decisions of one entry instance. Copies decide independently, on the same upstreams.
class Placement
{
public:
    Placement(UpstreamTable &upstreams, std::string ownRegion, std::string ownDomain, std::uint64_t instanceHash, PlacementOptions options = {})
        : m_upstreams(upstreams)
        , m_ownRegion(std::move(ownRegion))
        , m_ownDomain(std::move(ownDomain))
        , m_instanceHash(instanceHash)
        , m_options(options)
    {
    }

    /// Sets the demand of the callers of each region, in any common unit.
    void setDemand(std::map<std::string, double, std::less<>> demand)
    {
        m_demand = std::move(demand);
    }

    /// Sets the instances of this failure domain that share the warm-up rates.
    /// @param others hashes of the other instances
    /// @param members number of instances, including this one and those that may be running without being known individually; 0
    /// if nothing is known yet
    void setMembers(std::vector<std::uint64_t> others, std::size_t members)
    {
        m_others = std::move(others);
        m_members = members;
    }

    /// Updates the failure limits and the region split of each service. Must be called a few times per second, less often with many
    /// upstreams.
    void advance(const Configuration &configuration, base::TimePoint now);

    /// Chooses an upstream for the request.
    PlacementResult choose(const PlacementRequest &request, const Configuration &configuration, base::TimePoint now);

    /// The first candidates of each region that may serve the request, by region and rank.
    /// @param limit maximum number for each region
    std::vector<CandidateDescription> describe(const PlacementRequest &request, std::size_t limit, base::TimePoint now);

    /// Shares of the regions in the requests to a service; empty if the service is unknown.
    std::map<std::string, double, std::less<>> shares(std::string_view service) const;

    /// Overload control of a service; null if the service is unknown. It changes only while the service is under overload control.
    const OverloadControl *overload(std::string_view service) const;

private:
    struct Candidate {
        const UpstreamTable::Pointer *upstream{};
        std::size_t rank{}; ///< position in the ranking for the key, from 0
        double load{};
        double slots{};
        base::Duration wait{}; ///< expected wait for a slot
        base::Duration cost{}; ///< `wait` plus the expected extra time of cold work and of a slow machine
        bool warm = false; ///< the object is known to be warm there
    };

    /// Usable upstreams of a service in one region. The hashes are stored contiguously because each request reads all of them.
    struct RegionGroup {
        std::vector<std::uint64_t> hashes; ///< of `upstreams`, in the same order
        std::vector<UpstreamTable::Pointer> upstreams;
    };

    struct ServiceState {
        RegionSplit split;
        double divertedShare{}; ///< share of the own region's callers that is diverted to other regions because of its load
        std::optional<base::TimePoint> divertedShareUpdatedAt;
        SpillLimit spill{0};
        std::map<const Upstream *, WarmUpShare> warmUp;
        std::map<std::string, RegionGroup, std::less<>> groups; ///< by region
        OverloadControl overload;
        bool reportsSpeed = false; ///< some upstream of the service has reported the speed of its machine
        std::optional<std::uint64_t> groupsVersion; ///< version of the upstream table from which `groups` was built
    };

    /// Upstreams for a request, in rank order.
    struct Ranking {
        std::vector<const UpstreamTable::Pointer *> inUse;
        std::vector<const UpstreamTable::Pointer *> avoided;
        base::TimePoint quietUntil = base::TimePoint::max(); ///< earliest end of a pause that an upstream has asked for; max: none has
    };

    struct RankedRegions {
        Ranking ranking; ///< of the planned region; of all regions if the planned one has no upstream in use
        std::vector<const RegionGroup *> others; ///< the other regions that may serve the request
    };

    /// Decision of the overload control about one request.
    struct ControlledRequest {
        OverloadControl *control{}; ///< null if the service is not under overload control
        std::optional<OverloadControl::Request> request; ///< set if `control` is
        OverloadControl::Admission admission;
        bool counted = false; ///< a first attempt under control; further ones have been admitted before
    };

    /// State of one call of `choose`.
    struct Decision {
        const PlacementRequest &request;
        const Configuration &configuration;
        base::TimePoint now;
        ServiceState &service;
        std::vector<Candidate> local; ///< of the planned region, by cost
        ControlledRequest controlled;
        PlacementResult result;
    };

    static bool lowerCost(const Candidate &left, const Candidate &right)
    {
        return left.cost < right.cost;
    }

    ServiceState &state(std::string_view service);
    RankedRegions rankRegions(const PlacementRequest &request, const ServiceState &service, std::string_view planned, base::TimePoint now) const;
    /// Chooses the candidate unless its warm-up does not allow it; returns whether it was chosen.
    bool take(Decision &decision, const Candidate &candidate, PlacementReason reason);
    /// Chooses an upstream of another region if the planned one would take long and the spill limit allows it.
    bool spill(Decision &decision, std::span<const RegionGroup *const> others);
    /// Asks the overload control, if it applies, whether the request is admitted.
    void admit(Decision &decision);
    /// Chooses the candidate of the planned region with the lowest cost that has room. Those that need a new connection which would
    /// probably be reset come last.
    bool takeLocal(Decision &decision);
    void refuse(Decision &decision) const;
    /// True if the candidate's queue has room for the request.
    bool hasRoom(const Candidate &candidate, const PlacementRequest &request, const ControlledRequest &controlled) const;
    void updateDivertedShare(std::string_view service, ServiceState &serviceState, base::TimePoint now);
    /// True if the upstream is not warming up, or if this instance's warm-up share allows a request now, which it then takes.
    bool admitsDuringWarmUp(ServiceState &service, const Upstream &upstream, const Configuration &configuration, base::TimePoint now);
    Candidate candidate(const PlacementRequest &request, const UpstreamTable::Pointer &upstream, std::size_t rank, base::TimePoint now) const;
    void refreshGroups(std::string_view service, ServiceState &serviceState);
    Ranking ranked(const PlacementRequest &request, std::span<const RegionGroup *const> groups, std::size_t limit, base::TimePoint now) const;
    std::vector<Candidate> candidates(const PlacementRequest &request, std::span<const UpstreamTable::Pointer *const> upstreams, base::TimePoint now) const;

    UpstreamTable &m_upstreams;
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
