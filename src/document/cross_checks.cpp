// Checks that concern more than one field. Each element of a list in the document stands at the same index in the text,
// so the line of an element is found by its index.

#include "cross_checks.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <span>
#include <string>

#include <fmt/format.h>

namespace trefoilstile::document
{

namespace
{

constexpr double s_shareTolerance = 1e-9; // rounding of decimal shares that add up to 1
constexpr std::size_t s_maximumSites = 65'535; // sites are indexed with 16 bits

/// Line of element `index` of the list, or of the list itself.
int lineOf(const Field &list, std::size_t index)
{
    if (!list) {
        return 0;
    }
    return index < list.node->children.size() ? list.node->children[index].line : list.node->line;
}

/// Names in use so far; reports a second use.
class UniqueNames
{
public:
    UniqueNames(std::string_view kind, FaultList &faults)
        : m_kind(kind)
        , m_faults(&faults)
    {
    }

    void add(std::string_view name, std::string path, int line)
    {
        if (!name.empty() && !m_names.emplace(name).second) {
            m_faults->add(std::move(path), line, fmt::format("the {} '{}' is given twice", m_kind, name));
        }
    }

    bool contains(std::string_view name) const
    {
        return m_names.find(name) != m_names.end();
    }

private:
    std::string_view m_kind;
    FaultList *m_faults;
    std::set<std::string, std::less<>> m_names;
};

void requireKnown(const UniqueNames &names, std::string_view kind, std::string_view name, std::string path, int line, FaultList &faults)
{
    if (!name.empty() && !names.contains(name)) {
        faults.add(std::move(path), line, fmt::format("the {} '{}' is not known", kind, name));
    }
}

void checkClassShares(const SteeringDocument &document, const Field &classes, FaultList &faults)
{
    double sum = 0;
    for (const ClassPolicy &policy : document.classes.values) {
        sum += policy.minimumShare;
    }
    if (sum > 1 + s_shareTolerance) {
        faults.add("classes", classes ? classes.node->line : 0, fmt::format("the minimum shares add up to {}, at most 1 is allowed", sum));
    }
}

void checkShiftCaps(const SteeringDocument &document, const Field &list, const UniqueNames &regions, FaultList &faults)
{
    UniqueNames pairs("shift cap", faults);
    for (std::size_t i = 0; i < document.shiftCaps.size(); ++i) {
        const ShiftCap &cap = document.shiftCaps[i];
        const std::string path = fmt::format("shift_caps[{}]", i);
        const int line = lineOf(list, i);
        requireKnown(regions, "region", cap.from, path + ".from", line, faults);
        requireKnown(regions, "region", cap.to, path + ".to", line, faults);
        if (cap.from == cap.to) {
            faults.add(path, line, "'from' and 'to' must be two regions");
        }
        pairs.add(fmt::format("{} to {}", cap.from, cap.to), path, line);
    }
}

void checkUpstream(const Upstream &upstream, const std::string &path, int line, FaultList &faults)
{
    if (upstream.connections < upstream.slots) {
        faults.add(path + ".connections", line, fmt::format("{} connections are fewer than {} slots", upstream.connections, upstream.slots));
    }
    for (const auto &[environment, address] : upstream.addresses) {
        const std::size_t colon = address.rfind(':');
        const std::string_view host = std::string_view(address).substr(0, colon == std::string::npos ? 0 : colon);
        const std::string_view port = std::string_view(address).substr(colon == std::string::npos ? 0 : colon + 1);
        const bool digits = !port.empty() && port.size() <= 5 && port.find_first_not_of("0123456789") == std::string_view::npos;
        const int number = digits ? std::stoi(std::string(port)) : 0;
        if (!base::parseIpAddress(host) || number < 1 || number > 65'535) {
            faults.add(path + ".address", line, fmt::format("'{}' must be an IP address and a port such as 10.0.0.1:8080", address));
        }
    }
}

void checkServices(const SteeringDocument &document, const Field &list, const UniqueNames &domains, FaultList &faults)
{
    UniqueNames services("service", faults);
    UniqueNames hosts("host", faults);
    UniqueNames upstreams("upstream", faults);
    for (std::size_t i = 0; i < document.services.size(); ++i) {
        const Service &service = document.services[i];
        const std::string path = fmt::format("services[{}]", i);
        const int line = lineOf(list, i);
        services.add(service.name, path + ".name", line);
        for (const std::string &host : service.hosts) {
            hosts.add(host, path + ".hosts", line);
            if (host.find_first_of("ABCDEFGHIJKLMNOPQRSTUVWXYZ:/ ") != std::string::npos) {
                faults.add(path + ".hosts", line, fmt::format("'{}' must be a host name in lower case without port", host));
            }
        }
        if (service.upstreams.empty() || service.routes.empty() || service.hosts.empty()) {
            faults.add(path, line, "a service needs at least one host, one upstream and one route");
        }
        Field upstreamList;
        if (list && i < list.node->children.size()) {
            FaultList ignored; // duplicate fields have been reported already
            upstreamList = MapReader({&list.node->children[i], path}, ignored).optional("upstreams");
        }
        for (std::size_t j = 0; j < service.upstreams.size(); ++j) {
            const Upstream &upstream = service.upstreams[j];
            const std::string upstreamPath = fmt::format("{}.upstreams[{}]", path, j);
            const int upstreamLine = lineOf(upstreamList, j);
            upstreams.add(upstream.name, upstreamPath + ".name", upstreamLine);
            requireKnown(domains, "failure domain", upstream.failureDomain, upstreamPath + ".failure_domain", upstreamLine, faults);
            checkUpstream(upstream, upstreamPath, upstreamLine, faults);
        }
    }
}

void checkSites(const SteeringDocument &document, const Field &list, const UniqueNames &domains, FaultList &faults)
{
    UniqueNames sites("site", faults);
    for (std::size_t i = 0; i < document.sites.size(); ++i) {
        const std::string path = fmt::format("sites[{}]", i);
        sites.add(document.sites[i].name, path + ".name", lineOf(list, i));
        requireKnown(domains, "failure domain", document.sites[i].failureDomain, path + ".failure_domain", lineOf(list, i), faults);
    }
    if (document.sites.size() > s_maximumSites) {
        faults.add("sites", lineOf(list, 0), fmt::format("{} sites, at most {} are allowed", document.sites.size(), s_maximumSites));
    }
}

void checkBlocks(const SteeringDocument &document, const Field &sites, FaultList &faults)
{
    std::vector<ClientBlock> sorted = document.clientBlocks;
    std::sort(sorted.begin(), sorted.end(), [](const ClientBlock &left, const ClientBlock &right) {
        return left.block < right.block;
    });
    for (std::size_t i = 1; i < sorted.size(); ++i) {
        if (sorted[i].block == sorted[i - 1].block) {
            const std::size_t site = sorted[i].site;
            const std::string text = base::toString(sorted[i].block.first);
            faults.add(fmt::format("sites[{}].blocks", site), lineOf(sites, site), fmt::format("the block that starts at {} is given twice", text));
        }
    }
}

} // namespace

std::uint16_t findDefaultSite(const SteeringDocument &document, const Field &field, FaultList &faults)
{
    if (!field) {
        return 0;
    }
    const std::string name = readText(field, faults);
    const auto found = std::find_if(document.sites.begin(), document.sites.end(), [&name](const Site &site) {
        return site.name == name;
    });
    if (found == document.sites.end()) {
        faults.add(field.path, field.node->line, fmt::format("the site '{}' is not known", name));
        return 0;
    }
    return static_cast<std::uint16_t>(found - document.sites.begin());
}

void checkReferences(const SteeringDocument &document, MapReader &root, FaultList &faults)
{
    const Field regionList = root.optional("regions");
    UniqueNames regions("region", faults);
    UniqueNames domains("failure domain", faults);
    for (std::size_t i = 0; i < document.regions.size(); ++i) {
        const std::string path = fmt::format("regions[{}]", i);
        regions.add(document.regions[i].name, path + ".name", lineOf(regionList, i));
        for (const FailureDomain &domain : document.regions[i].failureDomains) {
            domains.add(domain.name, path + ".failure_domains", lineOf(regionList, i));
        }
        if (document.regions[i].failureDomains.empty()) {
            faults.add(path, lineOf(regionList, i), "a region needs at least one failure domain");
        }
    }
    checkClassShares(document, root.optional("classes"), faults);
    checkShiftCaps(document, root.optional("shift_caps"), regions, faults);
    checkServices(document, root.optional("services"), domains, faults);
    checkSites(document, root.optional("sites"), domains, faults);
    checkBlocks(document, root.optional("sites"), faults);
}

} // namespace trefoilstile::document
