// Budget of one instance for the traffic that it may shift between regions.
//
// Fixed quota: cap / maximumEntryInstances, rounded down to thousandths of a request or to bytes.
//
// Fractions. A quota below one request/s is not spent over a longer window: with a cap of 6 and 12 instances, all 12
// could spend their request in the same second. Assigning whole requests to instances by rank would require the instances
// to agree on the ranks, which is impossible during a partition. A fraction is therefore not used alone, but it can be
// lent: loans that add up to a whole request make it usable, and the sum of all allowances is still the cap.
//
// Document changes. Rule: an instance applies the quota of the document that it has adopted immediately, whether it is
// higher or lower; loans are closed when another document is adopted. Claim: the use in any window is at most the largest
// cap C among the documents in effect at any instance. Proof: each document g in effect states a number N_g
// (`maximumEntryInstances`) that is at least the number n of running instances, so an instance with document g may use,
// together with what it has lent, at most C_g / N_g <= C / n, and n such parts add up to at most C. A loan transfers a
// part without adding to the sum, and a holder uses a loan only while it has the document under which the lender granted
// it. N_g is an upper bound at all times only if a document that raises it is in effect everywhere before more instances
// start, and if instances stop before a document that lowers it is published.
//
// Replacement. A killed instance may have used its quota within the last window, lent it or committed it. Its
// replacement therefore uses no fixed quota during `startHold`; it may borrow. So a replaced instance and its
// replacement count once in N_g even if they do not run at the same time.
//
// A use is counted at the time of `tryTakeRequest`, `takeBytes` or `useHeld`. Amounts that another thread uses later are
// held in the meantime.
#pragma once

#include <map>
#include <optional>

#include "trefoilstile/document/steering_document.hpp"
#include "trefoilstile/shift/loan_book.hpp"
#include "trefoilstile/shift/quota_account.hpp"

namespace trefoilstile::shift
{

/// Quotas, loans and held amounts of one instance for all pairs of regions.
class ShiftBudget
{
public:
    /// Throws `Error` if the options are not valid.
    ShiftBudget(base::IncarnationId self, base::TimePoint startedAt, const ShiftOptions &options = {});

    /// Applies a document. The caller must pass only newer generations.
    void adopt(base::Generation generation, const document::SteeringDocument &document);

    /// Uses one request, or returns false and uses nothing. Pairs without a cap in the document have no quota.
    bool tryTakeRequest(const RegionPair &link, base::PriorityClass priorityClass, base::TimePoint now);

    /// Uses up to `wanted` bytes. Returns the number used.
    Units takeBytes(const RegionPair &link, base::PriorityClass priorityClass, Units wanted, base::TimePoint now);

    /// Amount that the class could use now.
    Units available(const RegionPair &link, Resource resource, base::PriorityClass priorityClass, base::TimePoint now);

    /// Reserves up to `wanted` units of the own quota, in multiples of `step`, for use by another thread or a caller at a
    /// time unknown to this object. Returns the reserved amount. Borrowed amounts are excluded, since a loan may end
    /// before the use.
    Units hold(const RegionPair &link, Resource resource, base::PriorityClass priorityClass, Units wanted, Units step, base::TimePoint now);

    /// Releases a held amount that was not and will not be used, or whose use is older than a window. Throws `Error` if
    /// less is held.
    void release(const RegionPair &link, Resource resource, Units amount);

    /// Records that a held amount was used at some time up to `now`. Throws `Error` if less is held.
    void useHeld(const RegionPair &link, Resource resource, base::PriorityClass priorityClass, Units amount, base::TimePoint now);

    /// Fixed quota at `now`, loans not included; 0 during the start hold.
    Units ownQuota(const RegionPair &link, Resource resource, base::TimePoint now) const;

    /// Amount that may be lent now: not used within the window, not held, not lent and beyond the urgent reserve. A quota
    /// below one request, which cannot be used alone, may be lent without a reserve.
    Units lendable(const RegionPair &link, Resource resource, base::TimePoint now);

    /// Lender: grant for a request of another instance, if any. Loans are extended while the lender uses at most half of
    /// its remaining allowance.
    std::optional<LoanGrant> onLoanRequest(const LoanRequest &request, base::TimePoint now);

    /// Loans of this instance, for the holder's requests and for returns.
    LoanBook &loans()
    {
        return m_loans;
    }

    const ShiftOptions &options() const
    {
        return m_options;
    }

private:
    struct Account {
        Units quota{}; ///< fixed quota under the adopted document
        QuotaAccount account;
    };
    struct Key {
        RegionPair link;
        Resource resource = Resource::Requests;

        friend bool operator<(const Key &a, const Key &b)
        {
            return std::tie(a.link, a.resource) < std::tie(b.link, b.resource);
        }
    };

    Account *find(const RegionPair &link, Resource resource);
    Units ownAllowance(const RegionPair &link, Resource resource, base::TimePoint now);
    Units allowance(const RegionPair &link, Resource resource, base::TimePoint now);

    ShiftOptions m_options;
    base::TimePoint m_startedAt;
    LoanBook m_loans;
    std::map<Key, Account> m_accounts; ///< pairs of earlier documents remain with quota 0, for their held amounts
};

} // namespace trefoilstile::shift
