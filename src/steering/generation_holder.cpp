// Comparison of versions, and raising and clearing of alarms.

#include "trefoilstile/steering/generation_holder.hpp"

namespace trefoilstile::steering
{

namespace
{

/// Number of generations whose hash is kept; enough to detect a restored store with a rewritten history.
constexpr std::size_t s_maximumHashes = 64;

} // namespace

VersionComparison GenerationHolder::compare(const DocumentVersion &version) const
{
    const DocumentVersion &held = m_announcement.document;
    if (version.generation > held.generation) {
        return VersionComparison::Newer;
    }
    const auto known = m_hashes.find(version.generation);
    if (known != m_hashes.end() && known->second != version.hash) {
        return VersionComparison::Mismatch;
    }
    return version.generation == held.generation ? VersionComparison::Same : VersionComparison::Older;
}

void GenerationHolder::raiseMismatch(const DocumentVersion &version, base::TimePoint now)
{
    if (!m_mismatch || version.generation > m_mismatch->seen.generation) {
        m_mismatch = Alarm{s_documentHashMismatch, now, version};
    }
}

VersionComparison GenerationHolder::compareWithPeer(const DocumentVersion &version, base::TimePoint now)
{
    const VersionComparison comparison = compare(version);
    // A lagging peer may still have a disputed older generation; only a mismatch at the current generation raises an alarm.
    if (comparison == VersionComparison::Mismatch && version.generation == m_announcement.document.generation) {
        raiseMismatch(version, now);
    }
    return comparison;
}

VersionComparison GenerationHolder::compareWithStore(const DocumentVersion &version, base::TimePoint requested, base::TimePoint now)
{
    const VersionComparison comparison = compare(version);
    if (version.generation >= m_announcement.document.generation) {
        m_regressed.reset();
    } else if (requested >= m_adopted && !m_regressed) {
        m_regressed = Alarm{s_documentRegressed, now, version};
    }
    if (comparison == VersionComparison::Mismatch) {
        raiseMismatch(version, now);
    }
    return comparison;
}

bool GenerationHolder::adoptDocument(const DocumentVersion &version, base::TimePoint now)
{
    if (version.generation <= m_announcement.document.generation) {
        return false;
    }
    m_announcement.document = version;
    m_adopted = now;
    m_regressed.reset();
    m_hashes[version.generation] = version.hash;
    if (m_hashes.size() > s_maximumHashes) {
        m_hashes.erase(m_hashes.begin());
    }
    if (m_mismatch && version.generation > m_mismatch->seen.generation) {
        m_mismatch.reset();
    }
    return true;
}

bool GenerationHolder::adoptDrains(base::Generation generation)
{
    if (generation <= m_announcement.drains) {
        return false;
    }
    m_announcement.drains = generation;
    return true;
}

std::vector<Alarm> GenerationHolder::alarms() const
{
    std::vector<Alarm> active;
    for (const auto &alarm : {m_regressed, m_mismatch}) {
        if (alarm) {
            active.push_back(*alarm);
        }
    }
    return active;
}

} // namespace trefoilstile::steering
