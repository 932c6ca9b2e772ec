// What an entry instance believes of each upstream: whether it may be used, how busy it is, how it has behaved.
//
// Discovery reports come late, and entries lapse while their source is away, so a removal is only believed at once if
// the source has been in reach. Load is the upstream's own figure, corrected by what this instance has sent since.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
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
#include "trefoilstile/ingress/warm_keys.hpp"

namespace trefoilstile::ingress
{

/// One upstream as discovery reports it.
struct UpstreamReport {
    std::string id; ///< of one run of the upstream, unless it starts again under the same one; see `startedAt`
    std::string service;
    std::string address; ///< `IP:port`
    std::string failureDomain;
    std::uint32_t slots = 1; ///< requests worked on at the same time
    bool draining = false; ///< takes no new work and ends soon
    base::Duration warmUpLeft{}; ///< at the time of the report
    std::int64_t startedAt{}; ///< identifies the run of the process; Unix milliseconds by the upstream's clock
};

/// Load as an upstream states it in a response.
struct ReportedLoad {
    std::uint32_t running{};
    std::uint32_t waiting{};
    std::uint32_t slots{};
};

/// Load of an upstream as it stated it to one instance, for the others.
struct LoadObservation {
    std::uint64_t upstream{}; ///< hash of its id, `Upstream::hash`
    std::uint32_t busy{}; ///< running and waiting requests
    std::uint32_t slots{};
    base::Duration age{};
};

/// What an attempt says about its upstream.
enum class AttemptVerdict : std::uint8_t {
    Served, ///< a whole response of the upstream
    Shed, ///< refused for lack of room; the request has not run
    Unreachable, ///< no connection; nothing was sent
    Broken, ///< the connection failed, or the response was cut or spoiled
    TimedOut, ///< no response in the time given
    Cancelled, ///< ended by the caller; says nothing
    Misdirected, ///< another upstream has the address
};

struct UpstreamTableOptions {
    /// After the source returns, lapsed entries are back within 2 s; the rest allows for delivery.
    base::Duration lapseHold = std::chrono::milliseconds(2'200);
    /// The same when no outage of the source was noticed: a question that waits for changes does not show a short one. Below
    /// the 2 s after which a removed upstream must get nothing.
    base::Duration unnoticedLapseHold = std::chrono::milliseconds(1'600);
    /// Part of all entries that must be missing for them to count as lapsed: an outage of the source silences all upstreams,
    /// while an instance that was cut off alone misses only those that have left since.
    double lapsedShare = 0.34;
    /// Cold time assumed beyond what a report says, for the delay of the report.
    base::Duration warmUpMargin = std::chrono::milliseconds(300);
    /// Time constant of the failure rate: a grey upstream is noticed within a second at some requests a second.
    base::Duration failureMemory = std::chrono::seconds(3);
    /// Failure rate from which an upstream is avoided: three times the share of failures of a sound one is far below.
    double failureLimit = 0.35;
    /// Where the whole service fails, an upstream is avoided only if it fails this many times as often as the mean: leaving out
    /// the rest would put all load on the few that are tried.
    double failureLimitOfMean = 1.5;
    double highestFailureLimit = 0.9; ///< an upstream that fails nearly everything is avoided whatever the others do
    double failureEvidence = 2.5; ///< decayed number of attempts that the rate must rest on
    base::Duration probation = std::chrono::milliseconds(1'000); ///< between trial requests to an avoided upstream
    base::Duration unreachablePause = std::chrono::milliseconds(500); ///< after a refused connection; doubles up to the longest
    /// After another upstream answered at the address: the entry outlives its upstream by some heartbeats.
    base::Duration misdirectedPause = std::chrono::seconds(8);
    base::Duration longestPause = std::chrono::seconds(4); ///< bounded, since an upstream may return unannounced
    /// Weight of the newest service time in the moving average.
    double serviceTimeWeight = 0.15;
    base::Duration loadFigureLifetime = std::chrono::seconds(3); ///< older figures say nothing; own requests still count
    /// Time constant of the average of stated loads. A single figure is out of date when it arrives at other requests:
    /// slots turn over several times between two figures.
    base::Duration loadMemory = std::chrono::milliseconds(600);
};

/// Options for a bound on the time after which an upstream that is reported as leaving or gone gets no request.
inline UpstreamTableOptions upstreamTableOptions(base::Duration leavingBound)
{
    UpstreamTableOptions options;
    // A fifth of the bound is left for the report to arrive.
    options.unnoticedLapseHold = std::min(options.unnoticedLapseHold, leavingBound * 4 / 5);
    return options;
}

/// State of one upstream. Owned by the book; requests in flight share it.
struct Upstream {
    UpstreamReport report;
    std::string region;
    std::uint64_t hash{}; ///< of the id, for placement
    base::TimePoint coldUntil; ///< takes only a limited rate until then
    bool gone = false; ///< removed from the book; nothing may be sent any more
    bool superseded = false; ///< another upstream has registered with its address since
    std::optional<base::TimePoint> removeAt; ///< lapsed: gone unless it is reported again by then

    std::uint32_t outstanding{}; ///< requests of this instance at it
    std::uint32_t openConnections{}; ///< of this instance
    ReportedLoad load; ///< last one stated to this instance
    base::TimePoint loadUpdatedAt; ///< when the newest figure was stated, to this instance or another
    base::TimePoint statedAt; ///< when `load` was stated to this instance
    double othersLoad{}; ///< moving average of the stated load without own requests
    double serviceSeconds{}; ///< moving average of the time in a slot; 0: nothing known
    WarmKeys warmKeys;

    double attempts{}; ///< decayed
    double failures{}; ///< decayed; at most `attempts`
    std::optional<double> failureLimit; ///< rate from which it is avoided, by the rate of its service; empty: not measured yet
    base::TimePoint decayedAt;
    base::TimePoint avoidUntil; ///< no request before, unless all others are avoided too
    base::Duration pause{}; ///< last pause after failing to connect; 0 after a success
    base::TimePoint lastTrial;
    bool loggedAsAvoided = false; ///< the last line of the log about it says that it is avoided
};

class UpstreamTable
{
public:
    using Pointer = std::shared_ptr<Upstream>;

    explicit UpstreamTable(UpstreamTableOptions options = {})
        : m_options(options)
    {
    }

    /// Region of each failure domain. An upstream of an unknown one has an empty region.
    void setRegions(std::map<std::string, std::string, std::less<>> regions)
    {
        m_regions = std::move(regions);
        ++m_version;
    }

    /// Services of the configuration in effect; they tell how long a new upstream is cold.
    void setServices(const Configuration &configuration);

    /// Takes a report. True if it changed what is believed.
    bool report(const UpstreamReport &report, base::TimePoint now);

    /// The entry is gone. Believed by the next `advance`, unless it seems to have lapsed with many others in an outage of the
    /// source; then after the hold.
    void remove(std::string_view id, base::TimePoint now);

    /// The source answers, or does not. While it does not, removals wait.
    void setSourceAvailable(bool available, base::TimePoint now);

    /// Failure domains whose upstreams get nothing.
    void setEvacuated(std::set<std::string, std::less<>> domains, base::TimePoint now);

    /// Removes what has lapsed.
    void advance(base::TimePoint now);

    /// Sets the limits of failure by how often each service fails.
    void updateFailureLimits(base::TimePoint now);

    /// All upstreams of a service, unusable ones included; stable until the next change.
    const std::vector<Pointer> &ofService(std::string_view service) const;

    /// May get requests: reported ready, in no evacuated failure domain.
    bool usable(const Upstream &upstream) const
    {
        return !upstream.gone && !upstream.superseded && !upstream.report.draining && !m_evacuated.contains(upstream.report.failureDomain);
    }

    /// Avoided because of failures; gets a trial request now and then.
    bool avoided(const Upstream &upstream, base::TimePoint now) const;

    /// True if an avoided upstream may get a trial request now.
    bool trialDue(const Upstream &upstream, base::TimePoint now) const;

    /// Requests at the upstream, of all instances as far as known.
    double load(const Upstream &upstream, base::TimePoint now) const;

    /// The upstream has stated its load of late.
    bool loadKnown(const Upstream &upstream, base::TimePoint now) const;

    void requestSent(Upstream &upstream, base::TimePoint now);
    void applyReportedLoad(Upstream &upstream, const ReportedLoad &figure, base::TimePoint now) const;

    /// What upstreams have stated to this instance since the last call, the newest first, at most `most`.
    std::vector<LoadObservation> takeLoadObservations(std::size_t most, base::TimePoint now);

    /// Another instance passes on what an upstream stated to it.
    void applyLoadObservation(const LoadObservation &news, base::TimePoint now);

    /// @param took time of the attempt
    /// @param loadBefore believed load when it was sent
    void attemptEnded(Upstream &upstream, AttemptVerdict verdict, base::Duration took, double loadBefore, base::TimePoint now) const;

    std::size_t size() const
    {
        return m_upstreams.size();
    }

    /// Raised with each change of which upstreams there are or may be used, so that readers can tell whether to look again.
    std::uint64_t version() const
    {
        return m_version;
    }

    const std::set<std::string, std::less<>> &evacuated() const
    {
        return m_evacuated;
    }

private:
    void drop(const std::string &id);
    void noteAddress(const Pointer &upstream);
    void averageLoad(Upstream &upstream, double others, base::TimePoint statedAt, base::TimePoint now) const;
    void decay(Upstream &upstream, base::TimePoint now) const;

    UpstreamTableOptions m_options;
    std::map<std::string, std::string, std::less<>> m_regions;
    std::map<std::string, base::Duration, std::less<>> m_warmUp; ///< by service
    std::map<std::string, Pointer, std::less<>> m_upstreams; ///< by id
    std::map<std::string, std::vector<Pointer>, std::less<>> m_services;
    std::unordered_map<std::uint64_t, Pointer> m_byHash; ///< the same upstreams by `Upstream::hash`
    std::unordered_map<std::string, Pointer> m_byAddress; ///< the one started last at each address, of known services
    std::uint64_t m_version{};
    bool m_anyMissing = false; ///< some entries may have `removeAt`
    base::TimePoint m_newsTakenAt;
    std::set<std::string, std::less<>> m_evacuated;
    bool m_available = false;
    base::TimePoint m_availableSince;
};

} // namespace trefoilstile::ingress
