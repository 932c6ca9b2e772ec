// Event scheduling and network of the simulated fleet in virtual time.

#include "fleet.hpp"

#include <algorithm>

namespace trefoilstile::membership::testing
{

namespace
{

constexpr base::Duration s_tickPeriod = std::chrono::milliseconds(50);

std::string addressOf(std::size_t node)
{
    return "10." + std::to_string(node / 62'500) + "." + std::to_string(node / 250 % 250) + "." + std::to_string(1 + node % 250) + ":7400";
}

} // namespace

Fleet::Fleet(FleetOptions options)
    : m_random(options.seed)
    , m_options(options)
    , m_now(std::chrono::hours(1))
{
    for (std::size_t node = 0; node < options.domains * options.nodesPerDomain; ++node) {
        const std::size_t domain = node / options.nodesPerDomain;
        const std::string region = "region-" + std::to_string(domain / options.domainsPerRegion);
        const std::string name = region + "-" + std::to_string(domain);
        FleetNode slot;
        slot.domain = domain;
        slot.info = {"entry-" + std::to_string(node), addressOf(node), addressOf(node), region, name};
        m_byAddress[slot.info.peerAddress] = node;
        m_nodes.push_back(std::move(slot));
    }
    m_groups.assign(m_nodes.size(), 0);
}

void Fleet::start(std::size_t node)
{
    FleetNode &slot = m_nodes[node];
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < m_options.seedsPerNode; ++i) {
        const std::size_t seed = i % m_options.domains * m_options.nodesPerDomain + i / m_options.domains;
        seeds.push_back(m_nodes[seed % m_nodes.size()].info.peerAddress);
    }
    slot.incarnation = {m_random.next()};
    slot.resumes = m_now;
    slot.waiting.clear();
    slot.detector = std::make_unique<FailureDetector>(m_options.detector, slot.incarnation, slot.info, seeds, m_random);
    started(node);
    const base::IncarnationId incarnation = slot.incarnation;
    at(m_now + base::jittered(s_tickPeriod / 2, 1.0, m_random), [this, node, incarnation]() {
        tick(node, incarnation);
    });
}

void Fleet::startAll()
{
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        start(node);
    }
}

void Fleet::kill(std::size_t node)
{
    m_nodes[node].detector.reset();
    m_nodes[node].waiting.clear();
}

void Fleet::pause(std::size_t node, base::Duration span)
{
    const base::TimePoint resumes = m_now + span;
    m_nodes[node].resumes = std::max(m_nodes[node].resumes, resumes);
    at(resumes, [this, node]() {
        if (!isPaused(node)) {
            for (auto &action : std::exchange(m_nodes[node].waiting, {})) {
                action();
            }
        }
    });
}

void Fleet::partition(std::vector<int> groups)
{
    m_groups = std::move(groups);
}

void Fleet::cutOffDomain(std::size_t domain)
{
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        m_groups[node] = m_nodes[node].domain == domain ? 1 : 0;
    }
}

void Fleet::heal()
{
    m_groups.assign(m_nodes.size(), 0);
}

void Fleet::at(base::TimePoint time, std::function<void()> action)
{
    m_queue.push({time, m_order++, std::move(action)});
}

void Fleet::run(base::Duration span)
{
    const base::TimePoint end = m_now + span;
    while (!m_queue.empty() && m_queue.top().time <= end) {
        // `top` returns a const reference; moving from it is safe because the element is popped before the next access.
        Scheduled next = std::move(const_cast<Scheduled &>(m_queue.top()));
        m_queue.pop();
        m_now = std::max(m_now, next.time);
        next.action();
    }
    m_now = end;
}

void Fleet::tick(std::size_t node, base::IncarnationId incarnation)
{
    FleetNode &slot = m_nodes[node];
    if (!slot.detector || slot.incarnation != incarnation) {
        return;
    }
    if (isPaused(node)) {
        at(slot.resumes, [this, node, incarnation]() {
            tick(node, incarnation);
        });
        return;
    }
    Sink sink{*this, node};
    slot.detector->tick(m_now, sink);
    ticked(node);
    at(m_now + s_tickPeriod, [this, node, incarnation]() {
        tick(node, incarnation);
    });
}

std::optional<base::Duration> Fleet::travel(std::size_t from, std::size_t to)
{
    if (!connected(from, to) || m_cutLinks.contains(std::minmax(from, to)) || base::uniformUnit(m_random) < m_options.loss) {
        return std::nullopt;
    }
    const bool local = m_nodes[from].info.region == m_nodes[to].info.region;
    return base::jittered(local ? m_options.localDelay : m_options.remoteDelay, m_options.delaySpread, m_random);
}

void Fleet::deliver(std::size_t node, base::IncarnationId incarnation, std::function<void()> action)
{
    FleetNode &slot = m_nodes[node];
    if (!slot.detector || slot.incarnation != incarnation) {
        return;
    }
    if (isPaused(node)) {
        slot.waiting.push_back(std::move(action));
        return;
    }
    action();
}

void Fleet::sendFrom(std::size_t node, Outgoing outgoing)
{
    const std::size_t bytes = sizeOf ? sizeOf(outgoing.message) : 0;
    ++m_nodes[node].sent;
    m_nodes[node].sentBytes += bytes;
    const auto found = m_byAddress.find(outgoing.peerAddress);
    if (found == m_byAddress.end()) {
        return;
    }
    const std::size_t to = found->second;
    const base::IncarnationId sender = m_nodes[node].incarnation;
    const auto message = std::make_shared<Message>(std::move(outgoing.message));
    const int copies = base::uniformUnit(m_random) < m_options.duplication ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const auto delay = travel(node, to);
        if (!delay) {
            continue;
        }
        at(m_now + *delay, [this, to, sender, message, bytes]() {
            // A datagram is delivered to the process that has the address at the time of arrival.
            deliver(to, m_nodes[to].incarnation, [this, to, sender, message, bytes]() {
                ++m_nodes[to].received;
                m_nodes[to].receivedBytes += bytes;
                Sink sink{*this, to};
                m_nodes[to].detector->receive(sender, *message, m_now, sink);
                heard(to, *message);
            });
        });
    }
}

const MemberEntry *Fleet::view(std::size_t observer, std::size_t subject) const
{
    return m_nodes[observer].detector->table().find(m_nodes[subject].incarnation);
}

bool Fleet::agrees() const
{
    for (const FleetNode &observer : m_nodes) {
        if (!observer.detector) {
            continue;
        }
        const bool all = observer.detector->forwardsRecords();
        std::size_t expected = 0;
        for (const FleetNode &subject : m_nodes) {
            if (!subject.detector || (!all && subject.domain != observer.domain)) {
                continue;
            }
            ++expected;
            const MemberEntry *entry = observer.detector->table().find(subject.incarnation);
            if (entry == nullptr || !entry->isAlive()) {
                return false;
            }
        }
        const auto &entries = observer.detector->table().entries();
        const auto alive = std::count_if(entries.begin(), entries.end(), [](const auto &entry) {
            return entry.second.status.state != MemberState::Dead;
        });
        if (static_cast<std::size_t>(alive) != expected) {
            return false;
        }
    }
    return true;
}

std::optional<base::Duration> Fleet::runUntil(const std::function<bool()> &condition, base::Duration bound)
{
    const base::TimePoint start = m_now;
    while (m_now - start <= bound) {
        if (condition()) {
            return m_now - start;
        }
        run(std::chrono::milliseconds(100));
    }
    return std::nullopt;
}

void Fleet::resetCounts()
{
    for (FleetNode &node : m_nodes) {
        node.sent = node.sentBytes = node.received = node.receivedBytes = 0;
    }
}

} // namespace trefoilstile::membership::testing
