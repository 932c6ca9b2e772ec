// Limits of the gate: by the own count, the known counts of the other instances, and the own share while demand exceeds the quota.

#include "trefoilstile/quota/quota_gate.hpp"

#include <cmath>

namespace trefoilstile::quota
{

namespace
{

/// An account is limited by shares if its demand exceeds the granted requests by this part of the room up to the bound. Below, all
/// requests are admitted while the sum of the known counts is below the target, however uneven callers are.
constexpr double s_hotRoom = 0.25;

/// Accounts that are limited by lot: the attempts that leave the window within the next slots are replaced, and the difference to the
/// aim is made up within the correction time, which is twice the usual age of the news, so that the use does not oscillate.
/// The aim is this part of the room up to the bound above the granted requests. With 0.12, some accounts got less than 0.95 of their quota;
/// with 0.3, some exceeded the bound while failure domains were cut from each other (300 instances, 10 seeds).
constexpr double s_aimRoom = 0.24;
constexpr std::size_t s_expiringSlots = 1;
constexpr base::Duration s_correctionTime = std::chrono::milliseconds(1'000);

/// Least part of the instances that is assumed to respond to the same news.
constexpr double s_minimumResponding = 0.1;

/// Slots at the start of the counts of others from which their present rate is taken. On average half of the latest one has passed.
constexpr std::size_t s_rateSlots = 2;
constexpr double s_rateSlotTimes = 1.5;

/// Age of news up to which instances that are limited by lot make up for the whole difference.
constexpr base::Duration s_usualAge = std::chrono::milliseconds(400);

/// Attempts by which the mean rate of the window is weighted in the present rate, so that a few attempts in a row are not taken for one.
constexpr double s_meanWeight = 4;

/// From this many requests per window, the share of an instance is a limit of its own while the account is limited. Smaller shares are
/// kept by lot: an instance with a share of 0.4 requests cannot count up to it.
constexpr double s_countedShare = 4;

/// Attempts beyond its share that an instance may admit while demand is within the quota, because requests arrive at random and shares
/// are told late: a part of the room between target and bound, divided among the instances.
constexpr double s_toleranceRoom = 0.6;
constexpr double s_minimumTolerance = 0.7;
constexpr double s_maximumTolerance = 4;

/// Time in which an instance without news for a while comes to use its new share. Many may get news at the same moment, and know of each
/// other's attempts only by the messages after that.
constexpr base::Duration s_resumeTime = std::chrono::milliseconds(1'000);

/// An instance is limited to its share if the use would reach the target within this time at the present rate.
constexpr base::Duration s_lookAhead = std::chrono::milliseconds(800);

/// Requests that an instance which has just started admits of each account until its first news, which takes one round trip after the
/// join. Later it must assume that many instances have started at once, together with the aggregators.
constexpr double s_startAllowance = 1;
constexpr base::Duration s_firstNewsTime = std::chrono::milliseconds(200);

} // namespace

bool QuotaGate::informed(base::TimePoint now) const
{
    return m_repliedAt && now - *m_repliedAt <= m_options.newsLifetime;
}

bool QuotaGate::hot(const Account &account, base::TimePoint now) const
{
    const double threshold = account.limits.granted + s_hotRoom * (account.limits.bound - account.limits.granted);
    return account.demand > threshold && now - account.toldAt <= m_options.newsLifetime;
}

double QuotaGate::othersUse(const Account &account, base::TimePoint now) const
{
    const base::Duration age = now - account.toldAt;
    if (age >= m_options.window) {
        return account.reserved; // the counts have left the window
    }
    const double total = account.others.total(m_slotTime, now);
    const double latestRate = othersRate(account, now);
    // The latest slots miss what the other instances had not reported yet. The use of a limited account is steady, so the mean is the least.
    const double meanRate = account.others.latest(s_slots) / base::toSeconds(m_options.window);
    const double rate = hot(account, now) ? std::max(latestRate, meanRate) : latestRate;
    const double sinceThen = rate * base::toSeconds(std::min(age, m_options.newsLifetime));
    return total + sinceThen + account.reserved;
}

double QuotaGate::othersRate(const Account &account, base::TimePoint now) const
{
    const double total = account.others.total(m_slotTime, now);
    const double meanPerSecond = std::max(total, 1.0) / base::toSeconds(m_options.window);
    const double latest = account.others.latest(s_rateSlots);
    return (latest + s_meanWeight) / (s_rateSlotTimes * base::toSeconds(m_slotTime) + s_meanWeight / meanPerSecond);
}

double QuotaGate::fixedFraction(AccountId id) const
{
    base::SplitMix64 draw(base::mixBits(m_seed ^ id.value));
    return base::uniformUnit(draw);
}

double QuotaGate::isolatedLimit(const Account &account, AccountId id, base::TimePoint now) const
{
    double limit = account.limits.target / static_cast<double>(m_members);
    const bool shareHeld = account.share >= 0 && m_repliedAt && now - *m_repliedAt <= m_options.holdTime;
    if (shareHeld) {
        limit = sharedLimit(account) + isolatedTolerance(account);
    } else if (!m_repliedAt && m_startedAt && m_members > 1) {
        // A former incarnation may have used the same part, whose attempts leave the window bit by bit.
        const base::Duration running = now - *m_startedAt;
        limit *= std::min(1.0, base::toSeconds(running) / base::toSeconds(m_options.window));
        limit = running <= s_firstNewsTime ? std::max(limit, s_startAllowance) : limit;
    }
    // A limit of 0.4 requests means one request in two of five windows. The offset differs between instances, so that their sum is right.
    const std::uint64_t offset = base::mixBits(m_seed ^ id.value);
    const auto epoch = static_cast<std::uint64_t>(
        (now.time_since_epoch().count() + static_cast<std::int64_t>(offset >> 2U) % m_options.window.count()) / m_options.window.count());
    base::SplitMix64 draw(offset + epoch);
    return std::floor(limit + base::uniformUnit(draw));
}

double QuotaGate::isolatedTolerance(const Account &account) const
{
    return std::min(s_maximumTolerance, s_toleranceRoom * (account.limits.bound - account.limits.ceiling) / static_cast<double>(m_members));
}

double QuotaGate::tolerance(const Account &account) const
{
    return std::max(s_minimumTolerance, isolatedTolerance(account));
}

bool QuotaGate::withinLimits(Account &account, AccountId id, base::TimePoint now)
{
    const auto own = static_cast<double>(account.own.total(now));
    if (!informed(now)) {
        return own + 1 <= isolatedLimit(account, id, now);
    }
    if (own + 1 + othersUse(account, now) > account.limits.ceiling) {
        return false;
    }
    if (!hot(account, now)) {
        // The shares add up to the target also while demand rises faster than the news of it travel. At a rate that the quota allows for
        // good, the sum of the counts is enough, and requests within the quota are not refused because they arrive unevenly.
        const double used = own + othersUse(account, now);
        const double growth = othersRate(account, now) - used / base::toSeconds(m_options.window);
        const bool rising = used + growth * base::toSeconds(s_lookAhead) > account.limits.target;
        return !rising || account.share < 0 || own + 1 <= sharedLimit(account) + tolerance(account);
    }
    // The sum of the shares is the target, so that late news has little effect.
    double share = sharedLimit(account);
    if (const base::Duration since = now - account.resumedAt; since < s_resumeTime && share >= s_countedShare) {
        const double begin = std::min(share, account.ownWhenResumed);
        share = begin + (share - begin) * base::toSeconds(since) / base::toSeconds(s_resumeTime);
    }
    return own + 1 <= share + (share >= s_countedShare ? fixedFraction(id) : std::sqrt(share) + 1);
}

bool QuotaGate::drawnByLot(Account &account, base::TimePoint now)
{
    if (!informed(now) || !hot(account, now) || sharedLimit(account) >= s_countedShare) {
        return true;
    }
    // What the latest slots miss is assumed to be as much as in the slots before, because the use of a limited account is steady.
    const double known = account.others.latest(s_slots);
    const double unseen = std::max(0.0, known * s_rateSlotTimes / s_slots - account.others.latest(s_rateSlots));
    const double aim = account.limits.granted + s_aimRoom * (account.limits.bound - account.limits.granted);
    const double difference = aim - account.ownWhenTold - known - unseen - account.reserved;
    // All instances make up for the difference that they were told, so that it has shrunk if the next news of it is late.
    const double late = std::max(0.0, base::toSeconds(now - account.toldAt - s_usualAge));
    const double correctionTime = base::toSeconds(s_correctionTime);
    const double expiring = account.others.expiring(m_slotTime, now, s_expiringSlots) / base::toSeconds(m_slotTime * s_expiringSlots);
    // Instances without contact, for which quota is reserved, have their part of the demand and do not respond.
    const double responding = std::max(s_minimumResponding, 1 - account.reserved / account.limits.target);
    const double allowed = expiring + difference / (correctionTime * responding) * std::exp(-late / correctionTime);
    const double arriving = std::max(account.demand / base::toSeconds(m_options.window), account.demandGrowth);
    return base::uniformUnit(m_random) * arriving < allowed;
}

double QuotaGate::sharedLimit(const Account &account)
{
    return account.share * std::max(0.0, account.limits.target - account.missing);
}

} // namespace trefoilstile::quota
