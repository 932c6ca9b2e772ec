// Brings documents and drain lists to this node: what to fetch from whom, and when to ask the store.
#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/base/random.hpp"
#include "trefoilstile/base/time.hpp"
#include "trefoilstile/steering/generation_holder.hpp"
#include "trefoilstile/steering/poller_choice.hpp"
#include "trefoilstile/steering/source_book.hpp"

namespace trefoilstile::steering
{

/// Options of dissemination, with the reason beside each number.
struct DisseminationOptions {
    PollerOptions polling;
    base::Duration documentTimeout = std::chrono::seconds(1); ///< without progress; leaves time for a second peer within 5 s
    base::Duration drainsTimeout = std::chrono::milliseconds(400); ///< lists are small and must arrive within 3 s
    base::Duration spread = std::chrono::milliseconds(100); ///< random wait before a document fetch; meanwhile more peers hold it
    base::Duration cooldownFirst = std::chrono::milliseconds(200); ///< of a source that failed
    base::Duration cooldownLast = std::chrono::seconds(2); ///< a source that is back is asked again well within the bound of 5 s
    base::Duration busyWait = std::chrono::milliseconds(100); ///< before a busy peer is asked again; about one transfer
    std::size_t outstandingPolls = 3; ///< a slow store is not asked ever more often
    base::Duration pollForgotten = std::chrono::seconds(10); ///< a poll that was never answered
    std::size_t knownPeers = 256; ///< bounds memory; a node hears from about 130
    std::size_t refusedVersions = 16; ///< bounds memory
};

/// Ask the source for a document body, then call `documentFetched`.
struct FetchDocument {
    std::uint64_t fetch{};
    Source source;
    DocumentVersion version;
};

/// Ask the peer for its drain list, then call `drainsFetched`.
struct FetchDrains {
    std::uint64_t fetch{};
    Source source;
    base::Generation generation; ///< at least
};

/// Read both rows of this environment from the store, then call `storeAnswered` or `storeFailed`.
struct ReadStore {
    std::uint64_t poll{};
};

/// The body has the right hash. Parse it, put it in effect and call `documentInEffect`, or `documentRefused`.
struct DocumentReady {
    DocumentVersion version;
    std::string body;
};

/// A newer drain list; it counts as in effect at once.
struct DrainsReady {
    base::Generation generation;
    std::string body;
};

using Command = std::variant<FetchDocument, FetchDrains, ReadStore, DocumentReady, DrainsReady>;

/// Takes commands; called within the calls of `Dissemination`, must not call back.
template<typename T>
concept CommandSink = requires(T sink, Command command)
{
    sink.command(std::move(command));
};

/// How a fetch ended.
enum class FetchResult : std::uint8_t {
    Found,
    Absent, ///< the source does not hold it (any longer)
    Busy, ///< the peer serves as many fetches as it may
    Failed, ///< no connection, or it broke
};

/// Rows of the store as one poll returned them.
struct StoreRows {
    DocumentVersion document; ///< generation 0: no row
    base::Generation drains; ///< 0: no row
    std::string drainsBody;
};

/// Decides what to fetch. At most one document and one drain list are being fetched at any time.
class Dissemination
{
public:
    /// SHA-256 of a body in hexadecimal, as in the rows of the store.
    using HashFunction = std::function<std::string(std::string_view)>;

    template<base::RandomSource R>
    Dissemination(DisseminationOptions options, base::IncarnationId self, std::string failureDomain, HashFunction hash, R &random)
        : m_options(options)
        , m_hash(std::move(hash))
        , m_random(random.next())
        , m_poller(self, std::move(failureDomain), options.polling)
        , m_sources(options.knownPeers)
    {
    }

    /// Starts polls and fetches that are due. `alive` holds the members of this failure domain that are alive.
    template<CommandSink S>
    void tick(std::span<const base::IncarnationId> alive, base::TimePoint now, S &sink)
    {
        advance(alive, now);
        flush(sink);
    }

    /// A peer announced what it has in effect; call it for every message that carries gossip.
    template<CommandSink S>
    void peerAnnounced(base::IncarnationId peer, const std::string &address, const Announcement &announcement, base::TimePoint now, S &sink)
    {
        notePeer(peer, address, announcement, now);
        flush(sink);
    }

    /// The store answered a poll.
    template<CommandSink S>
    void storeAnswered(std::uint64_t poll, const StoreRows &rows, base::TimePoint now, S &sink)
    {
        noteStore(poll, rows, now);
        flush(sink);
    }

    /// The store did not answer a poll.
    void storeFailed(std::uint64_t poll);

    /// Bytes of a document arrived; the fetch gets its whole timeout again.
    void documentProgressed(std::uint64_t fetch, base::TimePoint now);

    /// A document fetch ended; `body` counts only if it was found.
    template<CommandSink S>
    void documentFetched(std::uint64_t fetch, FetchResult result, std::string body, base::TimePoint now, S &sink)
    {
        endDocumentFetch(fetch, result, std::move(body), now);
        flush(sink);
    }

    /// A fetch of drains ended; `generation` and `body` count only if they were found.
    template<CommandSink S>
    void drainsFetched(std::uint64_t fetch, FetchResult result, base::Generation generation, std::string body, base::TimePoint now, S &sink)
    {
        endDrainsFetch(fetch, result, generation, std::move(body), now);
        flush(sink);
    }

    /// The document of `DocumentReady` is in effect.
    void documentInEffect(const DocumentVersion &version, base::TimePoint now);

    /// The document of `DocumentReady` cannot be used by this build. It is not fetched again, and an alarm
    /// `document_refused` stands until a higher generation is in effect.
    void documentRefused(const DocumentVersion &version, base::TimePoint now);

    /// Generations in effect, to be announced to peers.
    const GenerationHolder &holder() const
    {
        return m_holder;
    }

    /// All alarms that stand.
    std::vector<Alarm> alarms() const;

    /// Why no document is in effect yet; empty once one is.
    std::string notReadyReason() const;

    /// True if this node was due to poll as a poller at the last tick.
    bool isPoller() const
    {
        return m_isPoller;
    }

private:
    struct DocumentFetch {
        std::uint64_t id{};
        DocumentOffer offer;
        base::TimePoint deadline;
    };

    struct DrainsFetch {
        std::uint64_t id{};
        DrainsOffer offer;
        base::TimePoint deadline;
    };

    template<CommandSink S>
    void flush(S &sink)
    {
        for (Command &command : m_commands) {
            sink.command(std::move(command));
        }
        m_commands.clear();
    }

    void advance(std::span<const base::IncarnationId> alive, base::TimePoint now);
    void pollIfDue(std::span<const base::IncarnationId> alive, base::TimePoint now);
    void expireFetches(base::TimePoint now);
    void startDocumentFetch(base::TimePoint now);
    void startDrainsFetch(base::TimePoint now);
    void notePeer(base::IncarnationId peer, const std::string &address, const Announcement &announcement, base::TimePoint now);
    void noteStore(std::uint64_t poll, const StoreRows &rows, base::TimePoint now);
    void endDocumentFetch(std::uint64_t fetch, FetchResult result, std::string body, base::TimePoint now);
    void endDrainsFetch(std::uint64_t fetch, FetchResult result, base::Generation generation, std::string body, base::TimePoint now);
    void failed(const Source &source, FetchResult result, base::TimePoint now);
    void adoptDrains(base::Generation generation, std::string body);

    DisseminationOptions m_options;
    HashFunction m_hash;
    base::SplitMix64 m_random;
    GenerationHolder m_holder;
    PollerChoice m_poller;
    bool m_isPoller = false;
    SourceBook m_sources;
    std::map<std::uint64_t, base::TimePoint> m_polls; ///< outstanding, with the time of the request
    bool m_storeAnswered = false;
    std::optional<base::TimePoint> m_nextFirstPoll; ///< of a node without a document that is no poller
    std::optional<base::TimePoint> m_fetchAfter; ///< end of the random wait before a document fetch
    std::optional<DocumentFetch> m_documentFetch;
    std::optional<DrainsFetch> m_drainsFetch;
    std::optional<DocumentVersion> m_activating; ///< handed over, neither in effect nor refused yet
    std::vector<DocumentVersion> m_refused; ///< oldest first
    std::optional<Alarm> m_refusedAlarm;
    std::uint64_t m_lastId{};
    std::vector<Command> m_commands; ///< empty between calls
};

inline constexpr std::string_view s_documentRefused = "document_refused";

/// Bounds the fetches that a node serves at a time, so that it is not overrun by peers that all ask it. Those beyond are
/// answered as busy.
class ServingLimit
{
public:
    /// Four transfers at a time reach 340 nodes in about four rounds, as each receiver serves others.
    explicit ServingLimit(std::size_t limit = 4)
        : m_limit(limit)
    {
    }

    bool begin()
    {
        if (m_serving >= m_limit) {
            return false;
        }
        ++m_serving;
        return true;
    }

    /// Ends a fetch for which `begin` returned true.
    void end()
    {
        --m_serving;
    }

private:
    std::size_t m_limit;
    std::size_t m_serving{};
};

} // namespace trefoilstile::steering
