// Shares, reserves and order of the classes of one service.

#include "trefoilstile/admission/class_scheduler.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace trefoilstile::admission
{

namespace
{

// Slot-seconds. Bounds how long a class that had nothing, or more than its share, is compensated.
constexpr double s_creditLimit = 60.0;

// Tolerance for shares that are whole numbers but for rounding, such as 0.3 * 10.
constexpr double s_rounding = 1e-9;

// The estimate of demand has a noise of about 10%; urgent work that fits must not lose its precedence by it.
constexpr double s_demandSlack = 1.25;

} // namespace

SchedulerOptions schedulerOptions(const document::SteeringDocument &document, const document::Service &service)
{
    SchedulerOptions options;
    options.classes = document.classes;
    options.queueLength = service.queueLength;
    for (const base::PriorityClass priorityClass : base::s_priorityClasses) {
        options.used[priorityClass] = std::any_of(service.routes.begin(), service.routes.end(), [&](const document::Route &route) {
            return route.priorityClass == priorityClass;
        });
    }
    return options;
}

ClassScheduler::ClassScheduler(const SchedulerOptions &options)
    : m_options(options)
{
}

void ClassScheduler::configure(const SchedulerOptions &options)
{
    m_options = options;
}

Admission ClassScheduler::enqueue(const QueuedRequest &request, base::TimePoint now, std::size_t slots)
{
    const base::PriorityClass priorityClass = request.priorityClass;
    advance(now, slots);
    m_demand[priorityClass].arrived(now);
    if (request.deadline <= now) {
        return Admission::DeadlineTooShort;
    }
    ClassQueue &queue = m_queues[priorityClass];
    if (queue.size() >= m_options.queueLength) {
        return Admission::QueueFull;
    }
    // A request that need not wait is never rejected by an estimate: it is also the observation that corrects one.
    const double wait = base::toSeconds(estimatedWait(priorityClass, request.deadline, now, slots));
    const double firstByte = m_times[priorityClass].firstByte(m_options.priorServiceTime);
    const double left = base::toSeconds(request.deadline - now);
    if (wait > 0.0 && (wait > m_options.waitShare * left || wait + firstByte > left)) {
        return Admission::DeadlineTooShort;
    }
    queue.pushBack(request);
    return Admission::Accepted;
}

void ClassScheduler::requeue(const QueuedRequest &request)
{
    m_queues[request.priorityClass].pushFront(request);
}

std::vector<QueuedRequest> ClassScheduler::expire(base::TimePoint now)
{
    for (ClassQueue &queue : m_queues.values) {
        queue.expire(now, m_expired);
    }
    return std::exchange(m_expired, {});
}

std::optional<QueuedRequest> ClassScheduler::remove(base::RequestId id)
{
    for (ClassQueue &queue : m_queues.values) {
        if (std::optional<QueuedRequest> removed = queue.remove(id)) {
            return removed;
        }
    }
    const auto expired = std::find_if(m_expired.begin(), m_expired.end(), [id](const QueuedRequest &request) {
        return request.id == id;
    });
    if (expired == m_expired.end()) {
        return std::nullopt;
    }
    const QueuedRequest request = *expired;
    m_expired.erase(expired);
    return request;
}

void ClassScheduler::finished(base::PriorityClass priorityClass, base::Duration held, base::Duration firstByte)
{
    m_times[priorityClass].observe(held, firstByte);
    cancelled(priorityClass);
}

void ClassScheduler::cancelled(base::PriorityClass priorityClass)
{
    if (m_running[priorityClass] > 0) {
        --m_running[priorityClass];
    }
}

base::Duration ClassScheduler::estimatedWait(base::PriorityClass priorityClass, base::TimePoint deadline, base::TimePoint now, std::size_t slots) const
{
    const std::size_t ahead = m_queues[priorityClass].ahead(m_options.order, deadline, now);
    const bool free = running() < slots && (entitled(priorityClass, slots) || mayBorrow(priorityClass, slots));
    if (free && m_queues[priorityClass].empty()) {
        return base::Duration(0);
    }
    const double held = heldWhenWaiting(priorityClass, slots) + (free ? 1.0 : 0.0);
    const double perStart = m_times[priorityClass].held(m_options.priorServiceTime) / held;
    return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(static_cast<double>(ahead + 1) * perStart));
}

double ClassScheduler::overload(base::PriorityClass priorityClass, base::TimePoint now, std::size_t slots) const
{
    const double demand = m_demand[priorityClass].rate(now) * m_times[priorityClass].held(m_options.priorServiceTime);
    return demand / heldWhenWaiting(priorityClass, slots);
}

// A class that waits holds as many slots as it can get, so those it holds now tell its rate; never below its share.
double ClassScheduler::heldWhenWaiting(base::PriorityClass priorityClass, std::size_t slots) const
{
    // Keeps the wait of a class without a share finite; its queue then holds few requests, and none for long.
    constexpr double least = 0.1;
    return std::max({guarantee(priorityClass, slots), static_cast<double>(m_running[priorityClass]), least});
}

std::optional<base::TimePoint> ClassScheduler::nextDeadline() const
{
    std::optional<base::TimePoint> earliest;
    for (const ClassQueue &queue : m_queues.values) {
        const std::optional<base::TimePoint> deadline = queue.earliestDeadline();
        if (deadline && (!earliest || *deadline < *earliest)) {
            earliest = deadline;
        }
    }
    return earliest;
}

std::size_t ClassScheduler::running() const
{
    return std::accumulate(m_running.values.begin(), m_running.values.end(), std::size_t{});
}

double ClassScheduler::guarantee(base::PriorityClass priorityClass, std::size_t slots) const
{
    return m_options.classes[priorityClass].minimumShare * static_cast<double>(slots);
}

// A class is entitled to whole slots of its share at once, and to the fractional one in turn, by its credit.
bool ClassScheduler::entitled(base::PriorityClass priorityClass, std::size_t slots) const
{
    const double share = guarantee(priorityClass, slots);
    const auto held = static_cast<double>(m_running[priorityClass]);
    return held + 1.0 <= share + s_rounding || (held < share - s_rounding && m_credit[priorityClass] >= 0.0);
}

double ClassScheduler::reserve(base::PriorityClass priorityClass, base::PriorityClass candidate, std::size_t slots) const
{
    const double missing = guarantee(priorityClass, slots) - static_cast<double>(m_running[priorityClass]);
    if (!m_options.used[priorityClass] || missing <= s_rounding) {
        return 0.0;
    }
    // Slots per second that come back from work beyond the shares, the candidate's included; they go to entitled
    // classes first.
    double returning = 0.0;
    for (const base::PriorityClass other : base::s_priorityClasses) {
        const double held = static_cast<double>(m_running[other]) + (other == candidate ? 1.0 : 0.0);
        const double beyond = std::max(0.0, held - guarantee(other, slots));
        returning += beyond / m_times[other].held(m_options.priorServiceTime);
    }
    const double kept = std::max(0.0, missing - returning * base::toSeconds(m_options.reclaimTime[priorityClass]));
    if (priorityClass == base::PriorityClass::Urgent) {
        // At least one whole slot: a single hold or payment must find one free, however small the share is.
        return std::max(1.0, std::ceil(kept - s_rounding));
    }
    return std::round(kept);
}

bool ClassScheduler::mayBorrow(base::PriorityClass priorityClass, std::size_t slots) const
{
    const std::size_t used = running();
    if (used >= slots) {
        return false;
    }
    double reserved = 0.0;
    for (const base::PriorityClass other : base::s_priorityClasses) {
        reserved += other == priorityClass ? 0.0 : reserve(other, priorityClass, slots);
    }
    // One slot is never reserved; otherwise a class without a whole slot in its share could not use an idle service.
    reserved = std::min(reserved, static_cast<double>(slots) - 1.0);
    return static_cast<double>(slots - used) - 1.0 >= reserved;
}

bool ClassScheduler::urgentFits(base::TimePoint now, std::size_t slots) const
{
    if (!m_options.urgentFirstWithinCapacity) {
        return false;
    }
    const double demand = m_demand[base::PriorityClass::Urgent].rate(now) * m_times[base::PriorityClass::Urgent].held(m_options.priorServiceTime);
    const double others = guarantee(base::PriorityClass::Interactive, slots) + guarantee(base::PriorityClass::Bulk, slots);
    return demand <= s_demandSlack * (static_cast<double>(slots) - others);
}

// Classes in the order in which they may take a slot now: entitled ones, most urgent first, then those that borrow.
ClassScheduler::Turns ClassScheduler::turns(base::TimePoint now, std::size_t slots) const
{
    Turns result;
    std::size_t count = 0;
    if (running() >= slots) {
        if (m_options.urgentBeyondSlots && slots > 0 && m_running[base::PriorityClass::Urgent] == 0
            && m_options.classes[base::PriorityClass::Urgent].minimumShare > 0.0 && running() <= slots) {
            result[count++] = Turn{base::PriorityClass::Urgent, false, true};
        }
        return result;
    }
    for (const base::PriorityClass priorityClass : base::s_priorityClasses) {
        if (!m_queues[priorityClass].empty() && entitled(priorityClass, slots)) {
            result[count++] = Turn{priorityClass, false, false};
        }
    }
    std::array<base::PriorityClass, base::s_priorityClassCount> borrowers = base::s_priorityClasses;
    const bool urgentFirst = urgentFits(now, slots);
    std::stable_sort(borrowers.begin(), borrowers.end(), [&](base::PriorityClass left, base::PriorityClass right) {
        const bool leftFirst = urgentFirst && left == base::PriorityClass::Urgent;
        const bool rightFirst = urgentFirst && right == base::PriorityClass::Urgent;
        return leftFirst != rightFirst ? leftFirst : m_borrowed[left] < m_borrowed[right];
    });
    for (const base::PriorityClass priorityClass : borrowers) {
        if (!m_queues[priorityClass].empty() && !entitled(priorityClass, slots) && mayBorrow(priorityClass, slots)) {
            result[count++] = Turn{priorityClass, true, false};
        }
    }
    return result;
}

void ClassScheduler::advance(base::TimePoint now, std::size_t slots)
{
    for (ClassQueue &queue : m_queues.values) {
        queue.expire(now, m_expired);
    }
    const double elapsed = m_advancedAt ? std::max(0.0, base::toSeconds(now - *m_advancedAt)) : 0.0;
    m_advancedAt = now;
    for (const base::PriorityClass priorityClass : base::s_priorityClasses) {
        double &credit = m_credit[priorityClass];
        const double rate = guarantee(priorityClass, slots) - static_cast<double>(m_running[priorityClass]);
        const double most = m_queues[priorityClass].empty() ? 0.0 : s_creditLimit;
        credit = std::clamp(credit + rate * elapsed, -s_creditLimit, most);
    }
}

StartedRequest ClassScheduler::start(const Turn &turn, base::RequestId id, base::TimePoint)
{
    const QueuedRequest request = *m_queues[turn.priorityClass].remove(id);
    ++m_running[turn.priorityClass];
    if (turn.borrowed) {
        double &borrowed = m_borrowed[turn.priorityClass];
        borrowed = std::max(borrowed, m_borrowClock);
        m_borrowClock = borrowed;
        borrowed += m_times[turn.priorityClass].held(m_options.priorServiceTime) / m_options.classes[turn.priorityClass].weight;
    }
    return {request, turn.beyondSlots};
}

} // namespace trefoilstile::admission
