// Import of sealed key tables, and answers from them.

#include "trefoilstile/idempotency/sealed_tables.hpp"

#include <algorithm>

namespace trefoilstile::idempotency
{

namespace
{
std::size_t chargedBytes(const SealedEntry &entry)
{
    return s_recordBytes + entry.key.size() + chargedBytes(entry.response);
}

std::optional<BeginResult> answerFrom(const SealedEntry &entry, Fingerprint fingerprint)
{
    if (entry.fingerprint != fingerprint) {
        return BeginResult{.decision = KeyDecision::Mismatch};
    }
    if (entry.state == KeyState::Completed && entry.response) {
        return BeginResult{.decision = KeyDecision::Replay, .response = entry.response};
    }
    return BeginResult{.decision = KeyDecision::Unknown};
}
} // namespace

std::size_t chargedBytes(const StoredResponsePointer &response)
{
    return response ? sizeof(StoredResponse) + response->contentType.capacity() + response->body.capacity() : 0;
}

bool SealedTables::Table::isComplete() const
{
    return std::all_of(present.begin(), present.end(), [](bool held) {
        return held;
    });
}

SealedTables::SealedTables(SealedTablesOptions options)
    : m_options(options)
{
}

SealedTables::Import SealedTables::import(const SealedPart &part, base::TimePoint now)
{
    evictExpired(now);
    if (part.parts == 0 || part.parts > m_options.maximumParts || part.part >= part.parts) {
        return Import::Inconsistent;
    }
    std::size_t bytes = 0;
    for (const SealedEntry &entry : part.entries) {
        bytes += chargedBytes(entry);
    }
    const auto known = m_tables.find(part.incarnation);
    if (known != m_tables.end()) {
        const Table &table = known->second;
        if (table.parts != part.parts || table.oldestRunnableTick != part.oldestRunnableTick) {
            return Import::Inconsistent;
        }
        if (table.present[part.part]) {
            return Import::Duplicate;
        }
    }
    if (m_bytes + bytes > m_options.maximumBytes) {
        // A table that can never become complete is useless and would occupy its memory until it expires.
        if (known != m_tables.end()) {
            m_bytes -= known->second.bytes;
            m_tables.erase(known);
        }
        return Import::NoRoom;
    }
    Table &table = m_tables[part.incarnation];
    if (table.present.empty()) {
        table.parts = part.parts;
        table.oldestRunnableTick = part.oldestRunnableTick;
        table.present.resize(part.parts);
        table.firstPart = now;
    }
    table.present[part.part] = true;
    table.bytes += bytes;
    m_bytes += bytes;
    for (const SealedEntry &entry : part.entries) {
        table.entries.emplace(entry.key, entry);
    }
    return Import::Stored;
}

bool SealedTables::complete(base::IncarnationId incarnation) const
{
    const auto found = m_tables.find(incarnation);
    return found != m_tables.end() && found->second.isComplete();
}

std::optional<BeginResult> SealedTables::answer(std::string_view key, Fingerprint fingerprint, base::TimePoint now)
{
    evictExpired(now);
    const std::string text(key);
    const auto issued = IssuedKey::parse(key);
    if (!issued) {
        // A caller-generated key may have run at any instance, so only a stored response proves its outcome.
        for (const auto &[incarnation, table] : m_tables) {
            const auto entry = table.entries.find(text);
            if (entry != table.entries.end() && entry->second.state == KeyState::Completed) {
                return answerFrom(entry->second, fingerprint);
            }
        }
        return std::nullopt;
    }
    const auto found = m_tables.find(issued->incarnation);
    if (found == m_tables.end()) {
        return std::nullopt;
    }
    const Table &table = found->second;
    if (const auto entry = table.entries.find(text); entry != table.entries.end()) {
        return answerFrom(entry->second, fingerprint);
    }
    if (!table.isComplete()) {
        return std::nullopt;
    }
    const bool mayBeEvicted = issued->issueTick() < table.oldestRunnableTick;
    return BeginResult{.decision = mayBeEvicted ? KeyDecision::Unknown : KeyDecision::NotRun};
}

void SealedTables::evictExpired(base::TimePoint now)
{
    std::erase_if(m_tables, [&](const auto &item) {
        const bool expired = now - item.second.firstPart >= m_options.retention;
        m_bytes -= expired ? item.second.bytes : 0;
        return expired;
    });
}

} // namespace trefoilstile::idempotency
