// The steering document as data: what operators state about regions, services, classes, caps and callers' blocks.
// `parseDocument` builds it and checks every invariant named here; other code may rely on them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "trefoilstile/base/ip.hpp"
#include "trefoilstile/base/priority_class.hpp"
#include "trefoilstile/base/time.hpp"

namespace trefoilstile::document
{

/// Part of a region that fails as a whole.
struct FailureDomain {
    std::string name; ///< unique in the document
    double capacity{}; ///< requests/s that its upstreams can serve; positive
};

struct Region {
    std::string name; ///< unique in the document
    double capacity{}; ///< requests/s; positive
    std::vector<FailureDomain> failureDomains; ///< at least one
};

/// Weight and guaranteed share of one priority class.
struct ClassPolicy {
    double weight = 1.0; ///< positive; divides slots beyond the minimum shares
    double minimumShare{}; ///< 0 to 1; the shares of all classes add up to at most 1
};

/// Cap on traffic moved from callers of one region to upstreams or entry instances of another.
struct ShiftCap {
    std::string from; ///< region of the callers; a known region other than `to`
    std::string to;
    double requestsPerSecond{}; ///< not negative; 0 forbids the shift
    double bytesPerSecond{}; ///< not negative, both directions of the response and request bodies together
};

struct Upstream {
    std::string name; ///< unique in the document
    std::string failureDomain; ///< a known failure domain
    std::map<std::string, std::string, std::less<>> addresses; ///< `IP:port` by environment; the key `*` serves all others
    std::uint32_t slots{}; ///< requests served at the same time; positive
    std::uint32_t connections{}; ///< connections accepted from all instances together; at least `slots`
    double weight = 1.0; ///< static weight, positive
};

/// Maps requests of a service to class and idempotency. The longest matching path prefix wins, then the first listed.
struct Route {
    std::string pathPrefix; ///< starts with `/`
    std::vector<std::string> methods; ///< upper case; empty means all
    base::PriorityClass priorityClass = base::PriorityClass::Interactive;
    bool idempotent = false; ///< a route that does not say so is treated as not idempotent
    std::optional<base::Duration> timeout; ///< from arrival to the first byte of the response; else the service's
};

/// Address of the upstream in the environment, or null if it has none there.
const std::string *addressIn(const Upstream &upstream, std::string_view environment);

struct RetryLimits {
    double budget = 0.1; ///< attempts beyond the first, as a share of first attempts; 0 to 1
    std::uint32_t maximumAttempts = 2; ///< 1 to 5, first attempt included
};

struct Service {
    std::string name; ///< unique in the document
    std::vector<std::string> hosts; ///< lower case, without port; unique in the document
    base::Duration timeout = std::chrono::seconds(5);
    base::Duration connectTimeout = std::chrono::milliseconds(500);
    base::Duration idleTimeout = std::chrono::seconds(30); ///< no byte of a body for this long ends the attempt
    std::uint32_t queueLength = 200; ///< waiting requests for each class at one instance
    std::uint64_t maximumBody = 1U << 20U; ///< bytes of a request body
    RetryLimits retry;
    base::Duration warmUp = std::chrono::seconds(30); ///< ramp of a cold upstream
    std::vector<Upstream> upstreams; ///< at least one
    std::vector<Route> routes; ///< at least one
};

/// Place that callers are steered to; belongs to one failure domain.
struct Site {
    std::string name; ///< unique in the document
    std::string failureDomain; ///< a known failure domain
};

/// Block of callers and their home site.
struct ClientBlock {
    base::IpBlock block; ///< unique in the document
    std::uint16_t site{}; ///< index into `SteeringDocument::sites`
};

/// How lookup responses are made.
struct LookupPolicy {
    base::Duration ttl = std::chrono::seconds(30);
    double jitter = 0.3; ///< 0 to 0.9; the TTL is drawn from ttl * (1 +- jitter)
    std::uint32_t entries = 3; ///< entry instances in a response
    double requestsPerResponse = 1.0; ///< requests/s that one outstanding response is taken to bring
};

/// One accepted version of what operators want. Immutable once built.
struct SteeringDocument {
    std::uint32_t maximumEntryInstances{}; ///< instances that can run at once everywhere, replaced ones still running included; positive
    std::vector<Region> regions;
    base::PerClass<ClassPolicy> classes;
    std::vector<ShiftCap> shiftCaps; ///< at most one for each ordered pair; a pair that is absent allows no shift
    std::vector<Service> services;
    std::vector<Site> sites;
    std::vector<ClientBlock> clientBlocks;
    std::uint16_t defaultSite{}; ///< home of callers that no block contains
    LookupPolicy lookup;

    /// Region that contains the failure domain; the name must be known.
    const Region &regionOf(std::string_view failureDomain) const;

    /// Service with that name, or null.
    const Service *findService(std::string_view name) const;
};

} // namespace trefoilstile::document
