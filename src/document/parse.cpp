// Builds the steering document from its text, field by field.

#include "trefoilstile/document/parse.hpp"

#include <algorithm>
#include <cctype>

#include <fmt/format.h>

#include "cross_checks.hpp"
#include "field_reader.hpp"

namespace trefoilstile::document
{

namespace
{

constexpr NumberRange s_positive{s_smallestPositive};
constexpr NumberRange s_share{0, 1};
constexpr NumberRange s_timeoutMs{1, 3'600'000}; // up to one hour
constexpr NumberRange s_ttlMs{100, 86'400'000}; // below 100 ms callers would look up for each request

void readFailureDomains(Region &region, const Field &list, FaultList &faults)
{
    for (const Field &element : elements(list, faults)) {
        MapReader map(element, faults);
        FailureDomain &domain = region.failureDomains.emplace_back();
        domain.name = readText(map.required("name"), faults);
        domain.capacity = readNumber(map.required("capacity_rps"), s_positive, faults);
        map.finish();
    }
}

void readRegions(SteeringDocument &document, const Field &list, FaultList &faults)
{
    for (const Field &element : elements(list, faults)) {
        MapReader map(element, faults);
        Region &region = document.regions.emplace_back();
        region.name = readText(map.required("name"), faults);
        region.capacity = readNumber(map.required("capacity_rps"), s_positive, faults);
        readFailureDomains(region, map.required("failure_domains"), faults);
        map.finish();
    }
}

void readClasses(SteeringDocument &document, const Field &field, FaultList &faults)
{
    MapReader map(field, faults);
    for (const base::PriorityClass priorityClass : base::s_priorityClasses) {
        MapReader policyMap(map.required(base::toString(priorityClass)), faults);
        ClassPolicy &policy = document.classes[priorityClass];
        readNumberInto(policy.weight, policyMap.required("weight"), s_positive, faults);
        readNumberInto(policy.minimumShare, policyMap.required("minimum_share"), s_share, faults);
        policyMap.finish();
    }
    map.finish();
}

void readShiftCaps(SteeringDocument &document, const Field &list, FaultList &faults)
{
    for (const Field &element : elements(list, faults)) {
        MapReader map(element, faults);
        ShiftCap &cap = document.shiftCaps.emplace_back();
        cap.from = readText(map.required("from"), faults);
        cap.to = readText(map.required("to"), faults);
        cap.requestsPerSecond = readNumber(map.required("requests_per_second"), {}, faults);
        cap.bytesPerSecond = readNumber(map.required("bytes_per_second"), {}, faults);
        map.finish();
    }
}

void readAddresses(Upstream &upstream, const Field &field, FaultList &faults)
{
    if (!field) {
        return;
    }
    if (field.node->kind == YamlKind::Scalar) {
        upstream.addresses.emplace("*", readText(field, faults));
        return;
    }
    MapReader map(field, faults);
    if (!map.field()) {
        return;
    }
    for (const std::string &environment : field.node->keys) {
        upstream.addresses.emplace(environment, readText(map.optional(environment), faults));
    }
}

void readUpstreams(Service &service, const Field &list, FaultList &faults)
{
    for (const Field &element : elements(list, faults)) {
        MapReader map(element, faults);
        Upstream &upstream = service.upstreams.emplace_back();
        upstream.name = readText(map.required("name"), faults);
        upstream.failureDomain = readText(map.required("failure_domain"), faults);
        readAddresses(upstream, map.required("address"), faults);
        readWholeInto(upstream.slots, map.required("slots"), {1, 100'000}, faults);
        readWholeInto(upstream.connections, map.required("connections"), {1, 1'000'000}, faults);
        readNumberInto(upstream.weight, map.optional("weight"), s_positive, faults);
        map.finish();
    }
}

void readMethods(Route &route, const Field &list, FaultList &faults)
{
    for (const Field &element : elements(list, faults)) {
        const std::string method = readText(element, faults);
        if (!std::all_of(method.begin(), method.end(), [](unsigned char character) {
                return std::isupper(character) != 0;
            })) {
            faults.add(element.path, element.node->line, fmt::format("'{}' must be a method in upper case", method));
        }
        route.methods.push_back(method);
    }
}

void readRoutes(Service &service, const Field &list, FaultList &faults)
{
    for (const Field &element : elements(list, faults)) {
        MapReader map(element, faults);
        Route &route = service.routes.emplace_back();
        const Field prefix = map.required("path_prefix");
        route.pathPrefix = readText(prefix, faults);
        if (prefix && !route.pathPrefix.starts_with('/')) {
            faults.add(prefix.path, prefix.node->line, fmt::format("'{}' must start with '/'", route.pathPrefix));
        }
        readMethods(route, map.optional("methods"), faults);
        const Field priorityClass = map.required("class");
        const std::string className = readText(priorityClass, faults);
        if (const auto known = base::priorityClassFromString(className)) {
            route.priorityClass = *known;
        } else if (priorityClass) {
            faults.add(priorityClass.path, priorityClass.node->line, fmt::format("'{}' must be urgent, interactive or bulk", className));
        }
        readBoolInto(route.idempotent, map.required("idempotent"), faults);
        if (const Field timeout = map.optional("timeout_ms")) {
            readMillisecondsInto(route.timeout.emplace(), timeout, s_timeoutMs, faults);
        }
        map.finish();
    }
}

void readRetry(RetryLimits &retry, const Field &field, FaultList &faults)
{
    MapReader map(field, faults);
    readNumberInto(retry.budget, map.optional("budget"), s_share, faults);
    readWholeInto(retry.maximumAttempts, map.optional("maximum_attempts"), {1, 5}, faults);
    map.finish();
}

void readServices(SteeringDocument &document, const Field &list, FaultList &faults)
{
    for (const Field &element : elements(list, faults)) {
        MapReader map(element, faults);
        Service &service = document.services.emplace_back();
        service.name = readText(map.required("name"), faults);
        for (const Field &host : elements(map.required("hosts"), faults)) {
            service.hosts.push_back(readText(host, faults));
        }
        readMillisecondsInto(service.timeout, map.optional("timeout_ms"), s_timeoutMs, faults);
        readMillisecondsInto(service.connectTimeout, map.optional("connect_timeout_ms"), s_timeoutMs, faults);
        readMillisecondsInto(service.idleTimeout, map.optional("idle_timeout_ms"), s_timeoutMs, faults);
        readMillisecondsInto(service.warmUp, map.optional("warm_up_ms"), {0, s_timeoutMs.maximum}, faults);
        readWholeInto(service.queueLength, map.optional("queue_length"), {1, 100'000}, faults);
        readWholeInto(service.maximumBody, map.optional("maximum_body_bytes"), {0, 64.0 * (1U << 20U)}, faults);
        readRetry(service.retry, map.optional("retry"), faults);
        readUpstreams(service, map.required("upstreams"), faults);
        readRoutes(service, map.required("routes"), faults);
        map.finish();
    }
}

void readBlocks(SteeringDocument &document, std::uint16_t site, const Field &list, FaultList &faults)
{
    for (const Field &element : elements(list, faults)) {
        const std::string text = readText(element, faults);
        if (const auto block = base::parseIpBlock(text)) {
            document.clientBlocks.push_back({*block, site});
        } else {
            faults.add(element.path, element.node->line, fmt::format("'{}' is not an address block such as 10.1.0.0/16", text));
        }
    }
}

void readSites(SteeringDocument &document, const Field &list, FaultList &faults)
{
    for (const Field &element : elements(list, faults)) {
        MapReader map(element, faults);
        const auto index = static_cast<std::uint16_t>(document.sites.size());
        Site &site = document.sites.emplace_back();
        site.name = readText(map.required("name"), faults);
        site.failureDomain = readText(map.required("failure_domain"), faults);
        readBlocks(document, index, map.optional("blocks"), faults);
        map.finish();
    }
}

void readLookup(LookupPolicy &lookup, const Field &field, FaultList &faults)
{
    MapReader map(field, faults);
    readMillisecondsInto(lookup.ttl, map.optional("ttl_ms"), s_ttlMs, faults);
    readNumberInto(lookup.jitter, map.optional("jitter"), {0, 0.9}, faults);
    readWholeInto(lookup.entries, map.optional("entries"), {1, 16}, faults);
    readNumberInto(lookup.requestsPerResponse, map.optional("requests_per_response"), s_positive, faults);
    map.finish();
}

} // namespace

DocumentError::DocumentError(std::vector<Fault> faults)
    : base::Error(faults.empty() ? "the document is not valid"
                                 : fmt::format("line {}: {}: {} ({} in all)", faults.front().line, faults.front().path, faults.front().message, faults.size()))
    , m_faults(std::move(faults))
{
}

const std::vector<Fault> &DocumentError::faults() const
{
    return m_faults;
}

SteeringDocument parseDocument(std::string_view text)
{
    const YamlNode root = parseYaml(text);
    FaultList faults;
    SteeringDocument document;
    MapReader map({&root, ""}, faults);
    readWholeInto(document.maximumEntryInstances, map.required("max_entry_instances"), {1, 100'000}, faults);
    readRegions(document, map.required("regions"), faults);
    readClasses(document, map.required("classes"), faults);
    readShiftCaps(document, map.optional("shift_caps"), faults);
    readServices(document, map.required("services"), faults);
    readSites(document, map.required("sites"), faults);
    const Field defaultSite = map.required("default_site");
    document.defaultSite = findDefaultSite(document, defaultSite, faults);
    readLookup(document.lookup, map.optional("lookup"), faults);
    map.finish();
    checkReferences(document, map, faults);
    if (!faults.empty()) {
        throw DocumentError(faults.take());
    }
    return document;
}

} // namespace trefoilstile::document
