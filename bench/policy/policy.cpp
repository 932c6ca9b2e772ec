// Policies and baselines.

#include "policy.hpp"

#include <algorithm>
#include <utility>

#include "scenario.hpp"

namespace trefoilstile::bench
{

using namespace std::chrono_literals;

namespace
{

/// The library's scheduler.
class SharesScheduler : public SchedulerPolicy
{
public:
    explicit SharesScheduler(const admission::SchedulerOptions &options)
        : m_scheduler(options)
    {
    }

    admission::Admission enqueue(const admission::QueuedRequest &request, base::TimePoint now, std::size_t slots) override
    {
        return m_scheduler.enqueue(request, now, slots);
    }

    std::optional<admission::StartedRequest> next(base::TimePoint now, std::size_t slots, const base::PerClass<bool> &startable) override
    {
        return m_scheduler.next(now, slots, [&](const admission::QueuedRequest &request) {
            return startable[request.priorityClass];
        });
    }

    std::vector<admission::QueuedRequest> expire(base::TimePoint now) override
    {
        return m_scheduler.expire(now);
    }

    void requeue(const admission::QueuedRequest &request) override
    {
        m_scheduler.requeue(request);
    }

    void finished(base::PriorityClass priorityClass, base::Duration held, base::Duration firstByte) override
    {
        m_scheduler.finished(priorityClass, held, firstByte);
    }

    void cancelled(base::PriorityClass priorityClass) override
    {
        m_scheduler.cancelled(priorityClass);
    }

    double overload(base::PriorityClass priorityClass, base::TimePoint now, std::size_t slots) const override
    {
        return m_scheduler.overload(priorityClass, now, slots);
    }

private:
    admission::ClassScheduler m_scheduler;
};

/// Baselines: one bounded queue for all classes, or one for each that is served strictly by priority. No shares, no
/// early rejection.
class PlainScheduler : public SchedulerPolicy
{
public:
    PlainScheduler(bool byClass, std::size_t length)
        : m_byClass(byClass)
        , m_length(byClass ? length : length * base::s_priorityClassCount)
    {
    }

    admission::Admission enqueue(const admission::QueuedRequest &request, base::TimePoint, std::size_t) override
    {
        admission::ClassQueue &queue = queueOf(request.priorityClass);
        if (queue.size() >= m_length) {
            return admission::Admission::QueueFull;
        }
        queue.pushBack(request);
        return admission::Admission::Accepted;
    }

    std::optional<admission::StartedRequest> next(base::TimePoint now, std::size_t slots, const base::PerClass<bool> &startable) override
    {
        for (admission::ClassQueue &queue : m_queues.values) {
            queue.expire(now, m_expired);
            if (m_running >= slots || queue.empty()) {
                continue;
            }
            const admission::QueuedRequest *first = queue.find(admission::QueueOrder::Fifo, now, 1, [&](const admission::QueuedRequest &request) {
                return startable[request.priorityClass];
            });
            if (first == nullptr) {
                continue;
            }
            ++m_running;
            return admission::StartedRequest{*queue.remove(first->id), false};
        }
        return std::nullopt;
    }

    std::vector<admission::QueuedRequest> expire(base::TimePoint now) override
    {
        for (admission::ClassQueue &queue : m_queues.values) {
            queue.expire(now, m_expired);
        }
        return std::exchange(m_expired, {});
    }

    void requeue(const admission::QueuedRequest &request) override
    {
        queueOf(request.priorityClass).pushFront(request);
    }

    void finished(base::PriorityClass, base::Duration, base::Duration) override
    {
        m_running -= m_running > 0 ? 1 : 0;
    }

    void cancelled(base::PriorityClass) override
    {
        m_running -= m_running > 0 ? 1 : 0;
    }

    double overload(base::PriorityClass, base::TimePoint, std::size_t) const override
    {
        return 1.0;
    }

private:
    admission::ClassQueue &queueOf(base::PriorityClass priorityClass)
    {
        return m_queues[m_byClass ? priorityClass : base::PriorityClass::Urgent];
    }

    bool m_byClass;
    std::size_t m_length;
    base::PerClass<admission::ClassQueue> m_queues;
    std::vector<admission::QueuedRequest> m_expired;
    std::size_t m_running{};
};

Policy basic(std::string name, std::string describes)
{
    Policy policy;
    policy.name = std::move(name);
    policy.describes = std::move(describes);
    for (const base::PriorityClass priorityClass : base::s_priorityClasses) {
        policy.admission.classes[priorityClass] = {s_weights[priorityClass], s_minimumShares[priorityClass]};
    }
    return policy;
}

Policy selecting(std::string name, std::string describes, SelectionKind selection, bool split)
{
    Policy policy = basic(std::move(name), std::move(describes));
    policy.selection = selection;
    policy.upstreams.splitSlots = split;
    return policy;
}

Policy borrowing(std::string name, std::string describes, double idleReserve, double remoteIdleFactor)
{
    Policy policy = basic(std::move(name), std::move(describes));
    policy.upstreams.idleReserve = idleReserve;
    policy.upstreams.remoteIdleFactor = remoteIdleFactor;
    return policy;
}

Policy ordered(std::string name, std::string describes, admission::QueueOrder order, double waitShare)
{
    Policy policy = basic(std::move(name), std::move(describes));
    policy.admission.order = order;
    policy.admission.maximumWaitFraction.values.fill(waitShare);
    policy.admission.standingWaitFraction = waitShare;
    return policy;
}

Policy reclaiming(std::string name, std::string describes, const base::PerClass<base::Duration> &reclaimTime, base::Duration shareReclaimTime, double margin)
{
    Policy policy = basic(std::move(name), std::move(describes));
    policy.admission.reclaimTime = reclaimTime;
    policy.admission.shareReclaimTime = shareReclaimTime;
    policy.admission.burstMargin = margin;
    return policy;
}

} // namespace

std::vector<Policy> policies()
{
    using admission::QueueOrder;
    std::vector<Policy> result{
        basic("default", "shares, split slots, least outstanding"),
        borrowing("borrow-all-idle", "all slots reported idle in the region are lent", 0.0, 4.0),
        borrowing("borrow-none", "no slots of other instances in the region are used", 1.0, 4.0),
        borrowing("remote-share-1", "idle slots of other regions taken once", 0.5, 1.0),
        borrowing("remote-share-2", "idle slots of other regions taken twice", 0.5, 2.0),
        selecting("fifo-round-robin", "baseline", SelectionKind::RoundRobin, false),
        selecting("strict-priority", "baseline", SelectionKind::PowerOfTwo, false),
        selecting("round-robin", "shares, no split", SelectionKind::RoundRobin, false),
        selecting("power-of-two", "shares, no split", SelectionKind::PowerOfTwo, false),
        selecting("least-outstanding", "shares, no split", SelectionKind::LeastOutstanding, false),
        selecting("split-power-of-two", "shares, split slots", SelectionKind::PowerOfTwo, true),
        selecting("split-least-loaded", "shares, split slots", SelectionKind::LeastLoaded, true),
        ordered("wait-80", "early rejection at 0.8 of the deadline without a standing queue", QueueOrder::Fifo, 0.8),
        ordered("order-fifo-full-wait", "FIFO, early rejection at the whole deadline", QueueOrder::Fifo, 1.0),
        ordered("order-lifo", "LIFO", QueueOrder::Lifo, 1.0),
        ordered("order-earliest-deadline", "earliest deadline first", QueueOrder::EarliestDeadline, 1.0),
        ordered("order-adaptive-lifo", "FIFO, LIFO under overload", QueueOrder::AdaptiveLifo, 1.0),
        ordered("order-fifo-quarter-wait", "FIFO, early rejection at a quarter of the deadline", QueueOrder::Fifo, 0.25),
        ordered("order-fifo-tenth-wait", "FIFO, early rejection at a tenth of the deadline", QueueOrder::Fifo, 0.1),
        reclaiming("reserve-whole", "whole missing share kept free", {}, 0ms, 1.0),
        reclaiming("reserve-5-50", "reclaim times 5, 50 and 500 ms", {{5ms, 50ms, 500ms}}, 1s, 1.0),
        reclaiming("reserve-100-400", "reclaim times 100, 400 and 1000 ms", {{100ms, 400ms, 1s}}, 2s, 1.0),
        reclaiming("reserve-least", "one slot for urgent work, nothing for others", {{1h, 1h, 1h}}, 1h, 1.0),
        reclaiming("reserve-no-margin", "mean demand only", {{25ms, 100ms, 500ms}}, 1s, 0.0),
        reclaiming("reserve-margin-2", "twice the margin for bursts", {{25ms, 100ms, 500ms}}, 1s, 2.0),
        basic("no-slot-beyond", "urgent work never goes above the slots"),
        basic("weights-only", "weights divide even if urgent work fits"),
    };
    for (Policy &policy : result) {
        policy.baseline = policy.describes == "baseline";
        if (policy.baseline) {
            policy.scheduler = policy.name == "strict-priority" ? SchedulerKind::Strict : SchedulerKind::Fifo;
        }
    }
    result[result.size() - 2].admission.urgentBeyondSlots = false;
    for (Policy &policy : result) {
        if (policy.name == "wait-80") {
            policy.admission.standingWaitFraction = admission::SchedulerOptions().standingWaitFraction;
        }
    }
    result[result.size() - 1].admission.urgentFirstWithinCapacity = false;
    return result;
}

std::unique_ptr<SchedulerPolicy> makeScheduler(const Policy &policy)
{
    if (policy.scheduler == SchedulerKind::Shares) {
        return std::make_unique<SharesScheduler>(policy.admission);
    }
    return std::make_unique<PlainScheduler>(policy.scheduler == SchedulerKind::Strict, policy.admission.queueLength);
}

std::optional<upstream::Choice> Selection::choose(
    upstream::UpstreamSet &set, const upstream::ChoiceRequest &request, base::TimePoint now, base::SplitMix64 &random)
{
    const auto choose = [&](auto &&policy) {
        return set.choose(request, now, random, policy);
    };
    switch (m_kind) {
    case SelectionKind::PowerOfTwo:
        return choose(upstream::PowerOfTwoChoices());
    case SelectionKind::LeastOutstanding:
        return choose(upstream::LeastOutstanding());
    case SelectionKind::RoundRobin:
        return choose(m_roundRobin);
    case SelectionKind::LeastLoaded:
        break;
    }
    return choose(upstream::LeastLoaded());
}

} // namespace trefoilstile::bench
