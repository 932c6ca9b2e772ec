// Polls of the store, and start and completion of fetches.

#include "trefoilstile/steering/dissemination.hpp"

namespace trefoilstile::steering
{

void Dissemination::advance(std::span<const base::IncarnationId> alive, base::TimePoint now)
{
    expireFetches(now);
    pollIfDue(alive, now);
    startDocumentFetch(now);
    startDrainsFetch(now);
}

void Dissemination::pollIfDue(std::span<const base::IncarnationId> alive, base::TimePoint now)
{
    std::erase_if(m_polls, [this, now](const auto &poll) {
        return now - poll.second >= m_options.pollExpiry;
    });
    bool due = m_poller.due(alive, now, m_random);
    m_isPoller = m_poller.isPoller(alive);
    if (!m_isPoller && m_polls.empty()) {
        m_holder.stopPollingStore();
    }
    if (!m_holder.hasDocument() && !m_isPoller) {
        // A node without a document polls the store itself, since there may be no peer with a document.
        if (!m_nextFirstPoll || now >= *m_nextFirstPoll) {
            due = true;
            m_nextFirstPoll = now + base::jittered(m_options.polling.period * 2, 0.5, m_random);
        }
    }
    if (due && m_polls.size() < m_options.maximumOutstandingPolls) {
        m_polls[++m_lastId] = now;
        m_commands.emplace_back(ReadStore{m_lastId});
    }
}

void Dissemination::expireFetches(base::TimePoint now)
{
    if (m_documentFetch && now >= m_documentFetch->deadline) {
        failed(m_documentFetch->offer.source, FetchResult::Failed, now);
        m_documentFetch.reset();
    }
    if (m_drainsFetch && now >= m_drainsFetch->deadline) {
        failed(m_drainsFetch->offer.source, FetchResult::Failed, now);
        m_drainsFetch.reset();
    }
}

void Dissemination::startDocumentFetch(base::TimePoint now)
{
    if (m_documentFetch || m_pendingActivation) {
        return;
    }
    const auto offer = m_sources.bestDocument(m_holder.announcement().document.generation, m_refusedVersions, now, m_random);
    if (!offer) {
        m_fetchNotBefore.reset();
        return;
    }
    if (!offer->source.isStore()) {
        if (!m_fetchNotBefore) {
            m_fetchNotBefore = now + base::jittered(m_options.spread / 2, 1.0, m_random);
        }
        if (now < *m_fetchNotBefore) {
            return;
        }
    }
    m_documentFetch = DocumentFetch{++m_lastId, *offer, now + m_options.documentTimeout};
    m_commands.emplace_back(FetchDocument{m_lastId, offer->source, offer->version});
}

void Dissemination::startDrainsFetch(base::TimePoint now)
{
    if (m_drainsFetch) {
        return;
    }
    if (const auto offer = m_sources.bestDrains(m_holder.announcement().drains, now, m_random)) {
        m_drainsFetch = DrainsFetch{++m_lastId, *offer, now + m_options.drainsTimeout};
        m_commands.emplace_back(FetchDrains{m_lastId, offer->source, offer->generation});
    }
}

void Dissemination::handlePeerAnnouncement(base::IncarnationId peer, const std::string &address, const Announcement &announcement, base::TimePoint now)
{
    m_sources.peerAnnounced(peer, address, announcement, now);
    m_holder.compareWithPeer(announcement.document, now);
    startDocumentFetch(now);
    startDrainsFetch(now);
}

void Dissemination::handleStoreAnswer(std::uint64_t poll, const StoreRows &rows, base::TimePoint now)
{
    const auto found = m_polls.find(poll);
    if (found == m_polls.end()) {
        return;
    }
    const base::TimePoint requested = found->second;
    m_polls.erase(found);
    m_storeAnswered = true;
    if (m_holder.compareWithStore(rows.document, requested, now) == VersionComparison::Newer) {
        m_sources.storeOffered(rows.document);
        startDocumentFetch(now);
    }
    adoptDrains(rows.drains, rows.drainsBody);
}

void Dissemination::storeFailed(std::uint64_t poll)
{
    m_polls.erase(poll);
}

void Dissemination::documentProgressed(std::uint64_t fetch, base::TimePoint now)
{
    if (m_documentFetch && m_documentFetch->id == fetch) {
        m_documentFetch->deadline = now + m_options.documentTimeout;
    }
}

void Dissemination::endDocumentFetch(std::uint64_t fetch, FetchResult result, std::string body, base::TimePoint now)
{
    if (!m_documentFetch || m_documentFetch->id != fetch) {
        return;
    }
    const DocumentOffer offer = m_documentFetch->offer;
    m_documentFetch.reset();
    const bool usable = result == FetchResult::Found && m_hash(body) == offer.version.hash;
    if (!usable) {
        failed(offer.source, result == FetchResult::Found ? FetchResult::Failed : result, now);
        startDocumentFetch(now);
        return;
    }
    m_sources.succeeded(offer.source);
    if (offer.version.generation > m_holder.announcement().document.generation) {
        m_pendingActivation = offer.version;
        m_commands.emplace_back(DocumentReady{offer.version, std::move(body)});
    }
}

void Dissemination::endDrainsFetch(std::uint64_t fetch, FetchResult result, base::Generation generation, std::string body, base::TimePoint now)
{
    if (!m_drainsFetch || m_drainsFetch->id != fetch) {
        return;
    }
    const Source source = m_drainsFetch->offer.source;
    const bool usable = result == FetchResult::Found && generation >= m_drainsFetch->offer.generation;
    m_drainsFetch.reset();
    if (usable) {
        m_sources.succeeded(source);
        adoptDrains(generation, std::move(body));
    } else {
        failed(source, result == FetchResult::Found ? FetchResult::Absent : result, now);
        startDrainsFetch(now);
    }
}

void Dissemination::failed(const Source &source, FetchResult result, base::TimePoint now)
{
    if (result == FetchResult::Busy) {
        const base::Duration wait = base::jittered(m_options.busyWait, 0.5, m_random);
        m_sources.failed(source, wait, wait, now);
    } else {
        m_sources.failed(source, m_options.cooldownFirst, m_options.cooldownLast, now);
    }
}

void Dissemination::adoptDrains(base::Generation generation, std::string body)
{
    if (m_holder.adoptDrains(generation)) {
        m_commands.emplace_back(DrainsReady{generation, std::move(body)});
    }
}

void Dissemination::documentInEffect(const DocumentVersion &version, base::TimePoint now)
{
    if (m_pendingActivation == version) {
        m_pendingActivation.reset();
    }
    m_fetchNotBefore.reset();
    if (m_holder.adoptDocument(version, now) && m_refusedAlarm && version.generation > m_refusedAlarm->seen.generation) {
        m_refusedAlarm.reset();
    }
}

void Dissemination::documentRefused(const DocumentVersion &version, base::TimePoint now)
{
    if (m_pendingActivation == version) {
        m_pendingActivation.reset();
    }
    if (m_refusedVersions.size() >= m_options.maximumRefusedVersions) {
        m_refusedVersions.erase(m_refusedVersions.begin());
    }
    m_refusedVersions.push_back(version);
    m_refusedAlarm = Alarm{s_documentRefused, now, version};
}

std::vector<Alarm> Dissemination::alarms() const
{
    std::vector<Alarm> active = m_holder.alarms();
    if (m_refusedAlarm) {
        active.push_back(*m_refusedAlarm);
    }
    return active;
}

std::string Dissemination::notReadyReason() const
{
    if (m_holder.hasDocument()) {
        return {};
    }
    const auto generation = [](const DocumentVersion &version) {
        return std::to_string(version.generation.value);
    };
    if (m_pendingActivation) {
        return "document generation " + generation(*m_pendingActivation) + " is being put in effect";
    }
    if (m_documentFetch) {
        return "document generation " + generation(m_documentFetch->offer.version) + " is being fetched";
    }
    if (m_refusedAlarm) {
        return "document generation " + generation(m_refusedAlarm->seen) + " cannot be used";
    }
    std::string reason = m_storeAnswered ? "the store holds no usable document" : "the store has not answered";
    return reason + (m_sources.anyPeer() ? ", and no reachable peer has one" : ", and no peer has been heard");
}

} // namespace trefoilstile::steering
