// Steering documents and caller addresses of any size, the same for the same seed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "target.hpp"
#include "trefoilstile/base/ip.hpp"
#include "trefoilstile/document/steering_document.hpp"

namespace trefoilstile::bench
{

inline constexpr std::uint64_t s_seed = 20261204;

struct DocumentSize {
    std::size_t blocks = target::s_blocks;
    std::size_t sites = target::s_sites;
    std::size_t services = target::s_services;
    std::size_t upstreams = target::s_upstreams; ///< of all services together
    std::size_t domains = target::s_domains;
    std::size_t regions = target::s_regions;
};

/// Distinct blocks in random order: nine in ten are IPv4 of /20 to /24, some nested; the rest IPv6 of /32 to /48.
std::vector<document::ClientBlock> generateBlocks(std::size_t count, std::size_t sites, std::uint64_t seed = s_seed);

/// Block in its text form.
std::string textOf(const base::IpBlock &block);

/// Nine in ten are IPv4. Half of all lie in one of the blocks, the rest anywhere.
std::vector<base::IpAddress> generateClients(const std::vector<document::ClientBlock> &blocks, std::size_t count, std::uint64_t seed = s_seed);

/// Names by index.
std::string domainName(std::size_t domain);
std::string regionName(std::size_t region);
std::string siteName(std::size_t site);

/// Text of everything before the services: regions, classes, caps, lookup policy.
std::string headText(const DocumentSize &size);

/// Text of one service with its part of the upstreams.
std::string serviceText(const DocumentSize &size, std::size_t service);

/// Whole document in YAML, one client block to a line.
std::string documentText(const DocumentSize &size, std::uint64_t seed = s_seed);

} // namespace trefoilstile::bench
