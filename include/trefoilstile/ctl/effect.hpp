// Whether a change is in effect on all instances, and waiting until it is.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/base/time.hpp"
#include "trefoilstile/ctl/node_status.hpp"
#include "trefoilstile/ctl/report.hpp"

namespace trefoilstile::ctl
{

/// A change that is to be in effect.
struct EffectTarget {
    enum class Kind : std::uint8_t { Document, Drains };

    Kind kind = Kind::Document;
    std::string environment;
    base::Generation generation; ///< a higher one in effect counts as well, since it replaces this one
    std::string hash; ///< of the document; empty for drains
    std::vector<std::string> requiredDomains; ///< failure domains that must have an instance
};

struct DomainEffect {
    std::string name;
    std::size_t instances{};
    std::size_t inEffect{};
    std::vector<std::string> missing; ///< instances that are alive and do not have it
    std::vector<std::string> unreachable; ///< instances that are not alive and are not known to have it

    /// False if no instance of the failure domain is alive or known.
    bool reachable = false;
};

struct EffectReport {
    std::vector<DomainEffect> domains; ///< sorted by name
    std::vector<PortView> unreachablePorts;
    std::vector<std::string> conflictingHashes; ///< instances that have another document under the same generation
    bool complete = false; ///< in effect on every known instance, every port asked, every required domain reached
};

/// Merges what the ports say. Instances that left as planned do not count, nor do dead ones that have been replaced under
/// the same name.
EffectReport evaluateEffect(const std::vector<PortView> &views, const EffectTarget &target);

/// Time as commands use it.
class Pacer
{
public:
    virtual ~Pacer() = default;

    virtual base::TimePoint now() = 0;
    virtual void sleep(base::Duration span) = 0;

protected:
    Pacer() = default;
    Pacer(const Pacer &) = default;
    Pacer &operator=(const Pacer &) = default;
};

/// Polls the ports until the change is in effect everywhere or the deadline has passed; at least once.
EffectReport waitUntilInEffect(OperatorPorts &ports, Pacer &pacer, const EffectTarget &target, base::TimePoint deadline);

/// Adds the state of each failure domain and what could not be reached.
void describe(const EffectReport &effect, Report &report);

} // namespace trefoilstile::ctl
