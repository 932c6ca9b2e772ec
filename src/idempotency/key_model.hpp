// Model of several instances with key tables, a network, a store of claims and an upstream that records runs.
// Used by key_model_test.cpp only.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "trefoilstile/idempotency/key_table.hpp"

namespace trefoilstile::idempotency::model
{

/// Rule that the model omits, to show that its checks detect the omission.
enum class Fault : std::uint8_t {
    None,
    NoAttemptNumbers, ///< callers do not number their attempts
    RunsForeignKeys, ///< an instance runs the keys of an issuer that it considers dead
    ForeignNotRun, ///< an instance answers not-run when it cannot reach the issuer
    NotRunAfterUnavailableClaim, ///< every caller receives not-run when a claim got no reply
    RunsAfterSealing, ///< an instance runs requests that its sealed table refuses
    SendsExpired, ///< the sender ignores that the request has left the queue
};

/// One step of a history. `kind` selects the operation, `a` and `b` its subject and parameters; all values are valid.
struct Step {
    std::uint32_t kind{};
    std::uint32_t a{};
    std::uint32_t b{};
};

/// Instances, network, store, upstream and callers. Checks runs and answers after each step.
class Model
{
public:
    explicit Model(Fault fault)
        : m_fault(fault)
    {
        for (std::size_t i = 0; i < s_instances; ++i) {
            replace(i);
        }
    }

    /// Applies one step. Sets `violation` if a key ran twice, if an attempt ran although it or a later one was answered
    /// not-run, or if a response of another key was replayed.
    void apply(const Step &step);

    std::optional<std::string> violation;
    bool allowLateRuns = false; ///< allows delayed copies to run after not-run was answered, which is possible without numbers
    std::map<KeyDecision, int> decisions; ///< number of occurrences of each decision
    std::size_t runCount() const
    {
        return m_runs.size();
    }

private:
    static constexpr std::size_t s_instances = 4;
    static constexpr std::size_t s_keys = 4; ///< in use at a time; two issued, two caller-generated
    static constexpr Fingerprint s_fingerprint{1};

    struct Attempt {
        std::string key;
        std::uint32_t number{};
    };
    enum class Kind : std::uint8_t { Request, Reply, Claim, ClaimReply, Upstream, UpstreamReply, Sealed };
    struct Message {
        Kind kind = Kind::Request;
        base::IncarnationId from{}; ///< 0: caller, store or upstream
        base::IncarnationId to{}; ///< 0: caller, store or upstream
        Attempt attempt{};
        base::RequestId request{};
        bool relayed = false;
        Outcome outcome = Outcome::Unknown; ///< for `Reply`; for `UpstreamReply`: `Replay` if it ran, `NotRun` if it was rejected
        StoredResponsePointer response{};
        std::string claimId{};
        bool won = false;
        std::vector<SealedPart> parts{};
    };
    enum class Stage : std::uint8_t { Claiming, Queued, Expired, Sent, Waiting };
    struct Held {
        Attempt attempt;
        Stage stage = Stage::Queued;
    };
    struct Instance {
        base::IncarnationId incarnation;
        std::optional<KeyTable> table;
        SealedTables sealedTables;
        std::map<std::uint64_t, Held> requests;
    };

    Instance *find(base::IncarnationId incarnation);
    void replace(std::size_t index);
    void send(std::uint32_t a, std::uint32_t b);
    void deliver(std::uint32_t a, std::uint32_t b);
    void arrive(Instance &instance, const Message &message);
    void act(Instance &instance, std::uint32_t a, std::uint32_t b);
    void actOn(Instance &instance, base::RequestId id, Held &held, std::uint32_t b);
    void end(Instance &instance, const KeyResolution &resolution);
    void stop(Instance &instance, std::uint32_t b);
    void upstream(const Message &message, std::uint32_t b);
    void claim(const Message &message);
    bool ranUpTo(const Attempt &attempt) const;
    void sendReply(const Attempt &attempt, Outcome outcome, const StoredResponsePointer &response = {});
    void receiveReply(const Message &message);
    void run(const Attempt &attempt);
    std::optional<std::uint32_t> repeat(const Attempt &attempt) const
    {
        return m_fault == Fault::NoAttemptNumbers ? std::nullopt : std::optional(attempt.number);
    }

    Fault m_fault;
    base::TimePoint m_now{};
    std::array<Instance, s_instances> m_instances;
    std::array<std::string, s_keys> m_keys;
    std::map<std::string, std::uint32_t> m_attemptsSent; ///< number of attempts sent so far, by key
    std::map<std::string, std::vector<std::uint32_t>> m_runs; ///< numbers of the attempts that ran, by key
    std::map<std::string, std::uint32_t> m_answeredNotRun; ///< highest attempt number answered not-run, by key
    std::map<std::string, std::string> m_claims;
    std::vector<Message> m_network;
    std::uint64_t m_nextId = 1;
    std::uint32_t m_partition = 0; ///< instance indexes (bits) on the far side of a partition
    bool m_storeUp = true;
};

} // namespace trefoilstile::idempotency::model
