// Orders of the baselines.

#include "baselines.hpp"

#include <algorithm>

#include "trefoilstile/base/random.hpp"

namespace trefoilstile::bench::placement
{

using ingress::PlacementOutcome;
using ingress::PlacementResult;

double Baseline::loadPerSlot(const ingress::Upstream &upstream, base::TimePoint now) const
{
    return m_upstreamTable.load(upstream, now) / std::max(1U, upstream.report.slots);
}

std::vector<Baseline::Pointer> Baseline::withRoom(const ingress::PlacementRequest &request, base::TimePoint now) const
{
    constexpr double most = 3; // requests per slot: queues of upstreams hold three times their slots
    std::vector<Pointer> own;
    std::vector<Pointer> all;
    for (const Pointer &upstream : m_upstreamTable.ofService(request.service)) {
        const bool tried = std::find(request.excluded.begin(), request.excluded.end(), upstream.get()) != request.excluded.end();
        const bool sound = m_upstreamTable.usable(*upstream) && (!m_upstreamTable.avoided(*upstream, now) || m_upstreamTable.trialDue(*upstream, now));
        if (!tried && sound && loadPerSlot(*upstream, now) < most) {
            all.push_back(upstream);
            if (upstream->region == m_region && loadPerSlot(*upstream, now) < 1) {
                own.push_back(upstream);
            }
        }
    }
    return own.empty() ? all : own;
}

PlacementResult Baseline::take(const ingress::PlacementRequest &, const Pointer &upstream, base::TimePoint now) const
{
    PlacementResult result;
    result.outcome = PlacementOutcome::Chosen;
    result.upstream = upstream;
    result.load = m_upstreamTable.load(*upstream, now);
    return result;
}

namespace
{

PlacementResult noRoom()
{
    PlacementResult result;
    result.outcome = PlacementOutcome::NoRoom;
    result.retryAfter = std::chrono::milliseconds(300);
    return result;
}

} // namespace

PlacementResult RoundRobin::choose(const ingress::PlacementRequest &request, const ingress::Configuration &, base::TimePoint now)
{
    const auto upstreams = withRoom(request, now);
    return upstreams.empty() ? noRoom() : take(request, upstreams[m_next++ % upstreams.size()], now);
}

PlacementResult LeastLoad::choose(const ingress::PlacementRequest &request, const ingress::Configuration &, base::TimePoint now)
{
    const auto upstreams = withRoom(request, now);
    if (upstreams.empty()) {
        return noRoom();
    }
    return take(request,
        *std::min_element(upstreams.begin(),
            upstreams.end(),
            [&](const auto &left, const auto &right) {
                return loadPerSlot(*left, now) < loadPerSlot(*right, now);
            }),
        now);
}

PlacementResult PowerOfTwoChoices::choose(const ingress::PlacementRequest &request, const ingress::Configuration &, base::TimePoint now)
{
    const auto upstreams = withRoom(request, now);
    if (upstreams.empty()) {
        return noRoom();
    }
    const Pointer &first = upstreams[base::uniformBelow(m_random, upstreams.size())];
    const Pointer &second = upstreams[base::uniformBelow(m_random, upstreams.size())];
    return take(request, loadPerSlot(*second, now) < loadPerSlot(*first, now) ? second : first, now);
}

PlacementResult PowerOfTwoByKey::choose(const ingress::PlacementRequest &request, const ingress::Configuration &, base::TimePoint now)
{
    auto upstreams = withRoom(request, now);
    if (upstreams.empty()) {
        return noRoom();
    }
    const std::size_t choices = std::min<std::size_t>(2, upstreams.size());
    std::partial_sort(upstreams.begin(), upstreams.begin() + static_cast<std::ptrdiff_t>(choices), upstreams.end(), [&](const auto &left, const auto &right) {
        return base::mixBits(request.key ^ left->hash) > base::mixBits(request.key ^ right->hash);
    });
    const bool second = choices == 2 && loadPerSlot(*upstreams[1], now) < loadPerSlot(*upstreams[0], now);
    return take(request, upstreams[second ? 1 : 0], now);
}

PlacementResult BoundedLoadHash::choose(const ingress::PlacementRequest &request, const ingress::Configuration &, base::TimePoint now)
{
    auto upstreams = withRoom(request, now);
    if (upstreams.empty()) {
        return noRoom();
    }
    std::sort(upstreams.begin(), upstreams.end(), [&](const auto &left, const auto &right) {
        return base::mixBits(request.key ^ left->hash) > base::mixBits(request.key ^ right->hash);
    });
    double load = 1;
    double slots = 0;
    for (const auto &upstream : upstreams) {
        load += m_upstreamTable.load(*upstream, now);
        slots += upstream->report.slots;
    }
    const auto fits = [&](const Pointer &upstream) {
        return m_upstreamTable.load(*upstream, now) + 1 <= std::max(1.0, 1.25 * load * upstream->report.slots / slots);
    };
    const auto found = std::find_if(upstreams.begin(), upstreams.end(), fits);
    return take(request, found == upstreams.end() ? upstreams.front() : *found, now);
}

} // namespace trefoilstile::bench::placement
