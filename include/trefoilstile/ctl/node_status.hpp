// Status of entry instances as their operator ports give it.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/base/time.hpp"

namespace trefoilstile::ctl
{

/// Entry instance as another one knows it.
struct MemberStatus {
    std::string name;
    std::string region;
    std::string failureDomain;
    std::string incarnation;
    bool alive = false;
    bool leaving = false;
    base::Generation generation;
    base::Generation drainGeneration;
};

struct Alarm {
    std::string name;
    std::string detail;
};

/// Response of `GET /v1/status`.
struct NodeStatus {
    std::string environment;
    MemberStatus self;
    std::string hash; ///< of the document in effect; empty if there is none
    std::vector<Alarm> alarms;
    std::string breaker; ///< state of the circuit breaker towards the platform
    std::vector<MemberStatus> members; ///< may contain the instance itself
};

/// Status read from JSON, or nothing if a field is missing or of another type. Unknown fields are ignored.
std::optional<NodeStatus> parseNodeStatus(std::string_view json);

/// Answer of an operator port to one request.
struct PortAnswer {
    std::string address; ///< `IP:port`
    unsigned status{}; ///< 0 if there was no response
    std::string body; ///< of the response, or the reason why there is none
};

/// Operator ports of some entry instances.
class OperatorPorts
{
public:
    virtual ~OperatorPorts() = default;

    /// Number of ports.
    virtual std::size_t count() const = 0;

    /// Asks one port, for at most `limit`. Failures are answers too.
    virtual PortAnswer get(std::size_t index, const std::string &target, base::Duration limit) = 0;

protected:
    OperatorPorts() = default;
    OperatorPorts(const OperatorPorts &) = default;
    OperatorPorts &operator=(const OperatorPorts &) = default;
};

/// What one port said about its instance.
struct PortView {
    std::string address;
    std::optional<NodeStatus> status;
    std::string error; ///< if there is no status
};

/// Asks every port for its status. A port of another environment counts as an error; an empty name accepts any.
std::vector<PortView> pollStatus(OperatorPorts &ports, std::string_view environment, base::Duration limit);

} // namespace trefoilstile::ctl
