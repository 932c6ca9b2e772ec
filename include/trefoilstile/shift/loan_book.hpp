// Leased loans of unused quota between instances. `LoanBook` keeps both sides, since an instance both lends and borrows.
//
// Invariant: lender and holder never count the same unit as usable at the same time.
// - The lender subtracts the amount from its own allowance before it grants, and grants only what it has not used within
//   the current window.
// - The holder uses the loan until `requested + lease * (1 - margin)` on its own clock. The lender counts the amount as
//   lent until `granted + lease * (1 + margin) + window` on its own clock. The grant follows the request and the margin
//   is at least the greatest clock error, so the lender's period ends after the holder's last use has left the window.
// - An early return frees the amount one window later. The holder closes a loan before it sends the return and never
//   reopens its ID, so a late, repeated or reordered grant has no effect.
// - Repeated requests get the same grant. A lost message only leaves the amount unused until the lease expires.
//
// An extension is a further round of the same loan under the same rule: the holder's period starts before it requests the
// round, the lender's period starts when it grants the round, and the lender extends only an amount that it still counts
// as lent. The holder accepts a grant only for the latest round.
//
// A loan belongs to one document generation. A holder that adopts another document stops using the loan immediately, so
// an old document has no effect through loans once no instance uses it.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <tuple>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/shift/options.hpp"

namespace trefoilstile::shift
{

/// Identifies a loan; chosen by the holder and never used twice.
struct LoanId {
    base::IncarnationId holder;
    std::uint64_t sequence{};

    friend bool operator==(const LoanId &, const LoanId &) = default;

    friend bool operator<(const LoanId &a, const LoanId &b)
    {
        return std::tie(a.holder.value, a.sequence) < std::tie(b.holder.value, b.sequence);
    }
};

/// Message from holder to lender.
struct LoanRequest {
    LoanId id;
    base::IncarnationId lender; ///< requests to another incarnation are ignored
    base::Generation generation; ///< document in effect at the holder; the lender grants only under the same one
    RegionPair link;
    Resource resource = Resource::Requests;
    Units amount{};
    base::Duration lease{};
    std::uint32_t round{}; ///< 0 requests a new loan, a higher number its extension by another lease
};

/// Message from lender to holder. The lease of the holder starts before it sends the request.
struct LoanGrant {
    LoanId id;
    base::IncarnationId lender;
    Units amount{}; ///< at most the requested amount
    std::uint32_t round{};
};

/// Message from holder to lender: the holder has permanently stopped using the loan.
struct LoanReturn {
    LoanId id;
    base::IncarnationId lender;
};

/// Loans of one instance, as holder and as lender.
class LoanBook
{
public:
    LoanBook(base::IncarnationId self, const ShiftOptions &options);

    /// Holder: creates a request for a new loan; nothing if too many loans are open, the lease is not positive or too
    /// long, or the amount is 0. `now` must be read before the request is sent.
    std::optional<LoanRequest> requestLoan(
        base::IncarnationId lender, const RegionPair &link, Resource resource, Units amount, base::Duration lease, base::TimePoint now);

    /// Holder: creates a request to extend a granted loan; nothing if the loan is closed or not granted yet.
    std::optional<LoanRequest> renew(const LoanId &id, base::TimePoint now);

    /// Holder: applies a grant. Returns false and changes nothing if the loan is unknown or expired, or if the grant is
    /// repeated, for an earlier round, above the requested amount or from another lender.
    bool accept(const LoanGrant &grant, base::TimePoint now);

    /// Holder: amount usable now under loans. Call it for each use, with a `now` read after any pause of the process.
    Units borrowed(const RegionPair &link, Resource resource, base::TimePoint now);

    /// Holder: closes a requested or granted loan and creates the message for the lender; nothing if there is no such loan.
    std::optional<LoanReturn> returnLoan(const LoanId &id);

    /// Lender: grants up to `lendable`, or extends a loan if `mayExtend`. Nothing if the request is for another
    /// incarnation or document, the lease is invalid, the loan was returned, or no amount or loan entry is available.
    std::optional<LoanGrant> onRequest(const LoanRequest &request, Units lendable, bool mayExtend, base::TimePoint now);

    /// Lender: amount that holders may use or may still have used within the current window.
    Units lent(const RegionPair &link, Resource resource, base::TimePoint now);

    /// Lender: handles the return of a loan; its amount is free again after one window.
    void onReturn(const LoanReturn &message, base::TimePoint now);

    /// Sets the document generation in effect and closes all borrowed loans of other generations.
    void adopt(base::Generation generation);

private:
    struct Borrowed {
        LoanRequest request;
        base::TimePoint usableUntil;
        base::TimePoint roundUntil; ///< value of `usableUntil` once the round requested last is granted
        Units amount{}; ///< 0 until granted
    };
    struct Lent {
        LoanRequest request;
        base::TimePoint lentUntil;
        Units amount{};
        bool returned = false;
    };

    base::TimePoint lentUntil(const LoanRequest &request, base::TimePoint now) const;
    void dropExpired(base::TimePoint now);

    base::IncarnationId m_self;
    ShiftOptions m_options;
    base::Generation m_generation;
    std::uint64_t m_lastSequence = 0;
    std::map<LoanId, Borrowed> m_borrowed; ///< open loans only; an ID that is absent is closed
    std::map<LoanId, Lent> m_lent;
};

} // namespace trefoilstile::shift
