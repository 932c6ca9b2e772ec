// Keyed requests of one incarnation: decides for each arrival whether it may run, and keeps outcomes for repeats.
//
// At most one run for each key (P5): a key of the issued form runs only in the table of the incarnation it names. A
// caller-generated key runs only after its claim was won in the table service. Inside the table one request at a time
// holds a key, and `Completed` and `Unknown` are final. A record is forgotten only after `retention`; by then an issued
// key is past `keyLifetime` and is answered `Unknown`, so forgetting never allows a second run, however late a repeat is.
//
// `not-run` with proof only (P4): an issued key that this table lacks and that is young enough never ran. For a
// caller-generated key another instance may have run an earlier attempt, so without a claim of our own `NotRun` is
// answered only to the caller's first attempt (repeat number 0); other attempts get `Unknown`.
//
// A copy that was sent earlier and is still under way must not run after the caller was told not-run. Callers may
// number their attempts from 0 (`repeat`). `NotRun` told to attempt n then means: no attempt up to n ran or will run.
// Without numbers a delayed copy cannot be told from a repeat and may run after a not-run.
//
// An instance must not answer not-run for a key that it does not own, nor before asking its table: an earlier attempt
// may have run at the issuer.
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
    /// A key may start its first run this long after it was issued, at least; then repeats get `Unknown`. Covers a
    /// cached lookup response (30 s, at most 57 s with jitter) and retries during a partition of several minutes.
    base::Duration keyLifetime = std::chrono::minutes(10);
    /// Time a record is kept after its outcome. At least `keyLifetime` and 4 ticks, so that a forgotten key is expired.
    base::Duration retention = std::chrono::minutes(15);
    /// Half of the 128 MB that the target size allows a node. With 765 bytes charged for a record with a body
    /// of 160 bytes (624 measured), 15 min carries 97 keyed requests/s at each instance; 24 h would carry 1.0/s.
    std::size_t maximumBytes = std::size_t{64} << 20U;
    /// Keys that are in progress, ran or may have run.
    std::size_t maximumRecords = 120'000;
    /// Keys that are kept only because an attempt was told not-run (about 20 MB). They have a limit of their own so that
    /// a flood of rejected requests cannot take the room of those that run. Beyond it, numbered attempts that are
    /// rejected are told `Unknown`, and the key stays runnable.
    std::size_t maximumRefusals = 40'000;
    /// Content type and body of a stored response, in bytes; a larger response is stored without its body.
    std::size_t maximumStoredResponse = std::size_t{4} << 10U;
    /// Requests that wait for one key. One caller has few copies under way; more are a fault or an attack.
    std::size_t maximumWaiters = 4;
};

/// What the caller is told at the end of a request that did not run itself, or did not complete.
enum class Outcome : std::uint8_t { Replay, NotRun, Unknown };

/// One request and what it is told.
struct RequestOutcome {
    base::RequestId id;
    Outcome outcome = Outcome::Unknown;
};

/// What becomes of all requests of a key whose run ended.
struct KeyResolution {
    std::vector<RequestOutcome> outcomes{}; ///< the holder unless it completed, then the waiters in order of arrival
    StoredResponsePointer response{}; ///< for `Outcome::Replay`
};

/// What became of a request whose caller has gone or whose deadline passed while it waited.
enum class Withdrawal : std::uint8_t {
    NotHeld, ///< the table does not know this request
    WaiterRemoved, ///< it waited and waits no more
    HandedOver, ///< it was queued; `WithdrawResult::next`, a waiter until now, is queued in its place
    Cancelled, ///< it was queued and nobody waits: the key is runnable again
    Continues, ///< claim or run goes on; the holder stays until that ends
};

struct WithdrawResult {
    Withdrawal kind = Withdrawal::NotHeld;
    std::optional<base::RequestId> next; ///< set for `HandedOver`
};

class KeyTable
{
public:
    /// Throws `Error` if the options allow a key to be forgotten while it may still run.
    explicit KeyTable(KeyIssuer issuer, KeyTableOptions options = {});

    // The records hold places in the order of endings, which a copy would share.
    KeyTable(const KeyTable &) = delete;
    KeyTable &operator=(const KeyTable &) = delete;
    KeyTable(KeyTable &&) = default;
    KeyTable &operator=(KeyTable &&) = default;

    /// Decides what becomes of an arriving request. `repeat` is the caller's attempt number from 0, if it gave one.
    BeginResult begin(std::string_view key, Fingerprint fingerprint, base::RequestId id, base::TimePoint now, std::optional<std::uint32_t> repeat = {});

    /// The claim is ours: the request is queued now.
    void claimWon(std::string_view key, base::RequestId id);

    /// Another claim holds the key: it never runs here.
    KeyResolution claimTaken(std::string_view key, base::RequestId id, base::TimePoint now);

    /// No definite reply. The claim may exist in the store, so a later `begin` returns the same claim ID; another
    /// instance would then find the key taken, which is safe.
    KeyResolution claimUnavailable(std::string_view key, base::RequestId id, base::TimePoint now);

    /// From now on the request may have run. Throws `Error` if it is not queued, for example after `expire`.
    void markSent(std::string_view key, base::RequestId id);

    /// Proof that the attempt did not run; the same request will be sent again.
    void returnToQueue(std::string_view key, base::RequestId id);

    /// The request leaves the queue unsent. Throws `Error` if it was sent.
    KeyResolution expire(std::string_view key, base::RequestId id, base::TimePoint now);

    /// Proof that the attempt did not run, and it will not be sent again.
    KeyResolution markNotRun(std::string_view key, base::RequestId id, base::TimePoint now);

    /// It ran; the response is kept. The holder gets its response directly and is not in the ending.
    KeyResolution complete(std::string_view key, base::RequestId id, const StoredResponsePointer &response, base::TimePoint now);

    /// It was sent and nothing more will be learnt.
    KeyResolution markOutcomeUnknown(std::string_view key, base::RequestId id, base::TimePoint now);

    /// The request's caller disconnected, or a waiter's deadline passed.
    WithdrawResult withdraw(std::string_view key, base::RequestId id, base::TimePoint now);

    /// From now on no request begins. Permanent: it may be called only when the process is going to exit.
    void seal();

    const KeyIssuer &issuer() const
    {
        return m_issuer;
    }

    bool sealed() const
    {
        return m_sealed;
    }

    /// Complete record of a sealed table, in parts of at most about `partBytes`. Throws `Error` unless it is sealed and
    /// nothing is in progress.
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

    /// Memory charged for the records, room reserved for responses under way included.
    std::size_t bytes() const
    {
        return m_bytes;
    }

private:
    struct Ended {
        base::TimePoint at;
        std::string_view key; ///< points to the key in `m_entries`
    };
    struct Entry {
        KeyRecord record;
        std::size_t charged{}; ///< this entry's part of `m_bytes`
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
    void forgetExpired(base::TimePoint now);

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
