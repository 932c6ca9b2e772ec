// Key tables of instances that stopped as planned, held by their peers to answer repeats.
//
// Answers are correct because the issuer runs nothing after sealing, only the issuer ever runs its keys, and the export
// contains every key that ran and may not have expired: an unexpired issued key that the complete table lacks did not run
// and never will.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "trefoilstile/idempotency/key_record.hpp"

namespace trefoilstile::idempotency
{

/// Size of one exported part in bytes: a quarter of the limit of 1 MiB for a frame between peers.
inline constexpr std::size_t s_sealedPartBytes = std::size_t{256} << 10U;

/// Memory charged for one record in bytes, without its key and response: the table node, its entry in the list of ended
/// records, waiters, and allocator overhead.
inline constexpr std::size_t s_recordBytes = 448;

/// Memory charged for a response, in bytes; 0 without one.
std::size_t chargedBytes(const StoredResponsePointer &response);

/// Decision on a request with an idempotency key.
enum class KeyDecision : std::uint8_t {
    Run, ///< the request holds the key: it may be queued and, after `markSent`, sent
    NeedsClaim, ///< claim the key with `BeginResult::claimId`, then report the result
    Wait, ///< another request with this key is in progress; its `KeyResolution` contains the outcome
    Replay, ///< respond with `BeginResult::response`
    NotRun, ///< proved not to have run; this request does not run either
    Unknown, ///< an earlier attempt may have run and no response is stored
    Full, ///< no space for the record; not-run only if `BeginResult::provedNotRun`, else unknown
    TooManyWaiters, ///< in progress with the maximum number of waiters: unknown
    NotOwner, ///< relay to `BeginResult::owner`; if that fails: unknown
    Mismatch, ///< a different request has this key (422); implies nothing about its outcome
    Invalid, ///< not a valid key, or one that its issuer never issued (400)
};

struct BeginResult {
    KeyDecision decision = KeyDecision::Unknown;
    StoredResponsePointer response{}; ///< for `Replay`
    base::IncarnationId owner{}; ///< for `NotOwner`
    std::string claimId{}; ///< for `NeedsClaim`: value to write to the row; identifies the own claim after a lost response
    bool provedNotRun = false; ///< for `Full`
};

/// Key of a sealed table that ran or may have run.
struct SealedEntry {
    std::string key;
    KeyState state = KeyState::Unknown; ///< `Completed` or `Unknown`
    Fingerprint fingerprint;
    StoredResponsePointer response;
};

/// Part of the exported key table of a stopped instance.
struct SealedPart {
    base::IncarnationId incarnation{};
    std::uint32_t part{}; ///< 0 to `parts` - 1
    std::uint32_t parts = 1;
    std::uint32_t oldestRunnableTick{}; ///< keys issued earlier may have run and been evicted
    std::vector<SealedEntry> entries{};
};

struct SealedTablesOptions {
    base::Duration retention = std::chrono::minutes(15); ///< equal to the retention of the issuer
    std::size_t maximumBytes = std::size_t{32} << 20U; ///< of all held tables together
    std::uint32_t maximumParts = 1024; ///< of one table; bounds the number that a peer can announce
};

/// Sealed key tables of other incarnations held by this instance.
class SealedTables
{
public:
    enum class Import : std::uint8_t {
        Stored, ///< the part is held
        Duplicate, ///< the part was already held; nothing changed
        NoRoom, ///< the limit is reached and the whole table of that incarnation was dropped; another peer has to hold it
        Inconsistent, ///< malformed, or contradicts an earlier part
    };

    explicit SealedTables(SealedTablesOptions options = {});

    /// Adds one part. `complete` returns true once all parts are held.
    Import import(const SealedPart &part, base::TimePoint now);

    /// True once every part of that incarnation's table is held.
    bool complete(base::IncarnationId incarnation) const;

    /// `Replay`, `Unknown`, `NotRun` or `Mismatch`; nothing if no held table covers the key. Call it for issued keys of
    /// other incarnations before relaying, and for caller-generated keys before `KeyTable::begin`.
    std::optional<BeginResult> answer(std::string_view key, Fingerprint fingerprint, base::TimePoint now);

private:
    struct Table {
        std::uint32_t parts{};
        std::uint32_t oldestRunnableTick{};
        std::vector<bool> present;
        std::unordered_map<std::string, SealedEntry> entries;
        std::size_t bytes{};
        base::TimePoint firstPart;

        bool isComplete() const;
    };

    void evictExpired(base::TimePoint now);

    SealedTablesOptions m_options;
    std::unordered_map<base::IncarnationId, Table> m_tables;
    std::size_t m_bytes = 0;
};

} // namespace trefoilstile::idempotency
