// Decides whether this node polls the store, and when.
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
    std::size_t pollersPerDomain = 2; ///< one may be dead and not yet noticed
    base::Duration period = std::chrono::seconds(1); ///< leaves 4 s of the 5 s bound for fetching and gossip
    double jitter = 0.1; ///< keeps pollers out of step after an outage
};

/// Selects the pollers of a failure domain over this node's own view. Two views that differ may give more pollers than
/// two, which is harmless.
class PollerChoice
{
public:
    PollerChoice(base::IncarnationId self, std::string failureDomain, PollerOptions options = {})
        : m_self(self)
        , m_role("poller:" + failureDomain)
        , m_options(options)
    {
    }

    /// True if this node is a poller. `alive` holds the members of its failure domain that are alive by its view; it
    /// may leave out this node.
    bool isPoller(std::span<const base::IncarnationId> alive) const;

    /// True if a poll is to be sent now; the next one follows after a period with jitter.
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
