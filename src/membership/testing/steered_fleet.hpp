// Simulated fleet whose nodes also disseminate documents and drain lists, with a fake store.
#pragma once

#include <set>
#include <string>

#include "fleet.hpp"
#include "trefoilstile/steering/dissemination.hpp"

namespace trefoilstile::membership::testing
{

/// Store of one environment. A body can be derived from its hash, so that a wrong body is detected.
struct FakeStore {
    steering::DocumentVersion document;
    base::Generation drains;
    bool up = true;
    std::set<std::size_t> cutOffDomains; ///< failure domains that do not reach it, though they reach each other
    base::Duration latency = std::chrono::milliseconds(10);
    std::uint64_t reads{}; ///< polls answered
    std::uint64_t bodies{}; ///< bodies served
};

class SteeredFleet : public Fleet
{
public:
    explicit SteeredFleet(FleetOptions options);

    FakeStore store;

    /// Publishes the next generation in the store, or `generation` if it is not 0.
    void publishDocument(std::uint64_t generation = 0);
    void publishDrains(std::uint64_t generation = 0);

    const steering::Dissemination &steering(std::size_t node) const
    {
        return *m_steered[node].dissemination;
    }

    /// Highest generation ever in effect anywhere or in the store.
    std::uint64_t highestDocument() const
    {
        return m_highestDocument;
    }
    std::uint64_t highestDrains() const
    {
        return m_highestDrains;
    }

    /// True if all running nodes have the rows of the store in effect.
    bool documentEverywhere();
    bool drainsEverywhere();

    /// Number of times that a version in effect was replaced by a lower generation or another hash at a node; must stay 0.
    std::uint64_t reversals{};

    /// Highest number of bodies served by one node.
    std::uint64_t mostServed() const;

private:
    struct Steered {
        std::unique_ptr<steering::Dissemination> dissemination;
        steering::Announcement inEffect;
        steering::ServingLimit serving;
        std::uint64_t served{};
    };

    struct Commands {
        SteeredFleet &fleet;
        std::size_t node;
        void command(steering::Command command);
    };

    void started(std::size_t node) override;
    void ticked(std::size_t node) override;
    void heard(std::size_t node, const Message &message) override;

    bool reachesStore(std::size_t node);
    void readStore(std::size_t node, std::uint64_t poll);
    void fetchFromStore(std::size_t node, const steering::FetchDocument &command);
    void fetchFromPeer(std::size_t node, const steering::FetchDocument &command);
    void fetchDrains(std::size_t node, const steering::FetchDrains &command);
    void endDocument(std::size_t node, base::IncarnationId incarnation, std::uint64_t fetch, steering::FetchResult result, std::string body);
    void inEffect(std::size_t node);
    std::optional<std::size_t> nodeAt(const std::string &address);

    /// Runs `step` on a peer after the one-way delay, and its reply on the requester after the delay of the way back.
    void ask(std::size_t from, std::size_t to, std::function<std::function<void()>()> step);

    std::vector<Steered> m_steered;
    std::uint64_t m_highestDocument{};
    std::uint64_t m_highestDrains{};
};

} // namespace trefoilstile::membership::testing
