// Selection of the nodes that poll the store, and the schedule of the polls.
#pragma once

#include <chrono>
#include <optional>
#include <span>
#include <string>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/base/random.hpp"
#include "trefoilstile/base/time.hpp"
#include "trefoilstile/steering/rendezvous.hpp"

namespace trefoilstile::steering
{

/// Options of polling.
struct PollerOptions {
    std::size_t pollersPerDomain = 2; ///< one may be dead and not yet detected
    base::Duration period = std::chrono::seconds(1); ///< leaves 4 s of the 5 s bound for fetching and gossip
    double jitter = 0.1; ///< prevents pollers from polling in lockstep after an outage
};

/// Selects the pollers of a failure domain from the member list of this node. Differing member lists may select more than
/// two pollers, which is harmless.
class PollerSelector
{
public:
    PollerSelector(base::IncarnationId self, std::string failureDomain, PollerOptions options = {})
        : m_self(self)
        , m_role("poller:" + failureDomain)
        , m_options(options)
    {
    }

    /// True if this node is a poller. `alive` contains the members of its failure domain that are alive in its member
    /// list; it may omit this node.
    bool isPoller(std::span<const base::IncarnationId> alive) const;

    /// True if a poll is due now; schedules the next one after a jittered period.
    template<base::RandomSource R>
    bool due(std::span<const base::IncarnationId> alive, base::TimePoint now, R &random)
    {
        if (m_next && now < *m_next) {
            return false;
        }
        if (!isPoller(alive)) {
            m_next.reset();
            return false;
        }
        m_next = now + base::jittered(m_options.period, m_options.jitter, random);
        return true;
    }

private:
    base::IncarnationId m_self;
    std::string m_role;
    PollerOptions m_options;
    std::optional<base::TimePoint> m_next;
};

} // namespace trefoilstile::steering
