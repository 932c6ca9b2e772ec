// State of the upstreams as known to an entry instance: availability, load and recent failures.
//
// Discovery reports arrive late, and entries of running upstreams lapse during an outage of the discovery source. A removal
// therefore takes effect immediately only if it does not look like such a lapse. The load of an upstream is the load that it
// reports, corrected by the requests that this instance has sent since.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "trefoilstile/base/time.hpp"
#include "trefoilstile/ingress/configuration.hpp"
#include "trefoilstile/ingress/connection_restraint.hpp"
#include "trefoilstile/ingress/out_of_service.hpp"
#include "trefoilstile/ingress/reported_speed.hpp"
#include "trefoilstile/ingress/warm_keys.hpp"

namespace trefoilstile::ingress
{

/// Entry of one upstream as reported by discovery.
struct UpstreamReport {
    std::string id; ///< usually unique to one run of the upstream; a restart under the same id is detected by `startedAt`
    std::string service;
    std::string address; ///< `IP:port`
    std::string failureDomain;
    std::uint32_t slots = 1; ///< number of requests processed concurrently
    bool draining = false; ///< accepts no new requests and stops soon
    base::Duration warmUpLeft{}; ///< remaining warm-up at the time of the report; 0 if warm
    std::int64_t startedAt{}; ///< start of the process in Unix milliseconds by the upstream's clock; identifies the run
};

/// Load that an upstream reports in a response, in requests.
struct ReportedLoad {
    std::uint32_t running{};
    std::uint32_t waiting{};
    std::uint32_t slots{};
    std::optional<std::uint32_t> speedPercent{}; ///< how long work takes on the machine now, 100: as usual; empty: not reported
};

/// Load of an upstream that one instance received from it and shares with the other instances.
struct LoadObservation {
    std::uint64_t upstream{}; ///< hash of the upstream id, `Upstream::hash`
    std::uint32_t busy{}; ///< running and waiting requests
    std::uint32_t slots{};
    base::Duration age{}; ///< time since the upstream reported the load
    std::optional<std::uint32_t> speedPercent{}; ///< as in `ReportedLoad`
};

/// Result of an attempt, as evidence about its upstream.
enum class AttemptVerdict : std::uint8_t {
    Served, ///< the upstream sent a complete response
    Shed, ///< rejected for lack of capacity; the request was not executed
    Unreachable, ///< no connection could be made; nothing was sent
    Broken, ///< the connection failed, or the response was truncated or invalid
    TimedOut, ///< no response within the time limit
    Cancelled, ///< cancelled by the caller; no evidence about the upstream
    Misdirected, ///< another upstream answered at the address
};

struct UpstreamTableOptions {
    /// How long lapsed entries are kept after the end of an outage of the source. Running upstreams are registered again within
    /// 2 s; the rest allows for the delivery of the report.
    base::Duration lapseHold = std::chrono::milliseconds(2'200);
    /// How long missing entries are kept if no outage of the source was detected: a pending long poll does not reveal a short
    /// outage. Must be below the 2 s after which a removed upstream must not get requests.
    base::Duration undetectedLapseHold = std::chrono::milliseconds(1'600);
    /// Missing entries count as lapsed if they exceed this share of all entries: in an outage of the source the entries of all
    /// upstreams lapse, whereas an instance that alone lost its connection to the source misses only the upstreams that have
    /// left since.
    double lapseThreshold = 0.34;
    /// Added to the reported remaining warm-up, to allow for the delay of the report.
    base::Duration warmUpMargin = std::chrono::milliseconds(300);
    /// Time constant of the failure rate. An upstream that fails only part of its requests is detected within a second at a few
    /// requests per second.
    base::Duration failureTimeConstant = std::chrono::seconds(3);
    /// Failure rate above which an upstream is avoided. Three times the failure rate of a healthy upstream is far below it.
    double failureLimit = 0.35;
    /// If the whole service has a high failure rate, an upstream is avoided only if its failure rate exceeds the mean by this
    /// factor. Avoiding all failing upstreams would put the whole load on the few that get trial requests.
    double failureLimitMeanFactor = 1.5;
    double maximumFailureLimit = 0.9; ///< an upstream with a higher failure rate is avoided whatever the mean
    double minimumAttempts = 2.5; ///< minimum decayed number of attempts for the failure rate to be evaluated
    base::Duration trialInterval = std::chrono::milliseconds(1'000); ///< interval between trial requests to an avoided upstream
    base::Duration unreachablePause = std::chrono::milliseconds(500); ///< pause after a failed connection attempt; doubles with each one up to `maximumPause`
    /// Pause after another upstream answered at the address. The entry remains for some heartbeats after its upstream has stopped.
    base::Duration misdirectedPause = std::chrono::seconds(8);
    base::Duration maximumPause = std::chrono::seconds(4); ///< bounded, because an upstream may become reachable again without notice
    /// Weight of the latest service time in the moving average.
    double serviceTimeWeight = 0.15;
    base::Duration reportedLoadLifetime = std::chrono::seconds(3); ///< older reports are ignored; requests of this instance still count
    /// Time constant of the average of the reported loads. A single report is already outdated when later requests are placed,
    /// because slots are released and reused several times between two reports.
    base::Duration loadTimeConstant = std::chrono::milliseconds(600);
    /// Longest time for which an upstream may ask for no requests; longer times are reduced to it, so that a wrong value does not
    /// exclude an upstream for good. Planned work takes less.
    base::Duration maximumQuiet = std::chrono::hours(1);
    /// How long a leaving run is remembered. An entry of it that an older source reports as ready does not bring it back; leaving
    /// upstreams end within a minute.
    base::Duration leavingMemory = std::chrono::minutes(10);
    std::size_t maximumLeavingRuns = 65'536; ///< bounds the memory for leaving runs to some megabytes; the oldest are forgotten first
    /// How long the other instances are told of a leaving run. Reports are sent every 300 ms and datagrams are lost occasionally.
    base::Duration leavingNoticePeriod = std::chrono::seconds(1);
};

/// Options for a bound on the time until an upstream that is reported as leaving or removed gets no more requests.
inline UpstreamTableOptions upstreamTableOptions(base::Duration leavingBound)
{
    UpstreamTableOptions options;
    // A fifth of the bound is reserved for the delivery of the report.
    options.undetectedLapseHold = std::min(options.undetectedLapseHold, leavingBound * 4 / 5);
    return options;
}

/// State of one upstream. Owned by the table and shared with the requests in flight.
struct Upstream {
    UpstreamReport report;
    std::string region;
    std::uint64_t hash{}; ///< hash of the id, for ranking
    base::TimePoint warmingUpUntil; ///< end of the warm-up; the request rate is limited until then
    std::uint64_t run{}; ///< hash of the id and the start time; differs after a restart under the same id
    OutOfService outOfService; ///< must not get requests while a reason applies
    base::TimePoint quietUntil; ///< it has asked this instance for no requests until then
    std::optional<base::TimePoint> removeAt; ///< set if the entry is missing: time of removal, unless the upstream is reported again before

    std::uint32_t outstanding{}; ///< requests of this instance in flight at the upstream
    std::uint64_t bodyBytes{}; ///< bodies of the requests of this instance in flight at the upstream
    std::uint32_t openConnections{}; ///< connections of this instance to the upstream
    ConnectionBackOff connectionBackOff;
    std::shared_ptr<ConnectionRestraint> connectionRestraint; ///< of the service
    ReportedLoad reportedLoad; ///< last load reported to this instance
    base::TimePoint loadUpdatedAt; ///< time of the latest report, to this instance or another
    base::TimePoint loadReportedAt; ///< when `reportedLoad` was reported to this instance
    double otherInstancesLoad{}; ///< moving average of the reported load without the requests of this instance
    double serviceSeconds{}; ///< moving average of the time in a slot at the usual speed of the machine; 0 means unknown
    ReportedSpeed speed;
    std::shared_ptr<SpeedVariation> speedVariation; ///< of the service
    WarmKeys warmKeys;

    double attempts{}; ///< decayed
    double failures{}; ///< decayed; at most `attempts`
    std::optional<double> failureLimit; ///< failure rate above which it is avoided, from the rate of its service; empty before the first update
    base::TimePoint decayedAt; ///< time to which `attempts` and `failures` are decayed
    base::TimePoint avoidUntil; ///< no requests until then, unless all other upstreams are avoided too
    base::Duration pause{}; ///< last pause after a failed connection attempt; 0 after a success
    base::TimePoint lastTrial;
    bool loggedAsAvoided = false; ///< whether the last log line about the upstream reported it as avoided
};

/// Upstreams of all services, from discovery reports, load reports and the results of attempts.
class UpstreamTable
{
public:
    using Pointer = std::shared_ptr<Upstream>;

    explicit UpstreamTable(UpstreamTableOptions options = {})
        : m_options(options)
    {
    }

    /// Sets the region of each failure domain. Upstreams of unknown failure domains have an empty region.
    void setRegions(std::map<std::string, std::string, std::less<>> regions)
    {
        m_regions = std::move(regions);
        ++m_version;
    }

    /// Sets the services of the configuration in effect. They give the warm-up duration after an evacuation, and only their
    /// upstreams can supersede others at the same address.
    void setServices(const Configuration &configuration);

    /// Applies a discovery report. True if it changed the state of the upstream.
    bool report(const UpstreamReport &report, base::TimePoint now);

    /// Marks the entry as missing; a draining upstream is removed immediately. The next `advance` removes a missing entry, unless
    /// it appears to have lapsed together with many others in an outage of the source. It is then removed after the hold.
    void remove(std::string_view id, base::TimePoint now);

    /// Sets whether the discovery source is available. Removals are deferred while it is not.
    void setSourceAvailable(bool available, base::TimePoint now);

    /// Sets the evacuated failure domains, whose upstreams must not get requests.
    void setEvacuated(std::set<std::string, std::less<>> domains, base::TimePoint now);

    /// Removes missing entries that do not appear to have lapsed, and lapsed ones whose hold has expired.
    void advance(base::TimePoint now);

    /// Updates the failure limit of each upstream from the failure rate of its service.
    void updateFailureLimits(base::TimePoint now);

    /// All upstreams of a service, including unusable ones. The reference is valid until the next change of the table.
    const std::vector<Pointer> &ofService(std::string_view service) const;

    /// True if the upstream may get requests, now or once it is no longer quiet.
    bool usable(const Upstream &upstream) const
    {
        return !upstream.outOfService.any();
    }

    /// Records that the upstream has announced in a response that it leaves. It gets no requests until it starts anew, whatever
    /// discovery reports.
    void leavingAnnounced(Upstream &upstream, base::TimePoint now);

    /// Records that an upstream has announced to another instance that it leaves. Unknown runs are remembered, as their entry may
    /// arrive later.
    /// @param run `Upstream::run` of the upstream
    void applyLeavingNotice(std::uint64_t run, base::TimePoint now);

    /// Runs that were learned to be leaving within the last `leavingNoticePeriod`, for the other instances.
    /// @param maximum maximum number of runs; the latest ones are kept
    std::vector<std::uint64_t> leavingNotices(std::size_t maximum, base::TimePoint now) const;

    /// Records that the upstream asked this instance for no requests for a time. Times that overlap end with the later one. The time also
    /// applies if the entry lapses and returns, unless the upstream has started anew.
    void quietRequested(Upstream &upstream, base::Duration duration, base::TimePoint now);

    /// True if the upstream has asked for no requests now.
    bool quiet(const Upstream &upstream, base::TimePoint now) const
    {
        return now < upstream.quietUntil;
    }

    /// True if the upstream is avoided because of failures. It still gets trial requests at intervals.
    bool avoided(const Upstream &upstream, base::TimePoint now) const;

    /// True if an avoided upstream may get a trial request now.
    bool trialDue(const Upstream &upstream, base::TimePoint now) const;

    /// Estimated number of requests at the upstream, from all instances.
    double load(const Upstream &upstream, base::TimePoint now) const;

    /// True if a recent load report of the upstream is known.
    bool loadKnown(const Upstream &upstream, base::TimePoint now) const;

    /// Expected factor by which work at the upstream takes longer than usual at a time; 1 if the service does not report speeds.
    double speedFactor(const Upstream &upstream, base::TimePoint at) const
    {
        return upstream.speed.factor(*upstream.speedVariation, at);
    }

    /// True if an upstream has reported the speed of its machine, to this instance or another.
    bool speedsReported() const
    {
        return m_speedsReported;
    }

    /// Records that this instance sends a request to the upstream.
    void requestSent(Upstream &upstream, base::TimePoint now);

    /// Records the load that the upstream reported in a response to this instance.
    void applyReportedLoad(Upstream &upstream, const ReportedLoad &reported, base::TimePoint now);

    /// Returns the loads that upstreams have reported to this instance since the last call, latest first.
    /// @param maximum maximum number of observations; older ones are dropped
    std::vector<LoadObservation> takeLoadObservations(std::size_t maximum, base::TimePoint now);

    /// Records the load that an upstream reported to another instance. Observations of unknown upstreams and outdated ones are
    /// ignored.
    void applyLoadObservation(const LoadObservation &observation, base::TimePoint now);

    /// Records that the upstream has reset a connection of this instance right after it was established.
    /// @param delay time from the establishment to the reset
    void connectionReset(Upstream &upstream, base::Duration delay, base::TimePoint now) const;

    /// Records a response on a new connection.
    void connectionServed(Upstream &upstream) const
    {
        upstream.connectionBackOff.pause = {};
    }

    /// True if a new connection to the upstream would probably be reset: after a recent reset, or because its queue is long.
    /// @param connectionLimit maximum number of connections of this instance to an upstream of the service
    bool connectionRestrained(const Upstream &upstream, std::size_t connectionLimit, base::TimePoint now) const;

    /// Load limits of new connections that are in force, for the other instances.
    std::vector<ConnectionLoadLimit> connectionLoadLimits(std::size_t maximum, base::TimePoint now) const;

    /// Records a load limit that another instance has learned; ignored for unknown services.
    void applyConnectionLoadLimit(const ConnectionLoadLimit &limit, base::TimePoint now);

    /// Records the end of an attempt.
    /// @param took duration of the attempt
    /// @param loadBefore estimated load of the upstream when the request was sent
    void attemptEnded(Upstream &upstream, AttemptVerdict verdict, base::Duration took, double loadBefore, base::TimePoint now) const;

    std::size_t size() const
    {
        return m_upstreams.size();
    }

    /// Increases with each change of the set of upstreams or of their usability, so that callers can detect outdated copies.
    std::uint64_t version() const
    {
        return m_version;
    }

    const std::set<std::string, std::less<>> &evacuated() const
    {
        return m_evacuated;
    }

private:
    void erase(const std::string &id);
    /// Remembers a leaving run; returns whether it was new.
    bool rememberLeaving(std::uint64_t run, base::TimePoint now);
    /// Marks all but the latest upstream at the address as superseded.
    void registerAddress(const Pointer &upstream);
    void applySpeed(Upstream &upstream, std::optional<std::uint32_t> percent, base::TimePoint reportedAt);
    /// Adds a report to the moving average of the load of other instances.
    void averageLoad(Upstream &upstream, double others, base::TimePoint reportedAt, base::TimePoint now) const;
    /// Decays `attempts` and `failures` to the current time.
    void decay(Upstream &upstream, base::TimePoint now) const;

    UpstreamTableOptions m_options;
    std::map<std::string, std::string, std::less<>> m_regions;
    std::map<std::string, base::Duration, std::less<>> m_warmUp; ///< by service
    std::map<std::string, Pointer, std::less<>> m_upstreams; ///< by id
    std::map<std::string, std::vector<Pointer>, std::less<>> m_services;
    std::map<std::string, std::shared_ptr<SpeedVariation>, std::less<>> m_speedVariations; ///< by service
    std::map<std::string, std::shared_ptr<ConnectionRestraint>, std::less<>> m_connectionRestraints; ///< by service
    std::unordered_map<std::uint64_t, Pointer> m_byHash; ///< the same upstreams by `Upstream::hash`
    std::unordered_map<std::uint64_t, Pointer> m_byRun; ///< the same upstreams by `Upstream::run`
    std::map<std::uint64_t, base::TimePoint> m_quietRuns; ///< end of the pause by `Upstream::run`; at most one for each upstream that asked within an hour
    std::unordered_map<std::uint64_t, base::TimePoint> m_leavingRuns; ///< when each leaving run was learned of
    std::deque<std::uint64_t> m_leavingOrder; ///< the runs of `m_leavingRuns`, oldest first
    std::unordered_map<std::string, Pointer> m_byAddress; ///< the upstream started last at each address, of configured services only
    std::uint64_t m_version{};
    bool m_speedsReported = false;
    bool m_removalsPending = false; ///< whether some entries may have `removeAt`
    base::TimePoint m_observationsTakenAt;
    std::set<std::string, std::less<>> m_evacuated;
    bool m_sourceAvailable = false;
    base::TimePoint m_sourceAvailableSince;
};

} // namespace trefoilstile::ingress
