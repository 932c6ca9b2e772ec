// Whether a change is in effect on all instances, and waiting until it is.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
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
    base::Generation generation;
    std::string hash; ///< of the document; empty for drains
    std::vector<std::string> requiredDomains; ///< failure domains that must have an instance
};

/// What the store has for the environment.
struct RowState {
    std::optional<base::Generation> generation; ///< 0 if there is no row; nothing if it could not be read
    std::string error; ///< why it could not be read
};

/// Reads the row of the change's kind.
using RowReader = std::function<RowState()>;

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
    std::vector<std::string> ahead; ///< instances that have a higher generation which the row is not known to have reached
    RowState row; ///< read only if some instance has a higher generation than the target
    bool complete = false; ///< in effect on every known instance, every port asked, every required domain reached
};

/// Merges what the ports say. Instances that left as planned do not count, nor do dead ones that have been replaced under
/// the same name. An instance with a higher generation has the change, or a later one, only if the row has reached that
/// generation; otherwise the store lost data and the instance ignores the change.
EffectReport evaluateEffect(const std::vector<PortView> &views, const EffectTarget &target, const RowState &row = {});

/// Highest generation of the target's kind that any port reports of its instance or of a member; 0 if none does.
base::Generation highestGeneration(const std::vector<PortView> &views, EffectTarget::Kind kind);

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
EffectReport waitUntilInEffect(OperatorPorts &ports, Pacer &pacer, const EffectTarget &target, base::TimePoint deadline, const RowReader &readRow);

/// Adds the state of each failure domain and what could not be reached.
void describe(const EffectReport &effect, Report &report);

} // namespace trefoilstile::ctl
