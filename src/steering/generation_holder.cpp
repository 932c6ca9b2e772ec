// Comparison of versions and the rules of the alarms.

#include "trefoilstile/steering/generation_holder.hpp"

namespace trefoilstile::steering
{

namespace
{

/// Generations whose hash is remembered: enough to recognise a restored store whose history was written anew.
constexpr std::size_t s_knownHashes = 64;

} // namespace

Verdict GenerationHolder::compare(const DocumentVersion &version) const
{
    const DocumentVersion &held = m_announcement.document;
    if (version.generation > held.generation) {
        return Verdict::Newer;
    }
    const auto known = m_hashes.find(version.generation);
    if (known != m_hashes.end() && known->second != version.hash) {
        return Verdict::Mismatch;
    }
    return version.generation == held.generation ? Verdict::Same : Verdict::Older;
}

void GenerationHolder::raiseMismatch(const DocumentVersion &version, base::TimePoint now)
{
    if (!m_mismatch || version.generation > m_mismatch->seen.generation) {
        m_mismatch = Alarm{s_documentHashMismatch, now, version};
    }
}

Verdict GenerationHolder::compareWithPeer(const DocumentVersion &version, base::TimePoint now)
{
    const Verdict verdict = compare(version);
    // A lagging peer may still hold a disputed older generation; only a dispute about the present one is an alarm.
    if (verdict == Verdict::Mismatch && version.generation == m_announcement.document.generation) {
        raiseMismatch(version, now);
    }
    return verdict;
}

Verdict GenerationHolder::compareWithStore(const DocumentVersion &version, base::TimePoint requested, base::TimePoint now)
{
    const Verdict verdict = compare(version);
    if (version.generation >= m_announcement.document.generation) {
        m_regressed.reset();
    } else if (requested >= m_adopted && !m_regressed) {
        m_regressed = Alarm{s_documentRegressed, now, version};
    }
    if (verdict == Verdict::Mismatch) {
        raiseMismatch(version, now);
    }
    return verdict;
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
    if (m_hashes.size() > s_knownHashes) {
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
    std::vector<Alarm> standing;
    for (const auto &alarm : {m_regressed, m_mismatch}) {
        if (alarm) {
            standing.push_back(*alarm);
        }
    }
    return standing;
}

} // namespace trefoilstile::steering
