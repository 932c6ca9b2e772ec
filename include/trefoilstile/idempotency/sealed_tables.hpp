// Key tables of instances that stopped as planned, held by their peers to answer repeats.
//
// Sound because the issuer runs nothing after sealing, only the issuer ever runs its keys, and the export contains every
// key that ran and may not have expired: an issued key that the complete table lacks did not run and never will.
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

/// Size of one exported part in bytes, well below the limit of 1 MiB for a frame between peers.
inline constexpr std::size_t s_sealedPartBytes = std::size_t{256} << 10U;

/// Memory charged for one record apart from its key and its response: the node of the table, its place in the order of
/// endings, waiters, and allocator overhead.
inline constexpr std::size_t s_recordBytes = 448;

/// Memory charged for a response.
std::size_t chargedBytes(const StoredResponsePointer &response);

enum class KeyDecision : std::uint8_t {
    Run, ///< the request holds the key: it may be queued and, after `markSent`, sent
    NeedsClaim, ///< claim the key under `BeginResult::claimId`, then report how that ended
    Wait, ///< another request with this key is in progress; the outcome comes with that one's ending
    Replay, ///< respond with `BeginResult::response`
    NotRun, ///< proved not run, and this request does not run either
    Unknown, ///< an earlier attempt may have run and nothing is stored
    Full, ///< no room to run it; not-run only if `BeginResult::provedNotRun`, else unknown
    TooManyWaiters, ///< in progress, with no room to wait: unknown
    NotOwner, ///< relay to `BeginResult::owner`; if that fails: unknown
    Mismatch, ///< another request has this key (422); says nothing about the outcome of that one
    Invalid, ///< not a key, or one that its issuer never issued (400)
};

struct BeginResult {
    KeyDecision decision = KeyDecision::Unknown;
    StoredResponsePointer response{}; ///< for `Replay`
    base::IncarnationId owner{}; ///< for `NotOwner`
    std::string claimId{}; ///< for `NeedsClaim`; the value to write to the row, by which a lost response is resolved
    bool provedNotRun = false; ///< for `Full`
};

/// One key of a sealed table that ran or may have run.
struct SealedEntry {
    std::string key;
    KeyState state = KeyState::Unknown; ///< `Completed` or `Unknown`
    Fingerprint fingerprint;
    StoredResponsePointer response;
};

/// Part of the complete record of a stopped instance.
struct SealedPart {
    base::IncarnationId incarnation{};
    std::uint32_t part{}; ///< 0 to `parts` - 1
    std::uint32_t parts = 1;
    std::uint32_t oldestRunnableTick{}; ///< keys issued before may have run and been forgotten
    std::vector<SealedEntry> entries{};
};

struct SealedTablesOptions {
    base::Duration retention = std::chrono::minutes(15); ///< as long as the issuer would have kept its records
    std::size_t maximumBytes = std::size_t{32} << 20U; ///< of all tables held
    std::uint32_t maximumParts = 1024; ///< of one table; bounds what a peer can announce
};

class SealedTables
{
public:
    enum class Import : std::uint8_t {
        Stored, ///< held now
        Duplicate, ///< held before; nothing changed
        NoRoom, ///< the whole table of that incarnation is not held here; another peer has to take it
        Inconsistent, ///< malformed, or contradicts an earlier part
    };

    explicit SealedTables(SealedTablesOptions options = {});

    /// Takes one part. `complete` tells when all have come.
    Import import(const SealedPart &part, base::TimePoint now);

    /// True once every part of that incarnation's table is held.
    bool complete(base::IncarnationId incarnation) const;

    /// `Replay`, `Unknown`, `NotRun` or `Mismatch`; nothing if no table held here covers the key. Ask it for issued
    /// keys of other incarnations before relaying, and for caller-generated keys before `KeyTable::begin`.
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

    void forgetExpired(base::TimePoint now);

    SealedTablesOptions m_options;
    std::unordered_map<base::IncarnationId, Table> m_tables;
    std::size_t m_bytes = 0;
};

} // namespace trefoilstile::idempotency
