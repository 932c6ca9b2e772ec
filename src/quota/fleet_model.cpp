// Messages, ticks and arrivals of the modelled instances.

#include "fleet_model.hpp"

namespace trefoilstile::quota::testing
{

void Fleet::tick(std::size_t index)
{
    Instance &instance = m_instances[index];
    const bool urgent = instance.gate->urgent() && m_now >= instance.lastReport + 50ms;
    if (!instance.running || instance.frozen || (m_now < instance.nextTick && !urgent)) {
        return;
    }
    instance.lastTick = m_now;
    instance.nextTick = m_now + 100ms + base::fromSeconds(base::uniformUnit(m_random) * base::toSeconds(m_options.slowTick));
    if (m_now < instance.nextReport && !urgent) {
        return;
    }
    instance.lastReport = m_now;
    instance.nextReport = m_now + 300ms;
    ++instance.round;
    const std::vector<std::size_t> own = aggregators(instance, instance.domain);
    UsageMessage report = message(instance, UsageKind::Member, 0);
    report.usages = instance.gate->report(m_now);
    report.number = instance.gate->reportNumber();
    const auto newsAge = instance.gate->newsAge(m_now);
    const auto unanswered = [&newsAge](std::size_t rank) {
        return newsAge ? *newsAge > rank * 700ms : rank == 1;
    };
    const bool quiet = report.usages.empty() && instance.round % 2 != 0 && !unanswered(1);
    for (std::size_t rank = 0; rank < own.size(); ++rank) {
        report.replyWanted = rank == 0 || unanswered(rank);
        if ((rank == 0 && !quiet) || (rank > 0 && (report.replyWanted || instance.round % (2 * rank + 1) == 0))) {
            send(index, own[rank], report);
        }
    }
    if (own.empty() || own.front() != index) {
        return;
    }
    sendSums(index);
}

void Fleet::sendSums(std::size_t index)
{
    Instance &instance = m_instances[index];
    if (!instance.aggregator->ready(m_now)) {
        return;
    }
    UsageMessage sums = message(instance, UsageKind::Domain, ++instance.sumsNumber);
    sums.usages = instance.aggregator->domainUsages(m_now);
    for (std::size_t domain = 0; domain < m_options.domains; ++domain) {
        const std::string name = "d" + std::to_string(domain);
        if (name == instance.domain) {
            continue;
        }
        const std::vector<std::size_t> others = aggregators(instance, name);
        for (std::size_t rank = 0; rank < others.size(); ++rank) {
            if (rank == 0 || instance.round % (2 * rank + 1) == 0) {
                send(index, others[rank], sums);
            }
        }
    }
}

void Fleet::send(std::size_t from, std::size_t to, const UsageMessage &whole)
{
    for (const UsageMessage &part : splitMessage(whole)) {
        if (from == to) {
            receive(to, from, part);
            continue;
        }
        m_bytes += 130; // envelope, names and address
        for (const AccountUsage &usage : part.usages) {
            m_bytes += 14 + static_cast<double>(usage.slots.size()) * (usage.slots.empty() || usage.slots[0] < 64 ? 1 : 2);
        }
        const bool domainsCut = isDomainCut(m_instances[from]) || isDomainCut(m_instances[to]);
        const bool cut = m_instances[from].cutOff || m_instances[to].cutOff || (m_instances[from].domain != m_instances[to].domain && domainsCut);
        if (cut || base::uniformUnit(m_random) < m_options.loss) {
            continue;
        }
        const int copies = base::uniformUnit(m_random) < m_options.repeated ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            base::Duration delay = base::jittered(m_options.latency, 0.8, m_random);
            if (base::uniformUnit(m_random) < m_options.late) {
                delay += base::jittered(m_options.lateBy, 0.5, m_random);
            }
            m_inFlight.push({m_now + delay, ++m_order, from, to, part});
        }
    }
}

void Fleet::deliver()
{
    while (!m_inFlight.empty() && m_inFlight.top().at <= m_now) {
        const InFlight arrived = m_inFlight.top();
        m_inFlight.pop();
        receive(arrived.to, arrived.from, arrived.message);
    }
    for (std::size_t index = 0; index < m_instances.size(); ++index) {
        Instance &instance = m_instances[index];
        if (!instance.frozen && !instance.waiting.empty()) {
            for (const UsageMessage &waiting : std::exchange(instance.waiting, {})) {
                receive(index, indexOf(waiting.sender), waiting);
            }
        }
    }
}

void Fleet::receive(std::size_t to, std::size_t from, const UsageMessage &message)
{
    Instance &instance = m_instances[to];
    if (!instance.running) {
        return;
    }
    if (instance.frozen) {
        instance.waiting.push_back(message);
        return;
    }
    if (message.kind == UsageKind::Reply) {
        if (message.incarnation == instance.incarnation) {
            instance.gate->apply(message, m_now);
        }
        return;
    }
    instance.aggregator->apply(message, m_now);
    push(to);
    if (message.kind == UsageKind::Member && message.replyWanted && instance.aggregator->ready(m_now)) {
        UsageMessage answer = this->message(instance, UsageKind::Reply, message.number);
        answer.incarnation = message.incarnation;
        answer.usages = instance.aggregator->usagesFor(message.sender, &message, m_now);
        send(to, from, answer);
    }
}

void Fleet::push(std::size_t index)
{
    Instance &instance = m_instances[index];
    const std::vector<std::size_t> own = aggregators(instance, instance.domain);
    if (m_now < instance.nextPush || own.empty() || own.front() != index || !instance.aggregator->ready(m_now)) {
        return;
    }
    instance.nextPush = m_now + 50ms;
    if (instance.aggregator->changedMuch(m_now)) {
        sendSums(index);
    }
    std::vector<std::pair<std::string, UsageMessage>> pushes;
    instance.aggregator->forEachMember(m_now, [&](const std::string &name, const std::string &, base::IncarnationId incarnation, std::uint64_t number) {
        UsageMessage news = message(instance, UsageKind::Reply, number);
        news.incarnation = incarnation;
        pushes.emplace_back(name, news);
    });
    for (auto &[name, news] : pushes) {
        news.usages = instance.aggregator->usagesFor(name, nullptr, m_now);
        if (!news.usages.empty()) {
            send(index, indexOf(name), news);
        }
    }
}

void Fleet::arrivals(std::size_t account)
{
    const Demand &demand = m_demands[account];
    m_due.resize(m_demands.size());
    // Poisson arrivals, by exponential times between them.
    const double rate = demand.perSecond(m_now);
    if (rate <= 0) {
        return;
    }
    m_due[account] = std::max(m_due[account], m_now - s_step);
    while (m_due[account] <= m_now) {
        arrive(account);
        m_due[account] += base::fromSeconds(-std::log(1 - base::uniformUnit(m_random)) / rate);
    }
}

void Fleet::arrive(std::size_t account)
{
    const std::size_t count = m_instances.size();
    const bool first = base::uniformUnit(m_random) < m_demands[account].uneven;
    std::size_t index = base::uniformBelow(m_random, first ? std::max<std::size_t>(1, count / 10) : count);
    while (!m_instances[index].callers) {
        index = base::uniformBelow(m_random, count);
    }
    if (m_instances[index].frozen) {
        m_instances[index].waitingRequests.emplace_back(account, m_now);
        return;
    }
    for (const auto &[waiting, since] : std::exchange(m_instances[index].waitingRequests, {})) {
        if (since + s_patience > m_now) {
            admit(index, waiting);
        }
    }
    admit(index, account);
}

void Fleet::admit(std::size_t index, std::size_t account)
{
    if (m_instances[index].gate->admit(accountId(m_demands[account].quota.name), m_now).admitted) {
        m_times[account].push_back(m_now);
    } else {
        ++m_refusals[account];
        const Instance &instance = m_instances[index];
        const auto newsAge = instance.gate->newsAge(m_now);
        m_connectedRefusals[account] += newsAge && *newsAge <= m_options.quota.newsLifetime && !isDomainCut(instance) ? 1 : 0;
    }
}

void Fleet::configure(Instance &instance)
{
    std::vector<AccountQuota> quotas;
    for (const Demand &demand : m_demands) {
        quotas.push_back(demand.quota);
    }
    instance.gate->setAccounts(quotas);
    instance.aggregator->setAccounts(quotas);
    instance.gate->setMembers(m_options.instances);
    instance.aggregator->setFleet(m_options.instances, m_options.instances / m_options.domains, m_options.domains - 1);
}

bool Fleet::seenRunning(const Instance &instance) const
{
    return instance.lastTick + s_detection > m_now;
}

void Fleet::setQuota(std::size_t account, const AccountQuota &quota)
{
    m_demands[account].quota = quota;
    for (Instance &instance : m_instances) {
        configure(instance);
    }
}

} // namespace trefoilstile::quota::testing
