// A fleet whose nodes also hold documents and drain lists, with a fake store.
#pragma once

#include <set>
#include <string>

#include "fleet.hpp"
#include "trefoilstile/steering/dissemination.hpp"

namespace trefoilstile::membership::testing
{

/// Store of one environment. Bodies are the text of their hash, so that a wrong body is recognised.
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

    /// Moves the row to the next generation, or to `generation`.
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

    /// Times that a generation in effect went down at a node; must stay 0.
    std::uint64_t reversals{};

    /// Most bodies that one node has served.
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
    std::optional<std::size_t> place(const std::string &address);

    /// Runs a step on a peer after one way of the network, and its reply after the way back.
    void ask(std::size_t from, std::size_t to, std::function<std::function<void()>()> step);

    std::vector<Steered> m_steered;
    std::uint64_t m_highestDocument{};
    std::uint64_t m_highestDrains{};
};

} // namespace trefoilstile::membership::testing
