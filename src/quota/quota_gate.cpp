// Counts, reports and replies of the gate.

#include "trefoilstile/quota/quota_gate.hpp"

#include <cmath>

namespace trefoilstile::quota
{

namespace
{

/// Shortest time over which the growth of the demand is measured.
constexpr base::Duration s_growthTime = std::chrono::milliseconds(400);

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

Decision QuotaGate::renew(AccountId id, base::TimePoint admittedAt, base::TimePoint now)
{
    returned(id, admittedAt, now);
    if (admitFurther(id, now)) {
        return {};
    }
    Account &account = *find(id);
    ++account.refused;
    account.refusedAt = now;
    account.limited = true;
    return {false, expectedWait(account, now)};
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
