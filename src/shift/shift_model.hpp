// Model of several instances that use, lend and commit the quota of one pair of regions. Each instance has its own clock,
// and the network loses, delays, repeats and reorders messages. Used by shift_model_test.cpp only.
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

/// Rule that the model omits, to show that its checks detect the omission.
enum class Fault : std::uint8_t {
    None,
    NoStartHold, ///< a replacement uses its fixed quota immediately
    StaleClock, ///< after a pause an instance decides by a time that it read before the pause
    NoDriftAllowance, ///< windows and leases assume exact clocks
    UsesReturnedLoans, ///< a holder sends the return and continues to use the loan
    DividesByLiveMembers, ///< an instance divides the cap by the few instances that it considers alive
    KeepsOldLoans, ///< a holder adopts a document without closing its loans
};

/// One step of a history. `kind` selects the operation, `a` and `b` its subject and parameters; all values are valid.
struct Step {
    std::uint32_t kind{};
    std::uint32_t a{};
    std::uint32_t b{};
};

/// Instances, network and operator. Checks the cap after each use and the loans after each step.
class Model
{
public:
    explicit Model(Fault fault);
    Model(const Model &) = delete; ///< the ledgers refer to the budgets
    Model &operator=(const Model &) = delete;

    /// Applies one step. Sets `violation` if more than the largest cap in effect was used within one second, or if the
    /// holders borrowed more than the lenders count as lent.
    void apply(const Step &step);

    std::optional<std::string> violation;
    int grantsAccepted = 0; ///< loan grants accepted by holders
    int extensions = 0; ///< accepted grants that extended a loan
    int responses = 0; ///< lookup responses sent
    double peakUse = 0; ///< highest use in a window as a fraction of the cap

private:
    static constexpr std::size_t s_instances = 4;

    /// Message to an incarnation; exactly one of `request`, `grant` and `loanReturn` is set.
    struct Message {
        base::IncarnationId to;
        std::optional<LoanRequest> request;
        std::optional<LoanGrant> grant;
        std::optional<LoanReturn> loanReturn;
    };
    struct Instance {
        base::IncarnationId incarnation;
        std::uint64_t generation{};
        double clockRate = 1;
        base::TimePoint startedAt; ///< true time
        std::optional<base::TimePoint> pausedAt; ///< local time
        std::optional<ShiftBudget> budget;
        std::optional<CommitmentLedger> ledger;
        std::vector<LookupGrant> openGrants; ///< held by the caller I/O thread
        std::vector<LookupGrant> sentGrants; ///< sent to callers, not yet reported to the ledger
        std::vector<LoanId> requestedLoans; ///< oldest first; closed loans included
    };
    struct Document {
        std::uint64_t generation{};
        double cap{};
        std::uint32_t instances{};
        base::TimePoint lastInEffect; ///< true time until which use under it counts
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
    void handleLookups(Instance &instance, std::uint32_t a, std::uint32_t b);
    void borrow(Instance &instance, std::uint32_t a, std::uint32_t b);
    void returnLoan(Instance &instance, std::uint32_t a);
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
    bool m_killed = false; ///< a killed lender has lost its record of lent amounts
};

} // namespace trefoilstile::shift::model
