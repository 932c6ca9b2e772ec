// Admission by the own count, the known counts of the other instances, and the own share while demand exceeds the quota.

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
/// The aim is this part of the room up to the bound above the granted requests. With the target, accounts got 0.93 to 0.98 of their quota,
/// because requests that a small share does not admit are not made up for by others.
constexpr double s_aimRoom = 0.24;
constexpr std::size_t s_expiringSlots = 1;
constexpr base::Duration s_correctionTime = std::chrono::milliseconds(1'000);

/// Least part of the instances that is assumed to respond to the same news.
constexpr double s_minimumResponding = 0.1;

/// Shortest time over which the growth of the demand is measured.
constexpr base::Duration s_growthTime = std::chrono::milliseconds(400);

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

/// Requests since the last report from which an instance reports at once, and the same as a part of its share.
constexpr double s_urgentRequests = 2;
constexpr double s_urgentPart = 0.1;

/// Part of the time between two requests at the rate of its share at which an instance reports at once, if this much is in use.
constexpr double s_soonPart = 0.25;
constexpr double s_reportedUse = 0.5;

/// A use below this fraction of the target is reported less often.
constexpr double s_watchedUse = 0.5;

/// Time between reports of an account with little use. It also keeps the share in effect that the instance has if it is cut off.
constexpr base::Duration s_slowReport = std::chrono::milliseconds(1'500);

/// Requests that an instance which has just started admits of each account until its first news, which takes one round trip after the
/// join. Later it must assume that many instances have started at once, together with the aggregators.
constexpr double s_startAllowance = 1;
constexpr base::Duration s_firstNewsTime = std::chrono::milliseconds(200);

constexpr base::Duration s_minimumRetryAfter = std::chrono::milliseconds(200);
constexpr double s_retryAfterSpread = 0.4;

} // namespace

QuotaGate::QuotaGate(QuotaOptions options, std::uint64_t seed)
    : m_options(options)
    , m_slotTime(options.window / s_slots)
    , m_random(seed)
    , m_seed(seed)
{
}

void QuotaGate::setAccounts(std::span<const AccountQuota> accounts)
{
    std::unordered_map<AccountId, Account> kept;
    if (m_options.window > base::Duration::zero()) {
        for (const AccountQuota &quota : accounts) {
            if (quota.requestsPerSecond <= 0) {
                continue;
            }
            const AccountId id = accountId(quota.name);
            const WindowLimits limits(quota, m_options);
            if (const auto same = kept.find(id); same != kept.end()) {
                if (limits.granted < same->second.limits.granted) {
                    same->second.limits = limits;
                }
                continue;
            }
            const auto former = m_accounts.find(id);
            Account account = former == m_accounts.end() ? Account(m_options.window) : std::move(former->second);
            account.name = quota.name;
            account.limits = limits;
            kept.emplace(id, std::move(account));
        }
    }
    m_accounts = std::move(kept);
    std::erase_if(m_active, [this](AccountId id) {
        return !m_accounts.contains(id);
    });
}

QuotaGate::Account *QuotaGate::find(AccountId account)
{
    const auto found = m_accounts.find(account);
    return found == m_accounts.end() ? nullptr : &found->second;
}

void QuotaGate::activate(Account &account, AccountId id)
{
    ++account.unreported;
    if (!account.active) {
        account.active = true;
        m_active.push_back(id);
    }
}

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

bool QuotaGate::needsReport(const Account &account, base::TimePoint now) const
{
    if (hot(account, now)) {
        return false; // shares hold without news for a while
    }
    const double share = std::max(account.share, 1 / static_cast<double>(m_members)) * account.limits.target;
    const bool soon = base::toSeconds(now - account.arrivedAt) < s_soonPart * base::toSeconds(m_options.window) / share
        && othersUse(account, now) > s_reportedUse * account.limits.target;
    return soon || static_cast<double>(account.unreported) >= std::max(s_urgentRequests, s_urgentPart * share);
}

base::Duration QuotaGate::expectedWait(Account &account, base::TimePoint now)
{
    // While demand exceeds the target, a request gets through after as many windows as the demand exceeds it by.
    const double used = static_cast<double>(account.own.total(now)) + othersUse(account, now);
    const double excess = std::max(account.demand, used + 1) / account.limits.target - 1;
    const double windows = std::clamp(excess, 0.1, 1.0);
    const auto wait = std::max(s_minimumRetryAfter, base::fromSeconds(windows * base::toSeconds(m_options.window)));
    return base::jittered(wait, s_retryAfterSpread, m_random);
}

Decision QuotaGate::admit(AccountId id, base::TimePoint now)
{
    Account *account = find(id);
    if (account == nullptr) {
        return {};
    }
    m_startedAt = m_startedAt.value_or(now);
    activate(*account, id);
    account->ownDemand.add(now);
    account->urgent = account->urgent || needsReport(*account, now);
    m_urgent = m_urgent || account->urgent;
    account->arrivedAt = now;
    if (withinLimits(*account, id, now) && drawnByLot(*account, now)) {
        account->own.add(now);
        ++account->admitted;
        return {};
    }
    ++account->refused;
    account->refusedAt = now;
    account->limited = true;
    return {false, expectedWait(*account, now)};
}

bool QuotaGate::admitFurther(AccountId id, base::TimePoint now)
{
    Account *account = find(id);
    if (account == nullptr) {
        return true;
    }
    if (!withinLimits(*account, id, now)) {
        return false;
    }
    activate(*account, id);
    account->own.add(now);
    return true;
}

void QuotaGate::returned(AccountId id, base::TimePoint admittedAt, base::TimePoint now)
{
    if (Account *account = find(id)) {
        account->own.remove(admittedAt, now);
    }
}

std::vector<AccountUsage> QuotaGate::report(base::TimePoint now)
{
    m_startedAt = m_startedAt.value_or(now);
    m_urgent = false;
    ++m_reportNumber;
    m_reportTimes[m_reportNumber % m_reportTimes.size()] = now;
    std::vector<AccountUsage> usages;
    std::erase_if(m_active, [&](AccountId id) {
        Account &account = *find(id);
        const std::uint64_t demand = account.ownDemand.total(now);
        if (account.unreported == 0 && demand == 0) {
            account.active = false;
            return true;
        }
        const double used = static_cast<double>(account.own.total(now)) + othersUse(account, now);
        const bool watched = std::max(used, account.demand) > s_watchedUse * account.limits.target;
        const bool unanswered = account.reportedNumber > m_repliedNumber;
        if ((account.unreported > 0 && (watched || account.urgent || now - account.reportedAt >= s_slowReport)) || (watched && unanswered)) {
            usages.push_back({id, demand, account.own.slots(now), 0, 0});
            account.reportedNumber = m_reportNumber;
            account.reportedAt = now;
            account.urgent = false;
            account.unreported = 0;
        }
        return false;
    });
    return usages;
}

void QuotaGate::applyCounts(Account &account, const AccountUsage &usage, std::uint64_t sender, base::TimePoint now) const
{
    const auto own = static_cast<double>(account.own.total(now));
    // An aggregator that has started anew under the same name answers only after this time.
    const bool resumed = now - account.toldAt >= m_options.newsLifetime;
    if (resumed || sender != account.toldBy) {
        account.toldBy = sender;
        account.kept = account.others;
        account.keptReserved = account.reserved;
    }
    if (resumed) {
        account.resumedAt = now;
        account.ownWhenResumed = own;
    }
    account.toldAt = now;
    account.ownWhenTold = own;
    account.others = SlotCounts(usage.slots, now);
    const SlotCounts missing = account.kept.missingFrom(account.others, m_slotTime);
    const double total = missing.total(m_slotTime, now);
    // What an aggregator does not know of a failure domain that it does not hear yet, it reserves.
    const double newlyReserved = std::max(0.0, static_cast<double>(usage.reserved) - account.keptReserved);
    account.missing = std::max(0.0, total - newlyReserved);
    if (account.missing > 0) {
        account.others.add(missing.scaled(account.missing / total), m_slotTime, now);
    }
}

double QuotaGate::sharedLimit(const Account &account)
{
    return account.share * std::max(0.0, account.limits.target - account.missing);
}

void QuotaGate::apply(const UsageMessage &reply, base::TimePoint now)
{
    const bool recent = reply.number <= m_reportNumber && reply.number + m_reportTimes.size() > m_reportNumber;
    // A reply that waited while this process was suspended describes the past.
    if (!recent || now - m_reportTimes[reply.number % m_reportTimes.size()] > m_options.newsLifetime) {
        return;
    }
    if (reply.number > m_repliedNumber) {
        m_repliedNumber = reply.number;
        m_repliedAt = now;
    }
    const std::uint64_t sender = base::stableHash(reply.sender);
    for (const AccountUsage &usage : reply.usages) {
        Account *account = find(usage.account);
        if (account == nullptr || reply.number < account->toldNumber) {
            continue;
        }
        account->toldNumber = reply.number;
        applyCounts(*account, usage, sender, now);
        account->reserved = static_cast<double>(usage.reserved);
        account->demand = static_cast<double>(usage.demand);
        if (const base::Duration since = now - account->earlierAt; since >= s_growthTime) {
            const bool comparable = since <= m_options.newsLifetime;
            account->demandGrowth = comparable ? (account->demand - account->earlierDemand) / base::toSeconds(since) : 0;
            account->earlierDemand = account->demand;
            account->earlierAt = now;
        }
        account->share = std::min(1.0, usage.shareMillionths / 1e6);
    }
}

std::vector<LimitChange> QuotaGate::takeChanges(base::TimePoint now)
{
    std::vector<LimitChange> changes;
    for (const AccountId id : m_active) {
        Account &account = *find(id);
        account.limited = account.limited && now - account.refusedAt < m_options.window;
        if (account.limited != account.limitLogged) {
            account.limitLogged = account.limited;
            const double used = static_cast<double>(account.own.total(now)) + othersUse(account, now);
            changes.push_back({account.name, account.limited, used, account.demand, account.limits.granted});
        }
    }
    return changes;
}

std::vector<AccountFigures> QuotaGate::figures(base::TimePoint now)
{
    std::vector<AccountFigures> figures;
    for (auto &[id, account] : m_accounts) {
        if (account.admitted + account.refused > 0) {
            const double used = static_cast<double>(account.own.total(now)) + othersUse(account, now);
            figures.push_back({account.name, account.admitted, account.refused, used, account.limits.granted, std::max(0.0, account.share)});
        }
    }
    std::sort(figures.begin(), figures.end(), [](const AccountFigures &left, const AccountFigures &right) {
        return std::make_pair(left.used / left.granted, left.account) > std::make_pair(right.used / right.granted, right.account);
    });
    return figures;
}

std::optional<base::Duration> QuotaGate::newsAge(base::TimePoint now) const
{
    return m_repliedAt ? std::optional(now - *m_repliedAt) : std::nullopt;
}

} // namespace trefoilstile::quota
