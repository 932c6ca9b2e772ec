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

    /// The present aggregators of a failure domain.
    std::vector<std::size_t> aggregatorsOf(std::size_t domain) const
    {
        return aggregators(m_instances[domain], m_instances[domain].domain);
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
    void setQuota(std::size_t account, const AccountQuota &quota);

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

    void configure(Instance &instance);

    bool seenRunning(const Instance &instance) const;

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

    void tick(std::size_t index);

    void sendSums(std::size_t index);

    void send(std::size_t from, std::size_t to, const UsageMessage &whole);

    void deliver();

    std::size_t indexOf(const std::string &name) const
    {
        return std::stoul(name.substr(1));
    }

    void receive(std::size_t to, std::size_t from, const UsageMessage &message);

    /// Tells the members and the other failure domains at once when much has changed.
    void push(std::size_t index);

    void arrivals(std::size_t account);

    void arrive(std::size_t account);

    void admit(std::size_t index, std::size_t account);

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
