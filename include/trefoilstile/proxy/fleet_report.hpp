// What entry instances tell each other several times per second.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "trefoilstile/feed/position.hpp"
#include "trefoilstile/ingress/upstream_table.hpp"

namespace trefoilstile::proxy
{

/// Position of the last change of a table of the store that the sender knows.
struct KnownTable {
    std::string table;
    feed::Position lastChange;
};

struct FleetReport {
    std::vector<ingress::LoadObservation> loads;
    std::vector<std::uint64_t> leavingRuns; ///< `Upstream::run` of upstreams that have announced that they leave
    std::vector<KnownTable> tables;
    std::string peerAddress; ///< of the sender; set by `MemberLink`
    std::vector<ingress::ConnectionLoadLimit> connectionLimits;
};

} // namespace trefoilstile::proxy
