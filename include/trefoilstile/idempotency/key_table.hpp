// Keyed requests of one incarnation: decides for each arriving request whether it may run, and stores outcomes for repeats.
//
// At most one run for each key (P5 in docs/proofs.md): a key of the issued form runs only in the table of the incarnation
// that it names. A caller-generated key runs only after its claim was won in the table service. Within the table one request
// at a time holds a key, and `Completed` and `Unknown` are final. A record is evicted only after `retention`. By then an
// issued key is older than `keyLifetime` and is answered `Unknown`, so eviction never allows a second run, however late a
// repeat is. An evicted caller-generated key needs a new claim and finds its earlier claim taken.
//
// `NotRun` only with proof (P4 in docs/proofs.md): an issued key that this table lacks and that is not older than its
// lifetime never ran. For a caller-generated key another instance may have run an earlier attempt, so without a claim of
// this instance `NotRun` is answered only to the caller's first attempt (repeat number 0); other attempts get `Unknown`.
//
// A copy of a request that is still in transit must not run after its caller received not-run. Callers may number their
// attempts from 0 (`repeat`). `NotRun` for attempt n then means that no attempt up to n ran or will run. Without numbers a
// delayed copy cannot be distinguished from a repeat and may run after a not-run.
//
// An instance must not answer not-run for a key that it does not own, nor before it has looked the key up in its table:
// an earlier attempt may have run at the issuer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "trefoilstile/idempotency/key_record.hpp"
#include "trefoilstile/idempotency/sealed_tables.hpp"

namespace trefoilstile::idempotency
{

struct KeyTableOptions {
    /// Minimum time after its issue during which a key may start its first run; later requests get `Unknown`. Covers a
    /// cached lookup response (30 s, at most 57 s with jitter) and retries during a partition of several minutes.
    base::Duration keyLifetime = std::chrono::minutes(10);
    /// Time for which a record is kept after its outcome. At least `keyLifetime` plus 4 ticks, so that the key of an evicted
    /// record has expired.
    base::Duration retention = std::chrono::minutes(15);
    /// Half of the 128 MB that an instance may use at the target size. A record with a body of 160 bytes is charged 765
    /// bytes (624 measured), so a retention of 15 min supports 97 keyed requests/s at each instance; 24 h would support
    /// 1.0/s.
    std::size_t maximumBytes = std::size_t{64} << 20U;
    /// Maximum number of keys that are in progress, ran or may have run.
    std::size_t maximumRecords = 120'000;
    /// Maximum number of keys that are kept only because an attempt was answered not-run (about 20 MB). The limit is
    /// separate so that a flood of rejected requests cannot use the space of requests that run. Above it, rejected
    /// numbered attempts are answered `Unknown`, and the key can still run.
    std::size_t maximumRefusals = 40'000;
    /// Maximum size of content type and body of a stored response, in bytes; a larger response is stored without its body.
    std::size_t maximumStoredResponse = std::size_t{4} << 10U;
    /// Maximum number of requests that wait for one key. A caller has few copies in transit; more are a fault or an attack.
    std::size_t maximumWaiters = 4;
};

/// Answer to a request that did not run itself or did not complete.
enum class Outcome : std::uint8_t { Replay, NotRun, Unknown };

/// Request and its answer.
struct RequestOutcome {
    base::RequestId id;
    Outcome outcome = Outcome::Unknown;
};

/// Answers to all requests of a key whose claim, wait in the queue or run has ended.
struct KeyResolution {
    std::vector<RequestOutcome> outcomes{}; ///< holder unless it completed, then the waiters in order of arrival
    StoredResponsePointer response{}; ///< for `Outcome::Replay`
};

/// Effect of the withdrawal of a request whose caller disconnected or whose deadline passed while it waited.
enum class Withdrawal : std::uint8_t {
    NotHeld, ///< the table has no such request
    WaiterRemoved, ///< the request was a waiter and has been removed
    HandedOver, ///< the request was queued; the first waiter, `WithdrawResult::next`, is queued in its place
    Cancelled, ///< the request was queued without waiters: the key may run again
    Continues, ///< the claim or run continues; the request remains the holder until it ends
};

struct WithdrawResult {
    Withdrawal kind = Withdrawal::NotHeld;
    std::optional<base::RequestId> next; ///< set for `HandedOver`
};

/// Records of the keys that this incarnation runs.
class KeyTable
{
public:
    /// Throws `Error` if the options allow the record of a key to be evicted while the key may still run.
    explicit KeyTable(KeyIssuer issuer, KeyTableOptions options = {});

    // Entries hold iterators into `m_ended`, which would refer to the original in a copy.
    KeyTable(const KeyTable &) = delete;
    KeyTable &operator=(const KeyTable &) = delete;
    KeyTable(KeyTable &&) = default;
    KeyTable &operator=(KeyTable &&) = default;

    /// Decides how an arriving request is handled. `repeat` is the caller's attempt number from 0, if it gave one.
    BeginResult begin(std::string_view key, Fingerprint fingerprint, base::RequestId id, base::TimePoint now, std::optional<std::uint32_t> repeat = {});

    /// Reports that this instance won the claim; the request becomes queued.
    void claimWon(std::string_view key, base::RequestId id);

    /// Reports that another claim holds the key; the key never runs at this instance.
    KeyResolution claimTaken(std::string_view key, base::RequestId id, base::TimePoint now);

    /// Reports that the store gave no definite reply. The claim may exist in the store, so a later `begin` returns the same
    /// claim ID; another instance would then find the key taken, which is safe.
    KeyResolution claimUnavailable(std::string_view key, base::RequestId id, base::TimePoint now);

    /// Marks the request as sent: from now on it may have run. Throws `Error` if it is not queued, for example after
    /// `expire`.
    void markSent(std::string_view key, base::RequestId id);

    /// Reports proof that the attempt did not run; the same request will be sent again.
    void returnToQueue(std::string_view key, base::RequestId id);

    /// Removes the request from the queue unsent. Throws `Error` if it is not queued.
    KeyResolution expire(std::string_view key, base::RequestId id, base::TimePoint now);

    /// Reports proof that the attempt did not run, and that it will not be sent again.
    KeyResolution markNotRun(std::string_view key, base::RequestId id, base::TimePoint now);

    /// Stores the response of a request that ran. The holder gets its response directly and is not in the result.
    KeyResolution complete(std::string_view key, base::RequestId id, const StoredResponsePointer &response, base::TimePoint now);

    /// Reports that the request was sent and its outcome will not become known.
    KeyResolution markOutcomeUnknown(std::string_view key, base::RequestId id, base::TimePoint now);

    /// Withdraws a request whose caller disconnected, or a waiter whose deadline passed.
    WithdrawResult withdraw(std::string_view key, base::RequestId id, base::TimePoint now);

    /// Permanently refuses new requests. May be called only when the process is about to exit.
    void seal();

    const KeyIssuer &issuer() const
    {
        return m_issuer;
    }

    bool sealed() const
    {
        return m_sealed;
    }

    /// Contents of the sealed table, in parts of about `partBytes` at most. Throws `Error` unless the table is sealed and
    /// no request is in progress.
    std::vector<SealedPart> exportSealed(base::TimePoint now, std::size_t partBytes = s_sealedPartBytes) const;

    /// State of a key, for tests and `explain`.
    std::optional<KeyState> state(std::string_view key) const;

    std::size_t size() const
    {
        return m_entries.size();
    }

    std::size_t inProgress() const
    {
        return m_inProgress;
    }

    /// Memory charged for the records in bytes, including space reserved for expected responses.
    std::size_t bytes() const
    {
        return m_bytes;
    }

private:
    struct Ended {
        base::TimePoint at;
        std::string_view key; ///< view of the key in `m_entries`
    };
    struct Entry {
        KeyRecord record;
        std::size_t charged{}; ///< this entry's part of `m_bytes`, in bytes
        std::optional<std::list<Ended>::iterator> ended; ///< set exactly while the record is not in progress
    };
    struct KeyHash {
        using is_transparent = void; // NOLINT(readability-identifier-naming): name given by the standard library
        std::uint64_t seed;
        std::size_t operator()(std::string_view key) const
        {
            return base::stableHash(key, seed);
        }
    };
    using Entries = std::unordered_map<std::string, Entry, KeyHash, std::equal_to<>>;

    std::uint32_t lifetimeTicks() const;
    std::uint32_t oldestRunnableTick(base::TimePoint now) const;
    BeginResult beginNew(std::string_view key, const KeyRecord &request, KeyKind kind, base::TimePoint now);
    BeginResult beginKnown(Entries::value_type &item, const KeyRecord &request, KeyKind kind);
    BeginResult refuse(std::string_view key, const KeyRecord &request, KeyKind kind, base::TimePoint now);
    BeginResult start(Entries::value_type &item, const KeyRecord &request, KeyKind kind);
    Entries::value_type &held(std::string_view key, base::RequestId id);
    KeyResolution finish(Entries::value_type &item, KeyState state, base::TimePoint now);
    void settle(Entries::value_type &item, KeyState state, base::TimePoint now);
    bool hasRoom(std::size_t bytes) const;
    void charge(Entry &entry, std::size_t bytes);
    void evictExpired(base::TimePoint now);

    KeyIssuer m_issuer;
    KeyTableOptions m_options;
    Entries m_entries;
    std::list<Ended> m_ended; ///< oldest first
    std::size_t m_inProgress = 0;
    std::size_t m_refusals = 0; ///< records in `NotRun`
    std::size_t m_bytes = 0;
    std::uint64_t m_lastClaim = 0;
    bool m_sealed = false;
};

} // namespace trefoilstile::idempotency
