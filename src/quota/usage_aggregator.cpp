// Sums of use, and reservations for silent members and failure domains.

#include "trefoilstile/quota/usage_aggregator.hpp"

#include <cmath>

namespace trefoilstile::quota
{

namespace
{

/// The sums are computed at most this often, however many members report.
constexpr base::Duration s_refreshPeriod = std::chrono::milliseconds(50);

/// Time without a message after which a sender is overdue; one and a half periods of its reports.
constexpr base::Duration s_overdue = std::chrono::milliseconds(450);

/// Shortest time between two messages from which the growth of a demand is taken, and the longest for which it is continued.
constexpr base::Duration s_growthTime = std::chrono::milliseconds(100);
constexpr base::Duration s_growthEnd = std::chrono::seconds(1);

/// The shares of senders are computed at least this often.
constexpr base::Duration s_shareAge = std::chrono::milliseconds(300);

/// A use below this fraction of the target is passed on less often, and changes of it at once only above the second fraction.
constexpr double s_watchedUse = 0.5;
constexpr double s_noticedUse = 0.3;
constexpr base::Duration s_slowAnnouncement = std::chrono::milliseconds(1'500);

/// True if a change of use is beyond what random arrivals cause.
bool isMuch(double change, double target)
{
    constexpr double part = 0.03;
    return std::abs(change) > std::max(part * target, 2 * std::sqrt(target));
}

} // namespace

UsageAggregator::UsageAggregator(QuotaOptions options, std::string failureDomain)
    : m_options(options)
    , m_domain(std::move(failureDomain))
    , m_slotTime(options.window / s_slots)
{
}

void UsageAggregator::setAccounts(std::span<const AccountQuota> accounts)
{
    m_limits.clear();
    for (const AccountQuota &quota : accounts) {
        if (quota.requestsPerSecond > 0 && m_options.window > base::Duration::zero()) {
            const WindowLimits limits(quota, m_options);
            const auto [entry, added] = m_limits.emplace(accountId(quota.name), limits);
            if (!added && limits.granted < entry->second.granted) {
                entry->second = limits;
            }
        }
    }
    std::erase_if(m_sums, [this](const auto &entry) {
        return !m_limits.contains(entry.first);
    });
    for (auto &[id, sum] : m_sums) {
        sum.target = m_limits.at(id).target;
    }
    m_refreshedAt = base::TimePoint();
}

void UsageAggregator::applyTo(Source &source, const UsageMessage &message, base::TimePoint now) const
{
    source.number = std::max(source.number, message.number);
    source.peerAddress = message.peerAddress;
    source.heardAt = now;
    for (const AccountUsage &usage : message.usages) {
        Record &record = source.records[usage.account];
        if (message.number < record.number) {
            continue;
        }
        record.slots = SlotCounts(usage.slots, now); // `summed` stays until the next sums
        record.missing = record.kept.missingFrom(record.slots, m_slotTime);
        const double demand = static_cast<double>(usage.demand);
        if (const base::Duration since = now - record.receivedAt; since >= s_growthTime) {
            record.demandGrowth = since <= s_slowAnnouncement ? (demand - record.demand) / base::toSeconds(since) : 0;
        }
        record.demand = demand;
        record.reserved = static_cast<double>(usage.reserved);
        record.number = message.number;
        record.receivedAt = now;
    }
}

void UsageAggregator::apply(const UsageMessage &message, base::TimePoint now)
{
    // After a suspension, messages that waited are as good as none.
    const bool continued = m_lastMessageAt && now - *m_lastMessageAt <= m_options.newsLifetime;
    m_firstMessageAt = continued ? m_firstMessageAt : now;
    m_lastMessageAt = now;
    if (m_refreshedAt && now - *m_refreshedAt > s_shareAge) {
        refresh(now); // also where no replies are sent, so that the shares are known when senders fall silent
    }
    const bool member = message.kind == UsageKind::Member;
    if (message.kind == UsageKind::Reply || member != (message.failureDomain == m_domain)) {
        return;
    }
    Source &source = member ? m_sources[message.sender] : m_domains[message.failureDomain];
    if (source.incarnation == message.incarnation) {
        // Parts of one message have the same number. A message that arrives late by more than one period has nothing new.
        if (message.number + 1 >= source.number) {
            applyTo(source, message, now);
        }
        return;
    }
    if (member) {
        // The attempts of the former incarnation have run and stay in the window; its share passes to the new one.
        for (auto &[id, record] : source.records) {
            Record successor;
            successor.former = record.former;
            successor.former.add(record.slots, m_slotTime, now);
            successor.formerDemand = std::max(record.demand, record.formerDemand);
            successor.formerUntil = now + m_options.window;
            successor.receivedAt = now;
            record = successor;
        }
    } else {
        // Another aggregator of the same failure domain: its numbers are unrelated to those of the former one, and its sums may lack the
        // attempts of members that were lost together with the former one.
        for (auto &[id, record] : source.records) {
            record.number = 0;
            record.kept = record.slots;
            record.kept.add(record.missing, m_slotTime, record.slots.takenAt());
        }
    }
    source.incarnation = message.incarnation;
    source.sender = message.sender;
    source.number = 0;
    applyTo(source, message, now);
}

double UsageAggregator::currentDemand(const Source &source, const Record &record, base::TimePoint now) const
{
    const double former = now < record.formerUntil ? record.formerDemand : 0;
    if (now - source.heardAt > m_options.newsLifetime) {
        return std::max(record.demand, former); // callers may still reach the silent sender
    }
    // An account is reported again when it has new requests. Decreasing its demand before would give the others too much.
    const base::Duration age = std::max(base::Duration::zero(), now - record.receivedAt - s_slowAnnouncement);
    return std::max(former, record.demand * std::max(0.0, 1 - base::toSeconds(age) / base::toSeconds(m_options.window)));
}

void UsageAggregator::addSource(Source &source, bool member, base::TimePoint now)
{
    const bool silent = now - source.heardAt > m_options.newsLifetime;
    // Until a sender is considered silent, its use is assumed to go on.
    const bool overdue = !silent && now - source.heardAt > s_overdue;
    for (auto &[id, record] : source.records) {
        auto found = m_sums.find(id);
        if (found == m_sums.end()) {
            const auto limits = m_limits.find(id);
            if (limits == m_limits.end()) {
                continue;
            }
            found = m_sums.try_emplace(id).first;
            found->second.target = limits->second.target;
        }
        Sum &sum = found->second;
        record.summed = record.slots;
        const double used = record.slots.total(m_slotTime, now);
        const double reserved = record.reserved + (silent ? std::max(0.0, record.share * sum.target - used) : 0);
        SlotCounts &slots = member ? sum.slots : sum.otherSlots;
        slots.add(record.slots, m_slotTime, now);
        if (member && now < record.formerUntil) {
            slots.add(record.former, m_slotTime, now);
        } else if (!member) {
            slots.add(record.missing, m_slotTime, now);
            sum.missing += record.missing.total(m_slotTime, now);
        }
        if (overdue) {
            slots.addLatest(record.slots.latest(s_slots) / s_slots, static_cast<std::size_t>((now - source.heardAt) / m_slotTime));
        }
        if (member) {
            sum.demand += currentDemand(source, record, now);
        } else {
            // Shares compare the demand of all failure domains at one time, that of the last announcement of this one.
            const base::Duration since = announced(sum, now) ? sum.announcedAt - record.receivedAt : now - record.receivedAt;
            const double growth = silent ? 0 : record.demandGrowth * base::toSeconds(std::clamp<base::Duration>(since, -s_growthEnd, s_growthEnd));
            record.announcedDemand = std::max(0.0, currentDemand(source, record, now) + growth);
            sum.otherDemand += record.announcedDemand;
        }
        (member ? sum.reserved : sum.otherReserved) += reserved;
    }
}

void UsageAggregator::forgetSilent(Sources &sources, base::TimePoint now) const
{
    std::erase_if(sources, [&](const auto &entry) {
        return now - entry.second.heardAt > m_options.holdTime + m_options.holdMargin;
    });
    for (auto &[name, source] : sources) {
        const bool silent = now - source.heardAt > m_options.newsLifetime;
        std::erase_if(source.records, [&](const auto &entry) {
            return !silent && now - entry.second.receivedAt > m_options.window + m_options.newsLifetime;
        });
    }
}

void UsageAggregator::refresh(base::TimePoint now)
{
    if (m_refreshedAt && now - *m_refreshedAt < s_refreshPeriod) {
        return;
    }
    m_refreshedAt = now;
    if (m_firstMessageAt && now - *m_firstMessageAt > 2 * m_options.newsLifetime && !hearsHalf(now)) {
        m_firstMessageAt = now; // when contact is back, the senders need time to report as after a start
    }
    forgetSilent(m_sources, now);
    forgetSilent(m_domains, now);
    for (auto &[id, sum] : m_sums) {
        const Sum fresh{sum.target, {}, 0, 0, sum.announcedDemand, sum.announcedUse, {}, 0, 0, 0, sum.announcedAt};
        sum = fresh;
    }
    for (auto &[name, source] : m_sources) {
        addSource(source, true, now);
    }
    for (auto &[name, source] : m_domains) {
        addSource(source, false, now);
    }
    std::erase_if(m_sums, [&](const auto &entry) {
        const Sum &sum = entry.second;
        return sum.demand + sum.otherDemand + sum.reserved + sum.otherReserved == 0 && sum.slots.total(m_slotTime, now) == 0;
    });
    updateShares(now);
}

bool UsageAggregator::watched(const Sum &sum, double target) const
{
    const double used = sum.slots.latest(s_slots) + sum.otherSlots.latest(s_slots) + sum.reserved + sum.otherReserved;
    return std::max(used, sum.demand + sum.otherDemand) > s_watchedUse * target;
}

std::vector<AccountUsage> UsageAggregator::usagesFor(const std::string &member, const UsageMessage *report, base::TimePoint now)
{
    refresh(now);
    Source &receiver = m_sources[member];
    std::vector<AccountUsage> usages;
    const auto add = [&](AccountId id, Sum &sum) {
        const double target = sum.target;
        SlotCounts others = sum.slots;
        others.add(sum.otherSlots, m_slotTime, std::max(sum.slots.takenAt(), sum.otherSlots.takenAt()));
        const auto own = receiver.records.find(id);
        if (own != receiver.records.end()) {
            others.subtract(own->second.summed, m_slotTime, others.takenAt());
        }
        const double share = shareOf(receiver, own == receiver.records.end() ? nullptr : &own->second, sum, target, now);
        const double reserved = sum.reserved + sum.otherReserved + reservedForUnknown(target);
        usages.push_back({id,
            static_cast<std::uint64_t>(std::llround(sum.demand + sum.otherDemand)),
            others.slots(),
            static_cast<std::uint64_t>(std::llround(reserved)),
            static_cast<std::uint32_t>(std::clamp(share, 0.0, 1.0) * 1e6)});
    };
    for (auto &[id, sum] : m_sums) {
        const double target = sum.target;
        const double used = sum.slots.latest(s_slots) + sum.otherSlots.latest(s_slots) + sum.reserved + sum.otherReserved;
        const bool limited = report != nullptr && sum.demand + sum.otherDemand > target;
        const bool reported =
            report != nullptr && !limited && std::any_of(report->usages.begin(), report->usages.end(), [account = id](const AccountUsage &usage) {
                return usage.account == account;
            });
        const bool noticed = used > s_noticedUse * target;
        if (!limited && !reported && !noticed) {
            continue;
        }
        double &told = receiver.told[id];
        if (limited || reported || isMuch(used - told, target)) {
            add(id, sum);
            told = used;
        }
    }
    return usages;
}

std::vector<AccountUsage> UsageAggregator::domainUsages(base::TimePoint now)
{
    m_refreshedAt.reset();
    refresh(now);
    std::vector<AccountUsage> usages;
    for (auto &[id, sum] : m_sums) {
        const bool empty = sum.demand + sum.reserved == 0 && sum.slots.total(m_slotTime, now) == 0;
        const double target = sum.target;
        const bool due = watched(sum, target) || hasChanged(sum, target) || now - sum.announcedAt >= s_slowAnnouncement;
        if (empty || !due) {
            continue;
        }
        sum.announcedDemand = 0;
        for (auto &[name, source] : m_sources) {
            if (const auto record = source.records.find(id); record != source.records.end()) {
                record->second.announcedDemand = currentDemand(source, record->second, now);
                sum.announcedDemand += record->second.announcedDemand;
            }
        }
        sum.announcedUse = sum.slots.latest(s_slots);
        sum.announcedAt = now;
        usages.push_back(
            {id, static_cast<std::uint64_t>(std::llround(sum.demand)), sum.slots.slots(), static_cast<std::uint64_t>(std::llround(sum.reserved)), 0});
    }
    return usages;
}

bool UsageAggregator::hasChanged(const Sum &sum, double target) const
{
    const double used = sum.slots.latest(s_slots);
    const bool noticed = used + sum.otherSlots.latest(s_slots) > s_noticedUse * target;
    return noticed && isMuch((used - sum.announcedUse) * static_cast<double>(m_domains.size() + 1), target);
}

bool UsageAggregator::changedMuch(base::TimePoint now)
{
    refresh(now);
    return std::any_of(m_sums.begin(), m_sums.end(), [this](const auto &entry) {
        return hasChanged(entry.second, entry.second.target);
    });
}

bool UsageAggregator::ready(base::TimePoint now) const
{
    if (!m_firstMessageAt || now - *m_firstMessageAt < m_options.newsLifetime) {
        return false;
    }
    return hearsHalf(now);
}

bool UsageAggregator::hearsHalf(base::TimePoint now) const
{
    const auto reporting = std::count_if(m_sources.begin(), m_sources.end(), [&](const auto &entry) {
        return now - entry.second.heardAt <= m_options.newsLifetime;
    });
    return 2 * static_cast<std::size_t>(reporting) >= m_domainMembers;
}

} // namespace trefoilstile::quota
