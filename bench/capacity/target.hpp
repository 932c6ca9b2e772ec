// The two-year target size that the figures are worked out for, and the limits per node. Source: docs/design.md.
#pragma once

#include <cstddef>
#include <cstdint>

namespace trefoilstile::bench::target
{

inline constexpr std::size_t s_nodes = 1'900;
inline constexpr std::size_t s_nodesPerDomain = 64; ///< 1,900 over 30, rounded up
inline constexpr std::size_t s_domains = 30;
inline constexpr std::size_t s_regions = 9;
inline constexpr std::size_t s_sites = 630;
inline constexpr std::size_t s_blocks = 840'000;
inline constexpr double s_lookupsPerSecond = 1.4e6;
inline constexpr double s_changesPerDay = 1'800;
inline constexpr double s_secondsPerDay = 86'400;

/// The target names no upstreams. 37 upstreams serve 12 instances today; the same ratio at 1,900 nodes is 5,858.
inline constexpr std::size_t s_upstreams = 6'000;
inline constexpr std::size_t s_services = 40; ///< 150 upstreams each; assumed, as above

inline constexpr double s_memoryBytes = 128.0 * (1U << 20U);
inline constexpr double s_networkBytesPerSecond = 14'000;
inline constexpr double s_coreShare = 0.012;
inline constexpr double s_storeReadsPerSecond = 2'000;
inline constexpr double s_storeWritesPerSecond = 300; ///< lower end of "several hundred"

/// Today: 12 instances in 3 regions of 2 failure domains.
inline constexpr std::size_t s_nodesToday = 12;
inline constexpr std::size_t s_domainsToday = 6;

} // namespace trefoilstile::bench::target
