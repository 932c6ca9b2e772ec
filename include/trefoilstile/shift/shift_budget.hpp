// What this instance may move between regions.
//
// Fixed quota: cap / maximumEntryInstances, rounded down to thousandths of a request or to bytes.
//
// Fractions. A quota below one request/s is not spent over a longer window: with a cap of 6 and 12 instances all 12
// could spend their request in the same second. Handing whole requests to instances by rank needs the instances to
// agree on the ranks, which they cannot while partitioned. So a fraction is not used alone, but it can be lent: loans
// that add up to a whole request make it usable, and the sum of all allowances is still the cap.
//
// Document changes. Rule: an instance uses the quota of the document that it has adopted, at once, in both directions;
// loans are closed when another document is adopted. Claim: the use in any window is at most the largest cap C among
// the documents in effect at any instance. Proof: each document in effect states an N_g that is at least the number of
// running instances n, so an instance with document g may use, together with what it has lent, at most
// C_g / N_g <= C / n, and n such parts add up to at most C. Lent amounts move this right without adding to it, and a
// holder uses a loan only while it has the document under which the lender granted it. To raise N, the document has to
// be in effect everywhere before more instances start; to lower N, instances have to stop first. Both are what N means.
//
// Replacement. A killed instance may have used its quota within the last window, lent it or committed it. Its
// replacement therefore uses no fixed quota during `startHold`; it may borrow. So a replaced instance and its
// replacement count once in N even if they do not run at the same time.
//
// The moment of use is the moment of `tryTake` or of `useHeld`. What another thread uses later is held in between.
#pragma once

#include <map>
#include <optional>

#include "trefoilstile/document/steering_document.hpp"
#include "trefoilstile/shift/loan_book.hpp"
#include "trefoilstile/shift/quota_account.hpp"

namespace trefoilstile::shift
{

class ShiftBudget
{
public:
    /// Throws `Error` if the options are not safe.
    ShiftBudget(base::IncarnationId self, base::TimePoint startedAt, const ShiftOptions &options = {});

    /// Takes a document into effect. The caller passes only newer generations.
    void adopt(base::Generation generation, const document::SteeringDocument &document);

    /// Uses one request, or nothing and returns false. Pairs without a cap in the document allow nothing.
    bool tryTakeRequest(const RegionPair &link, base::PriorityClass priorityClass, base::TimePoint now);

    /// Uses up to `wanted` bytes and tells how many.
    Units takeBytes(const RegionPair &link, base::PriorityClass priorityClass, Units wanted, base::TimePoint now);

    /// What the class could use now.
    Units available(const RegionPair &link, Resource resource, base::PriorityClass priorityClass, base::TimePoint now);

    /// Sets up to `wanted` units of the own quota aside in steps of `step` and tells how much: for use at a moment that
    /// this object does not see, by another thread or by a caller. Loans are left out, as they may end in between.
    Units hold(const RegionPair &link, Resource resource, base::PriorityClass priorityClass, Units wanted, Units step, base::TimePoint now);

    /// The held amount was not used and will not be, or was used longer than a window ago.
    void release(const RegionPair &link, Resource resource, Units amount);

    /// The held amount was used at some moment up to `now`.
    void useHeld(const RegionPair &link, Resource resource, base::PriorityClass priorityClass, Units amount, base::TimePoint now);

    /// Own quota now: 0 during the start hold; before loans.
    Units ownQuota(const RegionPair &link, Resource resource, base::TimePoint now) const;

    /// What may be lent now: unused within the window, not held, and beyond the reserve for urgent work. A fraction of
    /// a request, of no use here, may be lent whole.
    Units lendable(const RegionPair &link, Resource resource, base::TimePoint now);

    /// Lender: answer to a request of another instance, if any. Loans are extended while the lender uses at most half of
    /// what it has left.
    std::optional<LoanGrant> onLoanRequest(const LoanRequest &request, base::TimePoint now);

    /// Holder side and returns.
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
    std::map<Key, Account> m_accounts; ///< pairs of earlier documents stay, with quota 0, for what they hold
};

} // namespace trefoilstile::shift
