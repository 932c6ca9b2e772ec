// Shares of members and failure domains in the quotas.

#include "trefoilstile/quota/usage_aggregator.hpp"

namespace trefoilstile::quota
{

namespace
{

/// Demand that is added in equal parts for all instances when shares are computed, as a fraction of the target. Without it, the only
/// instance that saw a request of a quiet account would have the whole quota as its share, and all others would reserve it. It falls to
/// zero as the demand rises to `s_evenEnd`, so that instances with most of the callers get their whole part of the quota.
constexpr double s_evenDemand = 0.3;
constexpr double s_evenEnd = 0.6;

double evenDemand(double demand, double target)
{
    return s_evenDemand * target * std::max(0.0, 1 - demand / (s_evenEnd * target));
}

} // namespace

void UsageAggregator::updateShares(base::TimePoint now)
{
    const auto update = [&](Sources &sources, auto share) {
        for (auto &[name, source] : sources) {
            if (now - source.heardAt > m_options.newsLifetime) {
                continue; // keeps the share that the silent sender may still use
            }
            for (auto &[id, record] : source.records) {
                if (const auto sum = m_sums.find(id); sum != m_sums.end()) {
                    record.share = share(source, record, sum->second, sum->second.target);
                }
            }
        }
    };
    update(m_sources, [&](const Source &source, const Record &record, const Sum &sum, double target) {
        return shareOf(source, &record, sum, target, now);
    });
    update(m_domains, [&](const Source &source, const Record &record, const Sum &sum, double target) {
        // The growth of small demands is mostly chance, and a share that falls silent is reserved for long.
        const bool limited = sum.demand + sum.otherDemand > target;
        return domainShareOf(limited ? record.announcedDemand : currentDemand(source, record, now), sum, target, now);
    });
}

double UsageAggregator::remainingPart(const Sum &sum, double target)
{
    return std::max(0.0, 1 - sum.missing / target);
}

double UsageAggregator::shareOf(const Source &source, const Record *record, const Sum &sum, double target, base::TimePoint now) const
{
    // The other failure domains know the demand of this one as it was announced. Using the same figures, also for each member, keeps the
    // sum of all shares near 1 while demand changes. Otherwise the latest figure of the receiver would be divided by older ones of others.
    const bool isAnnounced = announced(sum, now);
    const double known = isAnnounced ? sum.announcedDemand : sum.demand;
    const double even = evenDemand(known + sum.otherDemand, target);
    double demand = 0;
    if (record != nullptr) {
        demand = isAnnounced ? record->announcedDemand : currentDemand(source, *record, now);
    }
    const double part = (demand + even / static_cast<double>(m_members)) / std::max(1.0, known + sum.otherDemand + even);
    // A new incarnation gets what the attempts of the former one leave of its share.
    const double former = record != nullptr && now < record->formerUntil ? record->former.total(m_slotTime, now) / target : 0;
    return std::max(0.0, remainingPart(sum, target) * part - former);
}

double UsageAggregator::domainShareOf(double demand, const Sum &sum, double target, base::TimePoint now) const
{
    const double known = announced(sum, now) ? sum.announcedDemand : sum.demand;
    const double even = evenDemand(known + sum.otherDemand, target);
    const double otherMembers = static_cast<double>(m_members - std::min(m_members, m_sources.size()));
    const double members = otherMembers / static_cast<double>(std::max<std::size_t>(1, m_domains.size()));
    const double part = (demand + even * members / static_cast<double>(m_members)) / std::max(1.0, known + sum.otherDemand + even);
    return remainingPart(sum, target) * part;
}

double UsageAggregator::reservedForUnknown(double target) const
{
    const std::size_t unknown = m_otherDomains - std::min(m_otherDomains, m_domains.size());
    return target * static_cast<double>(unknown) / static_cast<double>(m_otherDomains + 1);
}

} // namespace trefoilstile::quota
