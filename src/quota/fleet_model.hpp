// Model of many instances in virtual time, for the tests of quotas: messages with latency, loss and delay, callers by account, and
// instances that are killed, cut off and suspended. It sends messages as `proxy::QuotaLink` does.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "trefoilstile/base/random.hpp"
#include "trefoilstile/quota/quota_gate.hpp"
#include "trefoilstile/quota/usage_aggregator.hpp"

namespace trefoilstile::quota::testing
{

using namespace std::chrono_literals;

/// Requests of one account, in requests/s over all instances.
struct Demand {
    AccountQuota quota;
    std::function<double(base::TimePoint)> perSecond;
    double uneven = 0; ///< 0: all instances get the same; 1: the first tenth of the instances gets all
    bool mayBeRefused = false;
};

struct FleetOptions {
    std::size_t instances = 72;
    std::size_t domains = 6;
    base::Duration latency = 5ms;
    double loss = 0;
    double repeated = 0; ///< fraction of messages that arrive twice
    double late = 0; ///< fraction of messages that arrive `lateBy` later
    base::Duration lateBy = 1s;
    base::Duration slowTick = 0ms; ///< largest extra time between two ticks
    QuotaOptions quota{5s, 0.1, 20};
    std::uint64_t seed = 1;
};

class Fleet
{
public:
    Fleet(FleetOptions options, std::vector<Demand> demands)
        : m_options(options)
        , m_demands(std::move(demands))
        , m_random(options.seed)
    {
        for (std::size_t index = 0; index < options.instances; ++index) {
            Instance instance;
            instance.name = "n" + std::to_string(index);
            instance.domain = "d" + std::to_string(index % options.domains);
            m_instances.push_back(std::move(instance));
            start(index);
        }
        m_times.resize(m_demands.size());
        m_refusals.resize(m_demands.size());
        m_connectedRefusals.resize(m_demands.size());
    }

    /// Runs until the given time since the start of the model.
    void runUntil(base::Duration time)
    {
        const base::TimePoint end = s_start + time;
        while (m_now < end) {
            m_now += s_step;
            deliver();
            for (std::size_t index = 0; index < m_instances.size(); ++index) {
                tick(index);
            }
            for (std::size_t index = 0; index < m_demands.size(); ++index) {
                arrivals(index);
            }
        }
    }

    void kill(std::size_t index)
    {
        m_instances[index].running = false;
        m_instances[index].callers = false;
    }

    /// Starts an instance; its counts and what it knew are lost.
    void start(std::size_t index)
    {
        Instance &instance = m_instances[index];
        instance.incarnation = {m_random.next()};
        instance.gate = std::make_unique<QuotaGate>(m_options.quota, m_random.next());
        instance.aggregator = std::make_unique<UsageAggregator>(m_options.quota, instance.domain);
        instance.running = true;
        instance.callers = true;
        instance.sumsNumber = 0;
        instance.nextTick = m_now + base::fromSeconds(base::uniformUnit(m_random) * 0.3);
        configure(instance);
    }

    /// Cuts an instance off from all others. Callers still reach it.
    void cutOff(std::size_t index, bool cut)
    {
        m_instances[index].cutOff = cut;
    }

    /// Suspends an instance; messages and requests wait until it continues.
    void freeze(std::size_t index, bool frozen)
    {
        m_instances[index].frozen = frozen;
    }

    /// Cuts one failure domain off from all others.
    void cutDomain(const std::string &domain, bool cut)
    {
        cut ? (void)m_cutDomains.insert(domain) : (void)m_cutDomains.erase(domain);
    }

    /// Changes the quota of an account at all instances.
    void setQuota(std::size_t account, const AccountQuota &quota)
    {
        m_demands[account].quota = quota;
        for (Instance &instance : m_instances) {
            configure(instance);
        }
    }

    /// Largest number of attempts of an account in any sliding window within the given times.
    std::size_t mostInWindow(std::size_t account, base::Duration from = 0s, base::Duration to = 1h) const
    {
        std::size_t most = 0;
        forEachWindow(account, from, to, [&most](std::size_t count, base::TimePoint) {
            most = std::max(most, count);
        });
        return most;
    }

    /// End of the window with the most attempts, since the start of the model.
    base::Duration timeOfMost(std::size_t account) const
    {
        std::size_t most = 0;
        base::Duration at{};
        forEachWindow(account, 0s, 1h, [&](std::size_t count, base::TimePoint time) {
            if (count > most) {
                most = count;
                at = time - s_start;
            }
        });
        return at;
    }

    /// Mean number of attempts per window between two times.
    double meanPerWindow(std::size_t account, base::Duration from, base::Duration to) const
    {
        const auto &times = m_times[account];
        const auto count = std::count_if(times.begin(), times.end(), [&](base::TimePoint time) {
            return time >= s_start + from && time < s_start + to;
        });
        return static_cast<double>(count) * base::toSeconds(m_options.quota.window) / base::toSeconds(to - from);
    }

    std::size_t refusals(std::size_t account) const
    {
        return m_refusals[account];
    }

    /// Refusals at instances with news. Instances without any use their last share, or an equal one.
    std::size_t connectedRefusals(std::size_t account) const
    {
        return m_connectedRefusals[account];
    }

    double bytesPerSecondAndInstance() const
    {
        return m_bytes / base::toSeconds(m_now - s_start) / static_cast<double>(m_instances.size());
    }

    double bound(std::size_t account) const
    {
        return WindowLimits(m_demands[account].quota, m_options.quota).bound;
    }

    double granted(std::size_t account) const
    {
        return WindowLimits(m_demands[account].quota, m_options.quota).granted;
    }

private:
    static constexpr base::TimePoint s_start{1000s};
    static constexpr base::Duration s_step = 10ms;
    static constexpr base::Duration s_patience = 2s; ///< of callers
    static constexpr base::Duration s_detection = 3s; ///< until a lost instance is no candidate any more

    struct Instance {
        std::string name;
        std::string domain;
        base::IncarnationId incarnation;
        std::unique_ptr<QuotaGate> gate;
        std::unique_ptr<UsageAggregator> aggregator;
        bool running = false;
        bool callers = false;
        bool cutOff = false;
        bool frozen = false;
        base::TimePoint nextTick;
        base::TimePoint lastTick;
        base::TimePoint nextReport;
        base::TimePoint lastReport;
        base::TimePoint nextPush;
        std::uint64_t round{};
        std::uint64_t sumsNumber{};
        std::vector<UsageMessage> waiting; ///< messages while frozen
        std::vector<std::pair<std::size_t, base::TimePoint>> waitingRequests; ///< accounts and arrivals of requests while frozen
    };

    struct InFlight {
        base::TimePoint at;
        std::uint64_t order{};
        std::size_t from{};
        std::size_t to{};
        UsageMessage message;

        friend bool operator<(const InFlight &left, const InFlight &right)
        {
            return std::pair(left.at, left.order) > std::pair(right.at, right.order);
        }
    };

    bool isDomainCut(const Instance &instance) const
    {
        return m_cutDomains.contains(instance.domain);
    }

    void configure(Instance &instance)
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

    bool seenRunning(const Instance &instance) const
    {
        return instance.lastTick + s_detection > m_now;
    }

    /// The first aggregators of a failure domain, as seen by an observer.
    std::vector<std::size_t> aggregators(const Instance &observer, const std::string &domain) const
    {
        std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
        for (std::size_t index = 0; index < m_instances.size(); ++index) {
            const Instance &instance = m_instances[index];
            const bool self = &instance == &observer;
            const bool reachable = (seenRunning(instance) && !instance.cutOff && !observer.cutOff) || self;
            if (instance.domain == domain && reachable) {
                ranked.emplace_back(base::mixBits(base::stableHash(instance.name)), index);
            }
        }
        std::sort(ranked.rbegin(), ranked.rend());
        std::vector<std::size_t> result;
        for (std::size_t rank = 0; rank < std::min<std::size_t>(3, ranked.size()); ++rank) {
            result.push_back(ranked[rank].second);
        }
        return result;
    }

    UsageMessage message(const Instance &instance, UsageKind kind, std::uint64_t number) const
    {
        UsageMessage result;
        result.kind = kind;
        result.sender = instance.name;
        result.failureDomain = instance.domain;
        result.incarnation = instance.incarnation;
        result.number = number;
        return result;
    }

    void tick(std::size_t index)
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
        const bool unanswered = !newsAge || *newsAge > 700ms;
        const bool quiet = report.usages.empty() && instance.round % 2 != 0 && !unanswered;
        for (std::size_t rank = 0; rank < own.size(); ++rank) {
            if ((rank == 0 && !quiet) || (rank == 1 && unanswered) || (rank > 0 && instance.round % (2 * rank + 1) == 0)) {
                report.replyWanted = rank == 0 || (rank == 1 && unanswered);
                send(index, own[rank], report);
            }
        }
        if (own.empty() || own.front() != index) {
            return;
        }
        sendSums(index);
    }

    void sendSums(std::size_t index)
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

    void send(std::size_t from, std::size_t to, const UsageMessage &whole)
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

    void deliver()
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

    std::size_t indexOf(const std::string &name) const
    {
        return std::stoul(name.substr(1));
    }

    void receive(std::size_t to, std::size_t from, const UsageMessage &message)
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

    /// Tells the members and the other failure domains at once when much has changed.
    void push(std::size_t index)
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

    void arrivals(std::size_t account)
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

    void arrive(std::size_t account)
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

    void admit(std::size_t index, std::size_t account)
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

    template<typename Visit>
    void forEachWindow(std::size_t account, base::Duration from, base::Duration to, Visit visit) const
    {
        std::deque<base::TimePoint> window;
        for (const base::TimePoint time : m_times[account]) {
            if (time < s_start + from || time >= s_start + to) {
                continue;
            }
            while (!window.empty() && window.front() + m_options.quota.window <= time) {
                window.pop_front();
            }
            window.push_back(time);
            visit(window.size(), time);
        }
    }

    FleetOptions m_options;
    std::vector<Demand> m_demands;
    base::SplitMix64 m_random;
    std::vector<Instance> m_instances;
    std::priority_queue<InFlight> m_inFlight;
    std::uint64_t m_order{};
    base::TimePoint m_now = s_start;
    std::set<std::string> m_cutDomains;
    std::vector<base::TimePoint> m_due;
    std::vector<std::vector<base::TimePoint>> m_times; ///< of attempts, by account
    std::vector<std::size_t> m_refusals;
    std::vector<std::size_t> m_connectedRefusals;
    double m_bytes{};
};

} // namespace trefoilstile::quota::testing
