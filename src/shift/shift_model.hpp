// Model of several instances that spend, lend and commit quota of one pair of regions, with clocks of their own, over a
// network that loses, delays, repeats and reorders messages. Used by shift_model_test.cpp only.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "trefoilstile/shift/commitment_ledger.hpp"

namespace trefoilstile::shift::model
{

/// Rules that can be left out to show that the check notices.
enum class Fault : std::uint8_t {
    None,
    NoStartHold, ///< a replacement uses its fixed quota at once
    StaleClock, ///< after a pause an instance decides by the time that it read before
    NoDriftAllowance, ///< windows and leases take all clocks for exact
    UsesReturnedLoans, ///< a holder sends the return and goes on
    DividesByLiveMembers, ///< an instance that sees few others divides the cap by their number
    KeepsOldLoans, ///< a holder adopts a document without closing its loans
};

struct Step {
    std::uint32_t kind{};
    std::uint32_t a{};
    std::uint32_t b{};
};

class Model
{
public:
    explicit Model(Fault fault);
    Model(const Model &) = delete; ///< the ledgers refer to the budgets
    Model &operator=(const Model &) = delete;

    /// Applies one step; afterwards `violation` is set if more than the cap was in use within some second,
    /// or more was borrowed than lent.
    void apply(const Step &step);

    std::optional<std::string> violation;
    int loansUsed = 0; ///< grants that were accepted
    int extensions = 0; ///< those of them that extended a loan
    int responses = 0; ///< lookup responses given out
    double highest = 0; ///< highest use in a window as a part of the cap

private:
    static constexpr std::size_t s_instances = 4;

    /// One of the three is set.
    struct Message {
        base::IncarnationId to;
        std::optional<LoanRequest> request;
        std::optional<LoanGrant> grant;
        std::optional<LoanReturn> giveBack;
    };
    struct Instance {
        base::IncarnationId incarnation;
        std::uint64_t generation{};
        double clockRate = 1;
        base::TimePoint startedAt; ///< true time
        std::optional<base::TimePoint> pausedAt; ///< local time
        std::optional<ShiftBudget> budget;
        std::optional<CommitmentLedger> ledger;
        std::vector<LookupGrant> grants; ///< with the caller I/O thread
        std::vector<LookupGrant> given; ///< given out, not yet reported
        std::vector<LoanId> asked;
    };
    struct Document {
        std::uint64_t generation{};
        double cap{};
        std::uint32_t instances{};
        base::TimePoint lastInEffect; ///< true time up to which use under it counts
    };
    struct Use {
        base::TimePoint from;
        base::TimePoint to; ///< the same for a request; the end of the TTL for a commitment
        Units units{};
    };

    base::TimePoint local(const Instance &instance) const;
    base::TimePoint decisionTime(Instance &instance) const;
    void replace(Instance &instance, std::uint32_t a);
    void adopt(Instance &instance, const Document &document);
    void publish(std::uint32_t a, std::uint32_t b);
    void update(Instance &instance);
    void act(Instance &instance, std::uint32_t a, std::uint32_t b);
    void spend(Instance &instance, std::uint32_t a);
    void spendAll();
    void lookups(Instance &instance, std::uint32_t a, std::uint32_t b);
    void borrow(Instance &instance, std::uint32_t a, std::uint32_t b);
    void giveBack(Instance &instance, std::uint32_t a);
    void deliver(std::uint32_t a, std::uint32_t b);
    void record(const Instance &instance, Units units, base::Duration span);
    void check();
    void checkLoans();

    Fault m_fault;
    ShiftOptions m_options;
    base::TimePoint m_now{}; ///< true time
    std::array<Instance, s_instances> m_instances;
    std::vector<Document> m_documents; ///< oldest first
    std::vector<Message> m_network;
    std::deque<Use> m_uses;
    std::uint64_t m_nextIncarnation = 1;
    bool m_killed = false; ///< a lender may be gone, with its record of what it lent
};

} // namespace trefoilstile::shift::model
