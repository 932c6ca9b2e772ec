// Arriving requests, memory limits and export of the key table. key_table_transitions.cpp has the transitions of records in
// progress.

#include "trefoilstile/idempotency/key_table.hpp"

#include <algorithm>

#include <fmt/format.h>

#include "trefoilstile/idempotency/error.hpp"

namespace trefoilstile::idempotency
{

namespace
{
/// Minimum number of ticks by which the retention exceeds the lifetime of a key. One tick each for the rounding of the issue
/// time, of the lifetime and of the current time, and one for a key that an I/O thread issued just after the time passed to
/// `begin`.
constexpr int s_roundingTicks = 4;

/// False only if the attempt or a later one was answered not-run; attempts without a number count as new.
bool isNewerThanRefused(std::optional<std::uint32_t> repeat, std::optional<std::uint32_t> refusedUpTo)
{
    return !repeat || !refusedUpTo || *repeat > *refusedUpTo;
}
} // namespace

KeyTable::KeyTable(KeyIssuer issuer, KeyTableOptions options)
    : m_issuer(issuer)
    , m_options(options)
    , m_entries(0, KeyHash{base::mixBits(issuer.incarnation().value)})
{
    if (m_options.keyLifetime <= base::Duration::zero() || m_options.retention < m_options.keyLifetime + s_roundingTicks * s_issueTick) {
        throw Error("key table options: the key lifetime must be positive and the retention at least 4 min longer");
    }
}

std::uint32_t KeyTable::lifetimeTicks() const
{
    return static_cast<std::uint32_t>(m_options.keyLifetime / s_issueTick) + 1;
}

std::uint32_t KeyTable::oldestRunnableTick(base::TimePoint now) const
{
    const std::uint32_t tick = m_issuer.tickAt(now);
    return tick > lifetimeTicks() ? tick - lifetimeTicks() : 0;
}

BeginResult KeyTable::begin(std::string_view key, Fingerprint fingerprint, base::RequestId id, base::TimePoint now, std::optional<std::uint32_t> repeat)
{
    evictExpired(now);
    const KeyKind kind = keyKind(key);
    if (kind == KeyKind::Invalid) {
        return {.decision = KeyDecision::Invalid};
    }
    if (kind == KeyKind::Issued) {
        const base::IncarnationId owner = IssuedKey::parse(key)->incarnation;
        if (owner != m_issuer.incarnation()) {
            return {.decision = KeyDecision::NotOwner, .owner = owner};
        }
    }
    const KeyRecord request{.fingerprint = fingerprint, .holder = id, .holderRepeat = repeat};
    if (const auto found = m_entries.find(key); found != m_entries.end()) {
        return beginKnown(*found, request, kind);
    }
    return beginNew(key, request, kind, now);
}

BeginResult KeyTable::beginNew(std::string_view key, const KeyRecord &request, KeyKind kind, base::TimePoint now)
{
    if (kind == KeyKind::Issued) {
        const std::uint32_t issued = IssuedKey::parse(key)->issueTick();
        if (issued > m_issuer.tickAt(now) + 1) {
            return {.decision = KeyDecision::Invalid};
        }
        if (issued < oldestRunnableTick(now)) {
            return {.decision = KeyDecision::Unknown};
        }
    }
    if (m_sealed) {
        return {.decision = kind == KeyKind::Issued ? KeyDecision::NotRun : KeyDecision::Unknown};
    }
    const std::size_t bytes = s_recordBytes + key.size();
    if (!hasRoom(bytes + m_options.maximumStoredResponse)) {
        return refuse(key, request, kind, now);
    }
    auto &item = *m_entries.try_emplace(std::string(key)).first;
    item.second.record.fingerprint = request.fingerprint;
    charge(item.second, bytes);
    ++m_refusals; // `start` decrements it
    return start(item, request, kind);
}

BeginResult KeyTable::beginKnown(Entries::value_type &item, const KeyRecord &request, KeyKind kind)
{
    KeyRecord &record = item.second.record;
    if (record.fingerprint != request.fingerprint) {
        return {.decision = KeyDecision::Mismatch};
    }
    switch (record.state) {
    case KeyState::Completed:
        return {.decision = KeyDecision::Replay, .response = record.response};
    case KeyState::Unknown:
        return {.decision = KeyDecision::Unknown};
    case KeyState::NotRun:
        break;
    default:
        // A delayed copy of an attempt that was answered not-run must not wait, since a withdrawal could make it the holder.
        if (!isNewerThanRefused(request.holderRepeat, record.refusedUpTo)) {
            return {.decision = KeyDecision::Unknown};
        }
        if (record.waiters.size() >= m_options.maximumWaiters) {
            return {.decision = KeyDecision::TooManyWaiters};
        }
        record.waiters.push_back({request.holder, request.holderRepeat});
        return {.decision = KeyDecision::Wait};
    }
    if (!isNewerThanRefused(request.holderRepeat, record.refusedUpTo)) {
        return {.decision = KeyDecision::NotRun};
    }
    const bool ownedHere = kind == KeyKind::Issued || record.claimWon;
    if (m_sealed) {
        return {.decision = ownedHere ? KeyDecision::NotRun : KeyDecision::Unknown};
    }
    if (!hasRoom(m_options.maximumStoredResponse)) {
        const bool proved = ownedHere && request.holderRepeat.has_value();
        if (proved) {
            record.refusedUpTo = std::max(record.refusedUpTo.value_or(0), *request.holderRepeat);
        }
        return {.decision = KeyDecision::Full, .provedNotRun = ownedHere};
    }
    return start(item, request, kind);
}

BeginResult KeyTable::refuse(std::string_view key, const KeyRecord &request, KeyKind kind, base::TimePoint now)
{
    const bool proved = kind == KeyKind::Issued || request.holderRepeat == 0U;
    const std::size_t bytes = s_recordBytes + key.size();
    if (!proved || !request.holderRepeat) {
        return {.decision = KeyDecision::Full, .provedNotRun = proved};
    }
    // A numbered attempt is answered not-run only if that can be recorded, so that a delayed copy of it does not run later.
    if (m_refusals >= m_options.maximumRefusals || m_bytes + bytes > m_options.maximumBytes) {
        return {.decision = KeyDecision::Full};
    }
    auto &item = *m_entries.try_emplace(std::string(key)).first;
    item.second.record.fingerprint = request.fingerprint;
    item.second.record.refusedUpTo = request.holderRepeat;
    charge(item.second, bytes);
    ++m_refusals;
    item.second.ended = m_ended.insert(m_ended.end(), {now, item.first});
    return {.decision = KeyDecision::Full, .provedNotRun = true};
}

BeginResult KeyTable::start(Entries::value_type &item, const KeyRecord &request, KeyKind kind)
{
    KeyRecord &record = item.second.record;
    const bool needsClaim = kind == KeyKind::CallerGenerated && !record.claimWon;
    const KeyState next = needsClaim ? KeyState::Claiming : KeyState::Queued;
    checkTransition(record.state, next, item.first);
    record.state = next;
    record.holder = request.holder;
    record.holderRepeat = request.holderRepeat;
    ++m_inProgress;
    --m_refusals;
    if (item.second.ended) {
        m_ended.erase(*item.second.ended);
        item.second.ended.reset();
    }
    charge(item.second, m_options.maximumStoredResponse);
    if (!needsClaim) {
        return {.decision = KeyDecision::Run};
    }
    // The claim ID belongs to the record, not to the key: after the record was evicted, the same instance creates another
    // claim ID, finds its earlier claim taken, and does not run the key again.
    if (record.claim == 0) {
        record.claim = ++m_lastClaim;
    }
    return {.decision = KeyDecision::NeedsClaim, .claimId = fmt::format("{}.{}", base::toHex(m_issuer.incarnation()), record.claim)};
}

void KeyTable::seal()
{
    m_sealed = true;
}

std::vector<SealedPart> KeyTable::exportSealed(base::TimePoint now, std::size_t partBytes) const
{
    if (!m_sealed || m_inProgress != 0) {
        throw Error(fmt::format("key table cannot be exported: {}, {} requests in progress", m_sealed ? "sealed" : "not sealed", m_inProgress));
    }
    const SealedPart empty{.incarnation = m_issuer.incarnation(), .oldestRunnableTick = oldestRunnableTick(now)};
    std::vector<SealedPart> parts{empty};
    std::size_t bytes = 0;
    for (const auto &[key, entry] : m_entries) {
        if (entry.record.state == KeyState::NotRun) {
            continue;
        }
        const std::size_t entryBytes = key.size() + chargedBytes(entry.record.response);
        if (bytes != 0 && bytes + entryBytes > partBytes) {
            parts.push_back(empty);
            bytes = 0;
        }
        bytes += entryBytes;
        parts.back().entries.push_back({key, entry.record.state, entry.record.fingerprint, entry.record.response});
    }
    for (std::size_t i = 0; i < parts.size(); ++i) {
        parts[i].part = static_cast<std::uint32_t>(i);
        parts[i].parts = static_cast<std::uint32_t>(parts.size());
    }
    return parts;
}

std::optional<KeyState> KeyTable::state(std::string_view key) const
{
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? std::nullopt : std::optional(found->second.record.state);
}

bool KeyTable::hasRoom(std::size_t bytes) const
{
    return m_entries.size() - m_refusals < m_options.maximumRecords && m_bytes + bytes <= m_options.maximumBytes;
}

void KeyTable::charge(Entry &entry, std::size_t bytes)
{
    entry.charged += bytes;
    m_bytes += bytes;
}

void KeyTable::evictExpired(base::TimePoint now)
{
    while (!m_ended.empty() && now - m_ended.front().at >= m_options.retention) {
        const auto found = m_entries.find(m_ended.front().key);
        m_ended.pop_front();
        m_bytes -= found->second.charged;
        m_refusals -= found->second.record.state == KeyState::NotRun ? 1 : 0;
        m_entries.erase(found);
    }
}

} // namespace trefoilstile::idempotency
