// Holder and lender side of quota loans.

#include "trefoilstile/shift/loan_book.hpp"

#include <algorithm>

namespace trefoilstile::shift
{

namespace
{
/// Maximum number of open loans of one instance, for each side. 12 instances with 6 pairs of regions and two resources
/// need at most 132.
constexpr std::size_t s_maximumLoans = 256;
} // namespace

LoanBook::LoanBook(base::IncarnationId self, const ShiftOptions &options)
    : m_self(self)
    , m_options(options)
{
    m_options.validate();
}

std::optional<LoanRequest> LoanBook::requestLoan(
    base::IncarnationId lender, const RegionPair &link, Resource resource, Units amount, base::Duration lease, base::TimePoint now)
{
    dropExpired(now);
    if (m_borrowed.size() >= s_maximumLoans || lease > m_options.maximumLease || lease <= base::Duration::zero() || amount == 0) {
        return std::nullopt;
    }
    const LoanRequest request{{m_self, ++m_lastSequence}, lender, m_generation, link, resource, amount, lease, 0};
    const base::TimePoint until = now + scaled(lease, 1 - m_options.leaseMargin);
    m_borrowed.emplace(request.id, Borrowed{request, until, until, 0});
    return request;
}

std::optional<LoanRequest> LoanBook::renew(const LoanId &id, base::TimePoint now)
{
    dropExpired(now);
    const auto found = m_borrowed.find(id);
    if (found == m_borrowed.end() || found->second.amount == 0) {
        return std::nullopt;
    }
    Borrowed &loan = found->second;
    ++loan.request.round;
    loan.roundUntil = now + scaled(loan.request.lease, 1 - m_options.leaseMargin);
    return loan.request;
}

bool LoanBook::accept(const LoanGrant &grant, base::TimePoint now)
{
    dropExpired(now);
    const auto found = m_borrowed.find(grant.id);
    if (found == m_borrowed.end()) {
        return false;
    }
    Borrowed &loan = found->second;
    if (loan.request.lender != grant.lender || loan.request.round != grant.round || grant.amount > loan.request.amount) {
        return false;
    }
    if (grant.round == 0) {
        const bool first = loan.amount == 0;
        loan.amount = first ? grant.amount : loan.amount;
        return first;
    }
    const bool extended = loan.usableUntil < loan.roundUntil;
    loan.usableUntil = std::max(loan.usableUntil, loan.roundUntil);
    return extended;
}

Units LoanBook::borrowed(const RegionPair &link, Resource resource, base::TimePoint now)
{
    dropExpired(now);
    Units sum = 0;
    for (const auto &[id, loan] : m_borrowed) {
        sum += loan.request.link == link && loan.request.resource == resource ? loan.amount : 0;
    }
    return sum;
}

std::optional<LoanReturn> LoanBook::returnLoan(const LoanId &id)
{
    const auto found = m_borrowed.find(id);
    if (found == m_borrowed.end()) {
        return std::nullopt;
    }
    const LoanReturn message{id, found->second.request.lender};
    m_borrowed.erase(found);
    return message;
}

std::optional<LoanGrant> LoanBook::onRequest(const LoanRequest &request, Units lendable, bool mayExtend, base::TimePoint now)
{
    dropExpired(now);
    const bool leaseValid = request.lease > base::Duration::zero() && request.lease <= m_options.maximumLease;
    if (request.lender != m_self || request.id.holder == m_self || !leaseValid) {
        return std::nullopt;
    }
    if (const auto found = m_lent.find(request.id); found != m_lent.end()) {
        Lent &loan = found->second;
        const bool extends = request.round != 0;
        if (loan.returned || (extends && (!mayExtend || request.generation != m_generation))) {
            return std::nullopt;
        }
        loan.lentUntil = extends ? std::max(loan.lentUntil, lentUntil(loan.request, now)) : loan.lentUntil;
        return LoanGrant{request.id, m_self, loan.amount, request.round};
    }
    const Units amount = std::min(request.amount, lendable);
    if (request.round != 0 || request.generation != m_generation || amount == 0 || m_lent.size() >= s_maximumLoans) {
        return std::nullopt;
    }
    m_lent.emplace(request.id, Lent{request, lentUntil(request, now), amount});
    return LoanGrant{request.id, m_self, amount, 0};
}

base::TimePoint LoanBook::lentUntil(const LoanRequest &request, base::TimePoint now) const
{
    return now + scaled(request.lease, 1 + m_options.leaseMargin) + m_options.localWindow();
}

Units LoanBook::lent(const RegionPair &link, Resource resource, base::TimePoint now)
{
    dropExpired(now);
    Units sum = 0;
    for (const auto &[id, loan] : m_lent) {
        sum += loan.request.link == link && loan.request.resource == resource ? loan.amount : 0;
    }
    return sum;
}

void LoanBook::onReturn(const LoanReturn &message, base::TimePoint now)
{
    const auto found = m_lent.find(message.id);
    if (message.lender != m_self || found == m_lent.end() || found->second.returned) {
        return;
    }
    // The holder's last use may still be within the current window.
    found->second.returned = true;
    found->second.lentUntil = std::min(found->second.lentUntil, now + m_options.localWindow());
}

void LoanBook::adopt(base::Generation generation)
{
    m_generation = generation;
    std::erase_if(m_borrowed, [&](const auto &item) {
        return item.second.request.generation != generation;
    });
}

void LoanBook::dropExpired(base::TimePoint now)
{
    std::erase_if(m_borrowed, [now](const auto &item) {
        return now >= item.second.usableUntil;
    });
    std::erase_if(m_lent, [now](const auto &item) {
        return now >= item.second.lentUntil;
    });
}

} // namespace trefoilstile::shift
