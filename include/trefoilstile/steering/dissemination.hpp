// Dissemination of documents and drain lists: decides what to fetch from which source and when to poll the store.
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
#include "trefoilstile/steering/poller_selector.hpp"
#include "trefoilstile/steering/source_table.hpp"

namespace trefoilstile::steering
{

/// Options of dissemination and the reasons for their defaults.
struct DisseminationOptions {
    PollerOptions polling;
    base::Duration documentTimeout = std::chrono::seconds(1); ///< without progress; leaves time for a second peer within 5 s
    base::Duration drainsTimeout = std::chrono::milliseconds(400); ///< drain lists are small and must arrive within 3 s
    base::Duration spread = std::chrono::milliseconds(100); ///< bound of the random delay before a document fetch; more peers have the document after it
    base::Duration cooldownFirst = std::chrono::milliseconds(200); ///< initial cool-down of a failed source
    base::Duration cooldownLast = std::chrono::seconds(2); ///< maximum cool-down; a recovered source is used again well within the bound of 5 s
    base::Duration busyWait = std::chrono::milliseconds(100); ///< before a busy peer is retried; about the time of one transfer
    std::size_t maximumOutstandingPolls = 3; ///< limits the load on a slow store
    base::Duration pollExpiry = std::chrono::seconds(10); ///< after which an unanswered poll no longer counts as outstanding
    std::size_t maximumPeers = 256; ///< bounds memory; a node receives announcements from about 130 peers
    std::size_t maximumRefusedVersions = 16; ///< bounds memory
};

/// Request: fetch a document body from the source, then call `documentFetched`.
struct FetchDocument {
    std::uint64_t fetch{};
    Source source;
    DocumentVersion version;
};

/// Request: fetch the drain list of the peer, then call `drainsFetched`.
struct FetchDrains {
    std::uint64_t fetch{};
    Source source;
    base::Generation generation; ///< minimum acceptable generation
};

/// Request: read both rows of this environment from the store, then call `storeAnswered` or `storeFailed`.
struct ReadStore {
    std::uint64_t poll{};
};

/// Request: parse the body, whose hash has been verified, put it in effect and call `documentInEffect`, or call `documentRefused`.
struct DocumentReady {
    DocumentVersion version;
    std::string body;
};

/// Request: apply a newer drain list; it is considered in effect immediately.
struct DrainsReady {
    base::Generation generation;
    std::string body;
};

using Command = std::variant<FetchDocument, FetchDrains, ReadStore, DocumentReady, DrainsReady>;

/// Receives commands. Called during the calls of `Dissemination` and must not call back into it.
template<typename T>
concept CommandSink = requires(T sink, Command command)
{
    sink.command(std::move(command));
};

/// Result of a fetch.
enum class FetchResult : std::uint8_t {
    Found,
    Absent, ///< the source does not have the version, or no longer has it
    Busy, ///< the peer has reached its serving limit
    Failed, ///< the connection could not be opened or was lost
};

/// Rows of the store as one poll returned them.
struct StoreRows {
    DocumentVersion document; ///< generation 0: no row
    base::Generation drains; ///< 0: no row
    std::string drainsBody;
};

/// Decides what to fetch. At most one document fetch and one drain list fetch are active at any time.
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
        , m_sources(options.maximumPeers)
    {
    }

    /// Starts due polls and fetches. `alive` contains the alive members of this failure domain.
    template<CommandSink S>
    void tick(std::span<const base::IncarnationId> alive, base::TimePoint now, S &sink)
    {
        advance(alive, now);
        flush(sink);
    }

    /// Handles the announcement of a peer; call it for every message that carries gossip.
    template<CommandSink S>
    void peerAnnounced(base::IncarnationId peer, const std::string &address, const Announcement &announcement, base::TimePoint now, S &sink)
    {
        handlePeerAnnouncement(peer, address, announcement, now);
        flush(sink);
    }

    /// Handles the answer of the store to a poll.
    template<CommandSink S>
    void storeAnswered(std::uint64_t poll, const StoreRows &rows, base::TimePoint now, S &sink)
    {
        handleStoreAnswer(poll, rows, now);
        flush(sink);
    }

    /// Handles a poll that the store did not answer.
    void storeFailed(std::uint64_t poll);

    /// Restarts the timeout of a document fetch after bytes have arrived.
    void documentProgressed(std::uint64_t fetch, base::TimePoint now);

    /// Ends a document fetch; `body` is used only if the result is `Found`.
    template<CommandSink S>
    void documentFetched(std::uint64_t fetch, FetchResult result, std::string body, base::TimePoint now, S &sink)
    {
        endDocumentFetch(fetch, result, std::move(body), now);
        flush(sink);
    }

    /// Ends a drain list fetch; `generation` and `body` are used only if the result is `Found`.
    template<CommandSink S>
    void drainsFetched(std::uint64_t fetch, FetchResult result, base::Generation generation, std::string body, base::TimePoint now, S &sink)
    {
        endDrainsFetch(fetch, result, generation, std::move(body), now);
        flush(sink);
    }

    /// Confirms that the document of `DocumentReady` is in effect.
    void documentInEffect(const DocumentVersion &version, base::TimePoint now);

    /// The document of `DocumentReady` cannot be used by this build. It is not fetched again, and an alarm
    /// `document_refused` is active until a higher generation is in effect.
    void documentRefused(const DocumentVersion &version, base::TimePoint now);

    /// Generations in effect, to be announced to peers.
    const GenerationHolder &holder() const
    {
        return m_holder;
    }

    /// All active alarms.
    std::vector<Alarm> alarms() const;

    /// Reason why no document is in effect yet; empty once one is.
    std::string notReadyReason() const;

    /// True if this node was a poller at the last tick.
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
    void handlePeerAnnouncement(base::IncarnationId peer, const std::string &address, const Announcement &announcement, base::TimePoint now);
    void handleStoreAnswer(std::uint64_t poll, const StoreRows &rows, base::TimePoint now);
    void endDocumentFetch(std::uint64_t fetch, FetchResult result, std::string body, base::TimePoint now);
    void endDrainsFetch(std::uint64_t fetch, FetchResult result, base::Generation generation, std::string body, base::TimePoint now);
    void failed(const Source &source, FetchResult result, base::TimePoint now);
    void adoptDrains(base::Generation generation, std::string body);

    DisseminationOptions m_options;
    HashFunction m_hash;
    base::SplitMix64 m_random;
    GenerationHolder m_holder;
    PollerSelector m_poller;
    bool m_isPoller = false;
    SourceTable m_sources;
    std::map<std::uint64_t, base::TimePoint> m_polls; ///< outstanding, with the time of the request
    bool m_storeAnswered = false;
    std::optional<base::TimePoint> m_nextFirstPoll; ///< next poll of a node that has no document and is not a poller
    std::optional<base::TimePoint> m_fetchNotBefore; ///< end of the random delay before a document fetch
    std::optional<DocumentFetch> m_documentFetch;
    std::optional<DrainsFetch> m_drainsFetch;
    std::optional<DocumentVersion> m_pendingActivation; ///< passed on in `DocumentReady`, neither in effect nor refused yet
    std::vector<DocumentVersion> m_refusedVersions; ///< oldest first
    std::optional<Alarm> m_refusedAlarm;
    std::uint64_t m_lastId{};
    std::vector<Command> m_commands; ///< empty between calls
};

inline constexpr std::string_view s_documentRefused = "document_refused";

/// Limits the fetches that a node serves concurrently, so that it is not overloaded when all peers fetch from it. Further
/// fetches are answered as busy.
class ServingLimit
{
public:
    /// Four concurrent transfers reach 340 nodes in about four rounds, since each receiver serves others.
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
