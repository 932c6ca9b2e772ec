// Loans of unused quota between instances, under leases. Both sides in one book: an instance lends and borrows.
//
// Why no unit is in two hands. The lender takes the amount out of its own allowance before it grants, and grants only
// what it has not used within the current window. The holder uses the loan until `asked + lease * (1 - margin)` on its
// own clock. The lender counts the amount as gone until `granted + lease * (1 + margin) + window` on its own clock. As
// it grants after the holder asked, and the margin is at least the greatest clock error, the lender's time ends after
// the holder's last use has left the window. An early return frees the amount one window later. The holder closes a
// loan before it sends the return and never reopens its ID, so a late, repeated or reordered grant has no effect.
// Repeated requests get the same grant; lost messages only leave the amount unused until it expires.
//
// An extension is a further round of the same loan, under the same rule: the holder's time runs from before it asked for
// that round, the lender's from when it granted it, and the lender extends only what it still counts as gone. A grant
// counts for the latest round only.
//
// A loan belongs to one document generation. A holder that adopts another one stops using the loan at once, so an old
// document has no effect through loans once no instance uses it.
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

/// Holder to lender.
struct LoanRequest {
    LoanId id;
    base::IncarnationId lender; ///< requests to another incarnation are ignored
    base::Generation generation; ///< document of the holder; the lender grants only under the same one
    RegionPair link;
    Resource resource = Resource::Requests;
    Units amount{};
    base::Duration lease{};
    std::uint32_t round{}; ///< 0 asks for a new loan, a higher number for its extension by another lease
};

/// Lender to holder. The lease runs from before the request was sent.
struct LoanGrant {
    LoanId id;
    base::IncarnationId lender;
    Units amount{}; ///< at most what was asked for
    std::uint32_t round{};
};

/// Holder to lender: the holder has stopped using the loan for good.
struct LoanReturn {
    LoanId id;
    base::IncarnationId lender;
};

class LoanBook
{
public:
    LoanBook(base::IncarnationId self, const ShiftOptions &options);

    /// Holder: makes a request; nothing if too many loans are open, the lease is too long or the amount is 0. `now`
    /// must be taken before the request is sent.
    std::optional<LoanRequest> requestLoan(
        base::IncarnationId lender, const RegionPair &link, Resource resource, Units amount, base::Duration lease, base::TimePoint now);

    /// Holder: makes a request to extend a loan in use; nothing if there is no such loan any more.
    std::optional<LoanRequest> renew(const LoanId &id, base::TimePoint now);

    /// Holder: takes a grant into use; false if it is late, unknown, repeated or from another lender.
    bool accept(const LoanGrant &grant, base::TimePoint now);

    /// Holder: what may be used now under loans. To be asked at each use, with a `now` read after any pause.
    Units borrowed(const RegionPair &link, Resource resource, base::TimePoint now);

    /// Holder: closes a loan, asked for or in use, and makes the message for the lender.
    std::optional<LoanReturn> giveBack(const LoanId &id);

    /// Lender: grants up to `lendable`, or extends a loan if `mayExtend`; nothing if the request is for another
    /// incarnation or document, or none is left.
    std::optional<LoanGrant> consider(const LoanRequest &request, Units lendable, bool mayExtend, base::TimePoint now);

    /// Lender: amount in the hands of others, or perhaps still there.
    Units lent(const RegionPair &link, Resource resource, base::TimePoint now);

    /// Lender: the holder has stopped.
    void onReturn(const LoanReturn &message, base::TimePoint now);

    /// Closes all borrowed loans of other generations.
    void adopt(base::Generation generation);

private:
    struct Borrowed {
        LoanRequest request;
        base::TimePoint usableUntil;
        base::TimePoint roundUntil; ///< what `usableUntil` becomes when the round asked for last is granted
        Units amount{}; ///< 0 until granted
    };
    struct Lent {
        LoanRequest request;
        base::TimePoint goneUntil;
        Units amount{};
        bool returned = false;
    };

    base::TimePoint goneUntil(const LoanRequest &request, base::TimePoint now) const;
    void dropExpired(base::TimePoint now);

    base::IncarnationId m_self;
    ShiftOptions m_options;
    base::Generation m_generation;
    std::uint64_t m_lastSequence = 0;
    std::map<LoanId, Borrowed> m_borrowed; ///< open loans only; an ID that is not here is closed
    std::map<LoanId, Lent> m_lent;
};

} // namespace trefoilstile::shift
