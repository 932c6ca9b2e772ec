// Document and drain transfers of the fleet, and the fake store.

#include "steered_fleet.hpp"

#include <algorithm>

namespace trefoilstile::membership::testing
{

namespace
{

/// Transfer time of a body; long enough that transfers overlap.
constexpr base::Duration s_transferTime = std::chrono::milliseconds(50);

std::string hashOf(std::string_view body)
{
    return "hash of " + std::string(body);
}

std::string bodyOfHash(const std::string &hash)
{
    return hash.substr(hashOf("").size());
}

} // namespace

SteeredFleet::SteeredFleet(FleetOptions options)
    : Fleet(options)
    , m_steered(options.domains * options.nodesPerDomain)
{
}

void SteeredFleet::publishDocument(std::uint64_t generation)
{
    const std::uint64_t next = generation == 0 ? store.document.generation.value + 1 : generation;
    // The content is always different, also when a generation number is reused after a restore.
    store.document = {{next}, hashOf("document " + std::to_string(next) + " " + std::to_string(m_random.next()))};
    m_highestDocument = std::max(m_highestDocument, next);
}

void SteeredFleet::publishDrains(std::uint64_t generation)
{
    store.drains = {generation == 0 ? store.drains.value + 1 : generation};
    m_highestDrains = std::max(m_highestDrains, store.drains.value);
}

bool SteeredFleet::documentEverywhere()
{
    for (std::size_t node = 0; node < m_steered.size(); ++node) {
        if (isRunning(node) && steering(node).holder().announcement().document != store.document) {
            return false;
        }
    }
    return true;
}

bool SteeredFleet::drainsEverywhere()
{
    for (std::size_t node = 0; node < m_steered.size(); ++node) {
        if (isRunning(node) && steering(node).holder().announcement().drains != store.drains) {
            return false;
        }
    }
    return true;
}

std::uint64_t SteeredFleet::mostServed() const
{
    std::uint64_t most = 0;
    for (const Steered &steered : m_steered) {
        most = std::max(most, steered.served);
    }
    return most;
}

void SteeredFleet::started(std::size_t node)
{
    Steered &steered = m_steered[node];
    const FleetNode &slot = nodes()[node];
    steered.dissemination =
        std::make_unique<steering::Dissemination>(steering::DisseminationOptions{}, slot.incarnation, slot.info.failureDomain, hashOf, m_random);
    steered.inEffect = {};
    steered.serving = steering::ServingLimit();
}

void SteeredFleet::ticked(std::size_t node)
{
    Commands sink{*this, node};
    m_steered[node].dissemination->tick(nodes()[node].detector->localAlive(), now(), sink);
    inEffect(node);
}

void SteeredFleet::heard(std::size_t node, const Message &message)
{
    const GossipBody &body = bodyOf(message);
    Commands sink{*this, node};
    m_steered[node].dissemination->peerAnnounced(body.sender.incarnation, body.sender.info->peerAddress, body.announcement, now(), sink);
    inEffect(node);
}

void SteeredFleet::inEffect(std::size_t node)
{
    Steered &steered = m_steered[node];
    const steering::Announcement &present = steered.dissemination->holder().announcement();
    if (present == steered.inEffect) {
        return;
    }
    const auto lower = [](const steering::Announcement &a, const steering::Announcement &b) {
        return a.document.generation < b.document.generation || a.drains < b.drains;
    };
    const bool rewritten = present.document.generation == steered.inEffect.document.generation && present.document.hash != steered.inEffect.document.hash;
    reversals += lower(present, steered.inEffect) || rewritten ? 1U : 0U;
    steered.inEffect = present;
    Sink sink{*this, node};
    nodes()[node].detector->setAnnouncement(present, now(), sink);
}

void SteeredFleet::Commands::command(steering::Command command)
{
    // Commands are executed after the call that issued them, as in an embedder with a queue.
    const base::IncarnationId incarnation = fleet.nodes()[node].incarnation;
    fleet.at(fleet.now(), [&owner = fleet, target = node, incarnation, given = std::move(command)]() {
        owner.deliver(target, incarnation, [&owner, target, given]() {
            if (const auto *read = std::get_if<steering::ReadStore>(&given)) {
                owner.readStore(target, read->poll);
            } else if (const auto *fetch = std::get_if<steering::FetchDocument>(&given)) {
                fetch->source.isStore() ? owner.fetchFromStore(target, *fetch) : owner.fetchFromPeer(target, *fetch);
            } else if (const auto *drains = std::get_if<steering::FetchDrains>(&given)) {
                owner.fetchDrains(target, *drains);
            } else if (const auto *ready = std::get_if<steering::DocumentReady>(&given)) {
                owner.m_steered[target].dissemination->documentInEffect(ready->version, owner.now());
                owner.inEffect(target);
            }
        });
    });
}

bool SteeredFleet::reachesStore(std::size_t node)
{
    return store.up && connected(node, 0) && !store.cutOffDomains.contains(nodes()[node].domain);
}

void SteeredFleet::readStore(std::size_t node, std::uint64_t poll)
{
    const base::IncarnationId incarnation = nodes()[node].incarnation;
    // The rows are read after half the latency. The answer is lost in an outage or if the node is partitioned from the first
    // failure domain, which contains the store.
    at(now() + store.latency / 2, [this, node, incarnation, poll]() {
        const bool reached = reachesStore(node);
        store.reads += reached ? 1U : 0U;
        const steering::StoreRows rows{store.document, store.drains, "drains"};
        at(now() + store.latency / 2, [this, node, incarnation, poll, reached, rows]() {
            deliver(node, incarnation, [this, node, poll, reached, rows]() {
                Commands sink{*this, node};
                if (reached) {
                    m_steered[node].dissemination->storeAnswered(poll, rows, now(), sink);
                } else {
                    m_steered[node].dissemination->storeFailed(poll);
                }
                inEffect(node);
            });
        });
    });
}

void SteeredFleet::fetchFromStore(std::size_t node, const steering::FetchDocument &command)
{
    const base::IncarnationId incarnation = nodes()[node].incarnation;
    const bool reached = reachesStore(node);
    store.bodies += reached ? 1U : 0U;
    at(now() + store.latency + s_transferTime, [this, node, incarnation, command, reached]() {
        const auto result = reached ? steering::FetchResult::Found : steering::FetchResult::Failed;
        endDocument(node, incarnation, command.fetch, result, bodyOfHash(command.version.hash));
    });
}

std::optional<std::size_t> SteeredFleet::nodeAt(const std::string &address)
{
    for (std::size_t node = 0; node < m_steered.size(); ++node) {
        if (nodes()[node].info.peerAddress == address) {
            return node;
        }
    }
    return std::nullopt;
}

void SteeredFleet::ask(std::size_t from, std::size_t to, std::function<std::function<void()>()> step)
{
    const auto there = travel(from, to);
    if (!there) {
        return;
    }
    at(now() + *there, [this, from, to, step = std::move(step)]() {
        deliver(to, nodes()[to].incarnation, [this, from, to, step]() {
            auto reply = step();
            if (const auto back = travel(to, from)) {
                at(now() + s_transferTime + *back, std::move(reply));
            }
        });
    });
}

void SteeredFleet::fetchFromPeer(std::size_t node, const steering::FetchDocument &command)
{
    const auto peer = nodeAt(command.source.peerAddress);
    const base::IncarnationId incarnation = nodes()[node].incarnation;
    ask(node, *peer, [this, node, incarnation, server = *peer, command]() -> std::function<void()> {
        Steered &steered = m_steered[server];
        auto result = steering::FetchResult::Absent;
        if (steered.inEffect.document == command.version) {
            result = steered.serving.begin() ? steering::FetchResult::Found : steering::FetchResult::Busy;
        }
        if (result == steering::FetchResult::Found) {
            ++steered.served;
            at(now() + s_transferTime, [this, server, serving = nodes()[server].incarnation]() {
                if (nodes()[server].incarnation == serving) {
                    m_steered[server].serving.end();
                }
            });
        }
        return [this, node, incarnation, command, result]() {
            endDocument(node, incarnation, command.fetch, result, bodyOfHash(command.version.hash));
        };
    });
}

void SteeredFleet::endDocument(std::size_t node, base::IncarnationId incarnation, std::uint64_t fetch, steering::FetchResult result, std::string body)
{
    deliver(node, incarnation, [this, node, fetch, result, body = std::move(body)]() {
        Commands sink{*this, node};
        m_steered[node].dissemination->documentFetched(fetch, result, body, now(), sink);
        inEffect(node);
    });
}

void SteeredFleet::fetchDrains(std::size_t node, const steering::FetchDrains &command)
{
    const auto peer = nodeAt(command.source.peerAddress);
    const base::IncarnationId incarnation = nodes()[node].incarnation;
    ask(node, *peer, [this, node, incarnation, server = *peer, command]() -> std::function<void()> {
        const base::Generation held = m_steered[server].inEffect.drains;
        return [this, node, incarnation, command, held]() {
            deliver(node, incarnation, [this, node, command, held]() {
                Commands sink{*this, node};
                const auto result = held.value == 0 ? steering::FetchResult::Absent : steering::FetchResult::Found;
                m_steered[node].dissemination->drainsFetched(command.fetch, result, held, "drains", now(), sink);
                inEffect(node);
            });
        };
    });
}

} // namespace trefoilstile::membership::testing
