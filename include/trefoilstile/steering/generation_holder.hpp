// Versions of the document and drain list in effect at this node, and alarms about conflicting versions from the store or peers.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/base/time.hpp"
#include "trefoilstile/steering/version.hpp"

namespace trefoilstile::steering
{

/// Result of comparing a version with the one in effect.
enum class VersionComparison : std::uint8_t {
    Newer, ///< higher generation, to be fetched
    Same, ///< the one in effect
    Older, ///< ignored
    Mismatch, ///< different hash for a known generation; ignored
};

/// Names of alarms as written to status and metrics.
inline constexpr std::string_view s_documentRegressed = "document_regressed";
inline constexpr std::string_view s_documentHashMismatch = "document_hash_mismatch";

/// An active alarm and the version that raised it.
struct Alarm {
    std::string_view name;
    base::TimePoint since;
    DocumentVersion seen; ///< the version that contradicts the one in effect
};

/// Holds the generations in effect, which only increase.
///
/// Rules for clearing alarms. `document_regressed` is cleared when the store answers with a generation that is not
/// below the one in effect, when a higher generation comes into effect, and when this node stops polling the store; if
/// the store is still behind, the pollers raise it again at their next answer. `document_hash_mismatch` is cleared when a
/// generation above the disputed one comes into effect, since no node uses the disputed generation after that.
class GenerationHolder
{
public:
    const Announcement &announcement() const
    {
        return m_announcement;
    }

    /// True if a document is in effect.
    bool hasDocument() const
    {
        return m_announcement.document.generation.value != 0;
    }

    /// Compares a version that a peer announced. An older generation means that the peer lags, which raises no alarm.
    VersionComparison compareWithPeer(const DocumentVersion &version, base::TimePoint now);

    /// Compares the row that the store returned to a request sent at `requested`. A generation of 0 means no row. An
    /// older generation raises an alarm only if the request was sent after the one in effect had been put in effect,
    /// because an answer to an earlier request may predate the generation in effect.
    VersionComparison compareWithStore(const DocumentVersion &version, base::TimePoint requested, base::TimePoint now);

    /// Puts a document in effect if its generation is higher. Returns whether it did.
    bool adoptDocument(const DocumentVersion &version, base::TimePoint now);

    /// Puts a drain list in effect if its generation is higher. Returns whether it did.
    bool adoptDrains(base::Generation generation);

    /// Clears `document_regressed`: a node that no longer polls the store cannot determine whether the store has caught up.
    void stopPollingStore()
    {
        m_regressed.reset();
    }

    /// Currently active alarms.
    std::vector<Alarm> alarms() const;

private:
    VersionComparison compare(const DocumentVersion &version) const;
    void raiseMismatch(const DocumentVersion &version, base::TimePoint now);

    Announcement m_announcement; ///< neither generation ever decreases
    base::TimePoint m_adopted; ///< time at which the document came into effect
    std::map<base::Generation, std::string> m_hashes; ///< hashes of the last generations in effect; see s_maximumHashes
    std::optional<Alarm> m_regressed;
    std::optional<Alarm> m_mismatch;
};

} // namespace trefoilstile::steering
