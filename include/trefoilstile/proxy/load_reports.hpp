// The part of a fleet report about upstreams: loads, leaving notices and connection limits.
#pragma once

#include "trefoilstile/base/time.hpp"
#include "trefoilstile/proxy/entry_core.hpp"
#include "trefoilstile/proxy/fleet_report.hpp"

namespace trefoilstile::proxy
{

/// A report of what this instance has observed since the last call, as far as it fits into one datagram.
FleetReport takeLoadReport(EntryCore &core, base::TimePoint now);

/// Applies what another instance has observed.
void applyLoadReport(EntryCore &core, const FleetReport &report, base::TimePoint now);

} // namespace trefoilstile::proxy
