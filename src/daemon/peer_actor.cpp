// Connects membership and dissemination to the network and the other threads.

#include "peer_actor.hpp"

#include <algorithm>
#include <utility>

#include "drains_text.hpp"
#include "trefoilstile/daemon/log.hpp"
#include "trefoilstile/document/parse.hpp"
#include "trefoilstile/http/clock.hpp"

namespace trefoilstile::daemon
{

namespace
{

constexpr base::Duration s_tickPeriod = std::chrono::milliseconds(50);
constexpr base::Duration s_statusPeriod = std::chrono::milliseconds(200);
constexpr base::Duration s_instancesPeriod = std::chrono::seconds(2); // the list itself lags by seconds
constexpr base::Duration s_capacityAge = std::chrono::seconds(2); // age of a report on arrival, due to load polling and gossip

/// Spare capacity and shifted load assumed for an overloaded region: senders then reduce their shifted load by a fifth.
constexpr double s_overloadedSpare = -1;
constexpr double s_overloadedShifted = 5;

membership::MemberInfo memberInfo(const Settings &settings, std::string callerAddress, std::string peerAddress)
{
    return {settings.name, std::move(callerAddress), std::move(peerAddress), settings.region, settings.failureDomain};
}

} // namespace

PeerActor::PeerActor(boost::asio::io_context &context,
    const Settings &settings,
    base::IncarnationId incarnation,
    std::string callerAddress,
    std::uint64_t seed,
    PeerOutputs outputs)
    : m_timer(context)
    , m_settings(settings)
    , m_incarnation(incarnation)
    , m_random(seed)
    , m_outputs(outputs)
    , m_network(context, settings.peerAddress, {settings.macKey, settings.environment, settings.name, incarnation}, networkHandlers())
    , m_detector({}, incarnation, memberInfo(settings, std::move(callerAddress), m_network.address()), settings.seeds, m_random)
    , m_dissemination({}, incarnation, settings.failureDomain, document::contentHash, m_random)
{
}

PeerNetworkHandlers PeerActor::networkHandlers()
{
    PeerNetworkHandlers handlers;
    handlers.message = [this](base::IncarnationId sender, const membership::Message &message) {
        handleMessage(sender, message);
    };
    handlers.documentProgressed = [this](std::uint64_t fetch) {
        m_dissemination.documentProgressed(fetch, http::now());
    };
    handlers.documentFetched = [this](std::uint64_t fetch, steering::FetchResult result, std::string body) {
        m_dissemination.documentFetched(fetch, result, std::move(body), http::now(), *this);
    };
    handlers.drainsFetched = [this](std::uint64_t fetch, steering::FetchResult result, base::Generation generation, std::string body) {
        m_dissemination.drainsFetched(fetch, result, generation, std::move(body), http::now(), *this);
    };
    handlers.keysOffered = [this](std::uint64_t ticket, idempotency::SealedPart part) {
        m_outputs.decisions->push(KeysOffered{ticket, std::make_shared<const idempotency::SealedPart>(std::move(part))});
    };
    return handlers;
}

void PeerActor::start()
{
    m_network.start();
    tick();
}

std::string PeerActor::address() const
{
    return m_network.address();
}

void PeerActor::send(membership::Outgoing outgoing)
{
    m_network.send(outgoing);
}

void PeerActor::command(steering::Command command)
{
    std::visit(
        [this](const auto &alternative) {
            execute(alternative);
        },
        command);
}

void PeerActor::handle(PeerInput input)
{
    std::visit(
        [this](const auto &alternative) {
            on(alternative);
        },
        input);
}

void PeerActor::handleMessage(base::IncarnationId sender, const membership::Message &message)
{
    const base::TimePoint now = http::now();
    m_detector.receive(sender, message, now, *this);
    const membership::GossipBody &body = membership::bodyOf(message);
    if (body.sender.info) {
        m_dissemination.peerAnnounced(sender, body.sender.info->peerAddress, body.announcement, now, *this);
    }
}

void PeerActor::tick()
{
    const base::TimePoint now = http::now();
    m_detector.tick(now, *this);
    m_dissemination.tick(m_detector.localAlive(), now, *this);
    pollInstances(now);
    if (m_detector.table().version() != m_publishedVersion) {
        publishMembers();
        publishCapacity(now);
    }
    if (now >= m_nextStatus) {
        reportStatus();
    }
    m_timer.expires_after(s_tickPeriod);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

void PeerActor::pollInstances(base::TimePoint now)
{
    if (m_dissemination.isPoller() && now >= m_nextInstances) {
        m_nextInstances = now + s_instancesPeriod;
        m_outputs.platform->tryPush(PollInstances{});
    }
}

void PeerActor::on(const RowsRead &read)
{
    m_dissemination.storeAnswered(read.poll, read.rows, http::now(), *this);
}

void PeerActor::on(const RowsFailed &failed)
{
    m_dissemination.storeFailed(failed.poll);
}

void PeerActor::on(const ObjectFetched &fetched)
{
    m_dissemination.documentFetched(fetched.fetch, fetched.result, fetched.bytes, http::now(), *this);
}

void PeerActor::on(const DocumentParsed &parsed)
{
    m_served.document = parsed.version;
    m_served.documentBytes = parsed.bytes;
    m_network.setServedVersions(m_served);
    m_outputs.decisions->push(engine::Event(engine::DocumentUpdated{parsed.version.generation, parsed.document, parsed.blocks, parsed.version.hash}));
}

void PeerActor::on(const DocumentRefused &refused)
{
    m_dissemination.documentRefused(refused.version, http::now());
}

void PeerActor::on(const InstanceList &list)
{
    for (const tablestore::ListedInstance &instance : list.instances) {
        if (!instance.leaving) {
            continue;
        }
        if (instance.kind == tablestore::ListedInstance::Kind::Upstream) {
            m_outputs.decisions->push(engine::Event(engine::UpstreamListedLeaving{instance.name, instance.incarnation}));
        } else {
            m_detector.markListedLeaving(instance.incarnation);
        }
    }
}

void PeerActor::on(const EffectiveState &state)
{
    const base::TimePoint now = http::now();
    m_effectiveState = state;
    if (m_served.documentBytes && state.generation == m_served.document.generation
        && state.generation > m_dissemination.holder().announcement().document.generation) {
        m_dissemination.documentInEffect(m_served.document, now);
    }
    m_detector.setAnnouncement({m_dissemination.holder().announcement().document, state.drainGeneration}, now, *this);
    if (state.spareCapacity) {
        m_detector.setSpareCapacity(*state.spareCapacity);
    }
    if (state.stopping) {
        m_detector.announceLeaving(now, *this);
    }
    reportStatus();
}

void PeerActor::on(const KeysImported &imported)
{
    m_network.replyToOffer(imported.ticket, imported.stored, imported.complete);
}

void PeerActor::on(const HandOffKeys &handOff)
{
    std::vector<base::IncarnationId> candidates;
    for (const auto &[incarnation, entry] : m_detector.table().entries()) {
        if (incarnation != m_incarnation && entry.isAlive() && !entry.isLeaving()) {
            candidates.push_back(incarnation);
        }
    }
    std::vector<std::string> addresses; // tried from last to first
    for (const base::IncarnationId holder : engine::keyHolders(m_incarnation, candidates)) {
        addresses.insert(addresses.begin(), m_detector.table().find(holder)->info.peerAddress);
    }
    handOffTo(std::move(addresses), handOff.parts);
}

void PeerActor::handOffTo(std::vector<std::string> addresses, std::shared_ptr<const std::vector<idempotency::SealedPart>> parts)
{
    if (addresses.empty()) {
        m_outputs.decisions->push(KeysHandedOff{false});
        return;
    }
    const std::string address = addresses.back();
    addresses.pop_back();
    m_network.handOff(address, parts, [this, addresses = std::move(addresses), parts](bool complete) {
        if (complete) {
            m_outputs.decisions->push(KeysHandedOff{true});
        } else {
            handOffTo(addresses, parts);
        }
    });
}

void PeerActor::execute(const steering::FetchDocument &fetch)
{
    if (!fetch.source.isStore()) {
        m_network.fetchDocument(fetch.fetch, fetch.source.peerAddress, fetch.version);
    } else {
        m_outputs.platform->tryPush(FetchObject{fetch.fetch, fetch.version.hash}); // if the ring is full, the fetch times out
    }
}

void PeerActor::execute(const steering::FetchDrains &fetch)
{
    m_network.fetchDrains(fetch.fetch, fetch.source.peerAddress, fetch.generation);
}

void PeerActor::execute(const steering::ReadStore &read)
{
    m_outputs.platform->tryPush(PollRows{read.poll});
}

void PeerActor::execute(const steering::DocumentReady &ready)
{
    log("peers", "Document generation {} was received.", ready.version.generation.value);
    m_outputs.platform->push(ParseDocument{ready.version, std::make_shared<const std::string>(ready.body)});
}

void PeerActor::execute(const steering::DrainsReady &ready)
{
    try {
        std::vector<engine::Drain> drains = drainsFromText(ready.body);
        m_served.drains = ready.generation;
        m_served.drainsBody = std::make_shared<const std::string>(ready.body);
        m_network.setServedVersions(m_served);
        log("peers", "Drain list generation {} with {} drains was received.", ready.generation.value, drains.size());
        m_outputs.decisions->push(engine::Event(engine::DrainsUpdated{ready.generation, std::move(drains)}));
    } catch (const MalformedDrains &error) {
        log("peers", "Drain list generation {} cannot be read: {}", ready.generation.value, error.what());
    }
}

void PeerActor::publishMembers()
{
    engine::MembersUpdated update;
    for (const auto &[incarnation, entry] : m_detector.table().entries()) {
        if (entry.status.state != membership::MemberState::Dead) {
            const membership::MemberInfo &info = entry.info;
            update.members.push_back({info.name, incarnation, info.callerAddress, info.region, info.failureDomain, true, entry.isLeaving()});
        }
    }
    m_outputs.decisions->push(engine::Event(std::move(update)));
    m_publishedVersion = m_detector.table().version();
}

void PeerActor::publishCapacity(base::TimePoint now)
{
    std::unordered_map<std::string, RegionCapacity> current;
    for (const auto &[incarnation, entry] : m_detector.table().entries()) {
        if (!entry.isAlive() || entry.info.region == m_settings.region || entry.status.reportNumber == 0) {
            continue;
        }
        RegionCapacity &capacity = current[entry.info.region];
        // Members of a region measure the same upstreams at different times; the lowest value is the conservative one.
        capacity.spare = capacity.sequence == 0 ? entry.status.spareCapacity : std::min(capacity.spare, entry.status.spareCapacity);
        capacity.sequence += entry.status.reportNumber;
    }
    for (auto &[region, capacity] : current) {
        RegionCapacity &known = m_capacities[region];
        if (capacity.sequence <= known.sequence) {
            continue;
        }
        capacity.lastChange = now;
        known = capacity;
        shift::CapacityAdvert advert{capacity.sequence, static_cast<double>(capacity.spare), 0, s_capacityAge};
        if (capacity.spare == 0) {
            advert.spare = s_overloadedSpare;
            advert.shifted = s_overloadedShifted;
        }
        m_outputs.decisions->push(engine::Event(engine::CapacityReported{region, advert}));
    }
}

void PeerActor::reportStatus()
{
    m_nextStatus = http::now() + s_statusPeriod;
    PeerStatus status;
    status.notReadyReason = m_dissemination.notReadyReason();
    status.alarms = m_dissemination.alarms();
    for (const auto &[incarnation, entry] : m_detector.table().entries()) {
        const bool self = incarnation == m_incarnation;
        status.members.push_back({entry.info.name,
            entry.info.region,
            entry.info.failureDomain,
            incarnation,
            entry.status.state != membership::MemberState::Dead,
            entry.isLeaving(),
            self ? m_effectiveState.generation : entry.status.generation,
            self ? m_effectiveState.drainGeneration : entry.status.drainGeneration});
    }
    m_outputs.reports->tryPush(std::move(status));
}

} // namespace trefoilstile::daemon
