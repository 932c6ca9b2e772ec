// Combines fixed quotas, loans and held amounts into one allowance for each pair of regions.

#include "trefoilstile/shift/shift_budget.hpp"

#include <algorithm>
#include <cmath>

#include "trefoilstile/shift/error.hpp"

namespace trefoilstile::shift
{

namespace
{
Units unitOf(Resource resource)
{
    return resource == Resource::Requests ? s_unitsPerRequest : 1;
}

/// Quota of one instance, rounded down so that the quotas of all `instances` never exceed the cap.
Units quotaOf(double cap, Resource resource, std::uint32_t instances)
{
    const auto units = static_cast<Units>(std::floor(cap * static_cast<double>(unitOf(resource))));
    return units / instances;
}
} // namespace

ShiftBudget::ShiftBudget(base::IncarnationId self, base::TimePoint startedAt, const ShiftOptions &options)
    : m_options(options)
    , m_startedAt(startedAt)
    , m_loans(self, options)
{
}

void ShiftBudget::adopt(base::Generation generation, const document::SteeringDocument &document)
{
    m_loans.adopt(generation);
    for (auto &[key, account] : m_accounts) {
        account.quota = 0;
    }
    for (const document::ShiftCap &cap : document.shiftCaps) {
        for (const Resource resource : {Resource::Requests, Resource::Bytes}) {
            const double rate = resource == Resource::Requests ? cap.requestsPerSecond : cap.bytesPerSecond;
            const Key key{{cap.from, cap.to}, resource};
            auto &account = m_accounts.try_emplace(key, Account{0, QuotaAccount(m_options, unitOf(resource))}).first->second;
            // The cap is a rate per second; the window may be longer or shorter than 1 s.
            account.quota = quotaOf(rate * base::toSeconds(m_options.window), resource, document.maximumEntryInstances);
        }
    }
}

bool ShiftBudget::tryTakeRequest(const RegionPair &link, base::PriorityClass priorityClass, base::TimePoint now)
{
    if (available(link, Resource::Requests, priorityClass, now) < s_unitsPerRequest) {
        return false;
    }
    find(link, Resource::Requests)->account.use(priorityClass, s_unitsPerRequest, now);
    return true;
}

Units ShiftBudget::takeBytes(const RegionPair &link, base::PriorityClass priorityClass, Units wanted, base::TimePoint now)
{
    const Units taken = std::min(wanted, available(link, Resource::Bytes, priorityClass, now));
    if (taken != 0) {
        find(link, Resource::Bytes)->account.use(priorityClass, taken, now);
    }
    return taken;
}

Units ShiftBudget::available(const RegionPair &link, Resource resource, base::PriorityClass priorityClass, base::TimePoint now)
{
    Account *account = find(link, resource);
    return account ? account->account.available(priorityClass, allowance(link, resource, now), now) : 0;
}

Units ShiftBudget::hold(const RegionPair &link, Resource resource, base::PriorityClass priorityClass, Units wanted, Units step, base::TimePoint now)
{
    Account *account = find(link, resource);
    if (!account || step == 0) {
        return 0;
    }
    const Units room = account->account.available(priorityClass, ownAllowance(link, resource, now), now);
    const Units amount = std::min(wanted, room) / step * step;
    account->account.hold(amount);
    return amount;
}

void ShiftBudget::release(const RegionPair &link, Resource resource, Units amount)
{
    Account *account = find(link, resource);
    if (!account) {
        throw Error("cannot release units: the pair of regions has no account");
    }
    account->account.release(amount);
}

void ShiftBudget::useHeld(const RegionPair &link, Resource resource, base::PriorityClass priorityClass, Units amount, base::TimePoint now)
{
    release(link, resource, amount);
    find(link, resource)->account.use(priorityClass, amount, now);
}

Units ShiftBudget::ownQuota(const RegionPair &link, Resource resource, base::TimePoint now) const
{
    const auto found = m_accounts.find({link, resource});
    return found == m_accounts.end() || now - m_startedAt < m_options.startHold ? 0 : found->second.quota;
}

Units ShiftBudget::lendable(const RegionPair &link, Resource resource, base::TimePoint now)
{
    Account *account = find(link, resource);
    if (!account) {
        return 0;
    }
    const Units own = ownQuota(link, resource, now);
    const Units reserve = own < unitOf(resource) ? 0 : account->account.urgentReserve(own);
    const Units unavailable = account->account.used(now) + account->account.held() + m_loans.lent(link, resource, now) + reserve;
    return own > unavailable ? own - unavailable : 0;
}

std::optional<LoanGrant> ShiftBudget::onLoanRequest(const LoanRequest &request, base::TimePoint now)
{
    // A lender that uses more than half of its remaining allowance does not extend loans, so that it regains its quota when
    // the lease ends.
    Account *account = find(request.link, request.resource);
    const Units remaining = ownAllowance(request.link, request.resource, now);
    const bool mayExtend = account && 2 * (account->account.used(now) + account->account.held()) <= remaining;
    return m_loans.onRequest(request, lendable(request.link, request.resource, now), mayExtend, now);
}

ShiftBudget::Account *ShiftBudget::find(const RegionPair &link, Resource resource)
{
    const auto found = m_accounts.find({link, resource});
    return found == m_accounts.end() ? nullptr : &found->second;
}

Units ShiftBudget::ownAllowance(const RegionPair &link, Resource resource, base::TimePoint now)
{
    const Units own = ownQuota(link, resource, now);
    const Units lent = m_loans.lent(link, resource, now);
    return own > lent ? own - lent : 0;
}

Units ShiftBudget::allowance(const RegionPair &link, Resource resource, base::TimePoint now)
{
    return ownAllowance(link, resource, now) + m_loans.borrowed(link, resource, now);
}

} // namespace trefoilstile::shift
