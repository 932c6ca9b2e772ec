#include "trefoilstile/proxy/load_reports.hpp"

namespace trefoilstile::proxy
{

namespace
{

constexpr std::size_t s_maximumLoads = 45; ///< fits into one datagram together with `s_maximumLeaving`
constexpr std::size_t s_maximumLoadsWithSpeed = 36; ///< the same where upstreams report their speed
constexpr std::size_t s_maximumLeaving = 25;
constexpr std::size_t s_maximumLimits = 2; ///< services; deployments have one or two

} // namespace

FleetReport takeLoadReport(EntryCore &core, base::TimePoint now)
{
    FleetReport report;
    report.loads = core.upstreamTable.takeLoadObservations(core.upstreamTable.speedsReported() ? s_maximumLoadsWithSpeed : s_maximumLoads, now);
    report.leavingRuns = core.upstreamTable.leavingNotices(s_maximumLeaving, now);
    report.connectionLimits = core.upstreamTable.connectionLoadLimits(s_maximumLimits, now);
    return report;
}

void applyLoadReport(EntryCore &core, const FleetReport &report, base::TimePoint now)
{
    for (const ingress::LoadObservation &load : report.loads) {
        core.upstreamTable.applyLoadObservation(load, now);
    }
    for (const std::uint64_t run : report.leavingRuns) {
        core.upstreamTable.applyLeavingNotice(run, now);
    }
    for (const ingress::ConnectionLoadLimit &limit : report.connectionLimits) {
        core.upstreamTable.applyConnectionLoadLimit(limit, now);
    }
}

} // namespace trefoilstile::proxy
