// Simulated in-memory fleet in virtual time, with a network that loses, delays, duplicates and partitions.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "trefoilstile/base/random.hpp"
#include "trefoilstile/membership/failure_detector.hpp"

namespace trefoilstile::membership::testing
{

/// Network and size of a fleet.
struct FleetOptions {
    std::size_t domains = 4;
    std::size_t nodesPerDomain = 3;
    std::size_t domainsPerRegion = 2;
    std::uint64_t seed = 1;
    double loss = 0; ///< probability that a message is lost
    double duplication = 0; ///< probability that a message is delivered twice
    base::Duration localDelay = std::chrono::milliseconds(1);
    base::Duration remoteDelay = std::chrono::milliseconds(10); ///< between regions
    double delaySpread = 0.5; ///< large enough that messages are reordered
    std::size_t seedsPerNode = 4; ///< addresses of the first nodes of the first failure domains
    Options detector;
};

/// One node of the fleet; its process may be replaced by a new incarnation.
struct FleetNode {
    MemberInfo info;
    std::size_t domain{};
    base::IncarnationId incarnation; ///< of the process that runs now or ran last
    std::unique_ptr<FailureDetector> detector; ///< null while no process runs
    base::TimePoint resumes; ///< end of the pause, if later than now
    std::vector<std::function<void()>> waiting; ///< deliveries deferred until the end of the pause
    std::uint64_t sent{}; ///< messages
    std::uint64_t sentBytes{};
    std::uint64_t received{};
    std::uint64_t receivedBytes{};
};

class Fleet
{
public:
    explicit Fleet(FleetOptions options);
    virtual ~Fleet() = default;

    /// Starts a new process on a node; a running one is ended without announcement.
    void start(std::size_t node);
    void startAll();
    void kill(std::size_t node);
    void pause(std::size_t node, base::Duration span);

    /// Cuts the network between nodes whose groups differ; all groups equal heals it.
    void partition(std::vector<int> groups);
    void cutOffDomain(std::size_t domain);
    void heal();

    /// Cuts the link between two nodes in both directions; not undone by `heal`.
    void cutLink(std::size_t a, std::size_t b)
    {
        m_cutLinks.insert(std::minmax(a, b));
    }

    void run(base::Duration span);

    base::TimePoint now() const
    {
        return m_now;
    }

    std::vector<FleetNode> &nodes()
    {
        return m_nodes;
    }

    bool isRunning(std::size_t node) const
    {
        return m_nodes[node].detector != nullptr;
    }

    bool isPaused(std::size_t node) const
    {
        return m_nodes[node].resumes > m_now;
    }

    bool connected(std::size_t a, std::size_t b) const
    {
        return m_groups[a] == m_groups[b];
    }

    /// Entry of the current process of `subject` in the table of `observer`, or null.
    const MemberEntry *view(std::size_t observer, std::size_t subject) const;

    /// True if all running nodes list exactly the running ones as alive and no others; above the record limit within
    /// each failure domain.
    bool agrees() const;

    /// Runs until the condition holds, at most for `bound`; returns the elapsed time, or nullopt.
    std::optional<base::Duration> runUntil(const std::function<bool()> &condition, base::Duration bound);

    void resetCounts();

    /// Returns the size of a message on the wire; if it is not set, byte counts stay 0.
    std::function<std::size_t(const Message &)> sizeOf;

protected:
    virtual void started(std::size_t)
    {
    }
    virtual void ticked(std::size_t)
    {
    }
    virtual void heard(std::size_t, const Message &)
    {
    }

    void at(base::TimePoint time, std::function<void()> action);

    /// Delay of one message, or nullopt if it is lost or the nodes are partitioned.
    std::optional<base::Duration> travel(std::size_t from, std::size_t to);

    /// Runs the action on a node now, or after its pause.
    void deliver(std::size_t node, base::IncarnationId incarnation, std::function<void()> action);

    void sendFrom(std::size_t node, Outgoing outgoing);

    /// Sink of a node's detector.
    struct Sink {
        Fleet &fleet;
        std::size_t node;
        void send(Outgoing outgoing)
        {
            fleet.sendFrom(node, std::move(outgoing));
        }
    };

    base::SplitMix64 m_random;

private:
    struct Scheduled {
        base::TimePoint time;
        std::uint64_t order{};
        std::function<void()> action;
        bool operator<(const Scheduled &other) const
        {
            return std::pair(time, order) > std::pair(other.time, other.order);
        }
    };

    void tick(std::size_t node, base::IncarnationId incarnation);

    FleetOptions m_options;
    base::TimePoint m_now;
    std::uint64_t m_order{};
    std::priority_queue<Scheduled> m_queue;
    std::vector<FleetNode> m_nodes;
    std::vector<int> m_groups;
    std::set<std::pair<std::size_t, std::size_t>> m_cutLinks;
    std::map<std::string, std::size_t, std::less<>> m_byAddress;
};

} // namespace trefoilstile::membership::testing
