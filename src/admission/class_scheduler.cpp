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

// Slot-seconds. Bounds how long a class that had less than its share is compensated.
constexpr double s_creditLimit = 60.0;

// Requests of mean length. Bounds how long a class that had more than its share has to do without it.
constexpr double s_debtLimit = 2.0;

// Tolerance for shares that are whole numbers but for rounding, such as 0.3 * 10.
constexpr double s_rounding = 1e-9;

// Seconds. Keeps the conversion of an estimate to a span within its range.
constexpr double s_longestWait = 1e6;

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
    // A standing queue still holds enough to start the next request without a gap.
    const double standingWait = std::max(m_options.standingWaitFraction * left, 2.0 * m_times[priorityClass].held(m_options.priorServiceTime));
    const double usualWait = m_options.maximumWaitFraction[priorityClass] * left;
    const double longest = standing(priorityClass, now, slots) ? std::min(standingWait, usualWait) : usualWait;
    if (wait > 0.0 && (wait > longest || wait + firstByte > left)) {
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
    const bool free = running() < slots && (entitled(priorityClass, slots) || mayBorrow(priorityClass, now, slots));
    if (free && m_queues[priorityClass].empty()) {
        return base::Duration(0);
    }
    double wait = 0.0;
    if (ahead == 0) {
        // The next slot of any class goes to an entitled one; before that, the share's debt has to be worked off.
        const double debt = std::max(0.0, -m_credit[priorityClass]) / std::max(guarantee(priorityClass, slots), s_rounding);
        const double own = m_times[priorityClass].held(m_options.priorServiceTime) / heldWhenWaiting(priorityClass, slots);
        wait = std::min((entitled(priorityClass, slots) ? 0.0 : debt) + 1.0 / std::max(releaseRate(), s_rounding), own);
    } else {
        const double held = heldWhenWaiting(priorityClass, slots) + (free ? 1.0 : 0.0);
        wait = static_cast<double>(ahead + 1) * m_times[priorityClass].held(m_options.priorServiceTime) / held;
    }
    return base::fromSeconds(std::min(wait, s_longestWait));
}

// Slots per second that running work gives back.
double ClassScheduler::releaseRate() const
{
    double rate = 0.0;
    for (const base::PriorityClass priorityClass : base::s_priorityClasses) {
        rate += static_cast<double>(m_running[priorityClass]) / m_times[priorityClass].held(m_options.priorServiceTime);
    }
    return rate;
}

double ClassScheduler::overload(base::PriorityClass priorityClass, base::TimePoint now, std::size_t slots) const
{
    constexpr double least = 0.1; // keeps the factor of a class without a share finite
    return demand(priorityClass, now) / std::max({guarantee(priorityClass, slots), m_meanRunning[priorityClass], least});
}

// Slots that the arrivals of the class keep busy, rejected ones included.
double ClassScheduler::demand(base::PriorityClass priorityClass, base::TimePoint now) const
{
    return m_demand[priorityClass].rate(now) * m_times[priorityClass].held(m_options.priorServiceTime);
}

bool ClassScheduler::standing(base::PriorityClass priorityClass, base::TimePoint now, std::size_t slots) const
{
    if (priorityClass == base::PriorityClass::Urgent && urgentFits(now, slots)) {
        return false;
    }
    return !m_queues[priorityClass].empty() && now - m_emptyAt[priorityClass] > m_options.standingInterval
        && overload(priorityClass, now, slots) > s_demandSlack;
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

// Slots that the class misses, less those that come back in time from work beyond the shares. Two bounds: the present
// demand with a margin for bursts soon, the whole share within `shareReclaimTime`. An urgent class that fits beside the
// others' shares is kept free slots even beyond its own share, since long work that has borrowed them blocks it.
double ClassScheduler::reserve(base::PriorityClass priorityClass, base::PriorityClass candidate, base::TimePoint now, std::size_t slots) const
{
    if (!m_options.used[priorityClass] || m_options.classes[priorityClass].minimumShare <= 0.0) {
        return 0.0;
    }
    const bool urgent = priorityClass == base::PriorityClass::Urgent;
    const double held = static_cast<double>(m_running[priorityClass]);
    const double share = guarantee(priorityClass, slots);
    const double present = demand(priorityClass, now);
    const double most = urgent && urgentFits(now, slots) ? static_cast<double>(slots) : share;
    const double wanted = std::min(present + m_options.burstMargin * std::sqrt(present), most);
    double returning = 0.0; // slots per second from work beyond the shares, the candidate's included
    for (const base::PriorityClass other : base::s_priorityClasses) {
        const double otherHeld = static_cast<double>(m_running[other]) + (other == candidate ? 1.0 : 0.0);
        const double beyond = other == priorityClass ? 0.0 : std::max(0.0, otherHeld - guarantee(other, slots));
        returning += beyond / m_times[other].held(m_options.priorServiceTime);
    }
    const double soon = wanted - held - returning * base::toSeconds(m_options.reclaimTime[priorityClass]);
    const double later = share - held - returning * base::toSeconds(m_options.shareReclaimTime);
    const double kept = std::max({soon, later, 0.0});
    if (urgent) {
        // At least one whole slot is kept from long work: a single hold or payment must find one free, however small the
        // share is. Short work gives one back in time.
        const bool longWork = m_times[candidate].held(m_options.priorServiceTime) > base::toSeconds(m_options.reclaimTime[base::PriorityClass::Urgent]);
        return held < most - s_rounding ? std::max(longWork ? 1.0 : 0.0, std::ceil(kept - s_rounding)) : 0.0;
    }
    return std::round(kept);
}

bool ClassScheduler::mayBorrow(base::PriorityClass priorityClass, base::TimePoint now, std::size_t slots) const
{
    const std::size_t used = running();
    if (used >= slots) {
        return false;
    }
    double reserved = 0.0;
    for (const base::PriorityClass other : base::s_priorityClasses) {
        reserved += other == priorityClass ? 0.0 : reserve(other, priorityClass, now, slots);
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
    const double others = guarantee(base::PriorityClass::Interactive, slots) + guarantee(base::PriorityClass::Bulk, slots);
    return demand(base::PriorityClass::Urgent, now) <= s_demandSlack * (static_cast<double>(slots) - others);
}

// Classes in the order in which they may take a slot now: entitled ones, most urgent first, then those that borrow.
ClassScheduler::Turns ClassScheduler::turns(base::TimePoint now, std::size_t slots) const
{
    Turns result;
    std::size_t count = 0;
    if (running() >= slots) {
        // Waiting for the end of short work is better than a place in the queue of an upstream that is full.
        const bool releasesSoon = releaseRate() * base::toSeconds(m_options.reclaimTime[base::PriorityClass::Urgent]) >= 1.0;
        if (m_options.urgentBeyondSlots && !releasesSoon && slots > 0 && m_running[base::PriorityClass::Urgent] == 0
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
        if (!m_queues[priorityClass].empty() && !entitled(priorityClass, slots) && mayBorrow(priorityClass, now, slots)) {
            result[count++] = Turn{priorityClass, true, false};
        }
    }
    return result;
}

bool ClassScheduler::othersWait(base::PriorityClass priorityClass) const
{
    return std::any_of(base::s_priorityClasses.begin(), base::s_priorityClasses.end(), [&](base::PriorityClass other) {
        return other != priorityClass && !m_queues[other].empty();
    });
}

void ClassScheduler::advance(base::TimePoint now, std::size_t slots)
{
    for (const base::PriorityClass priorityClass : base::s_priorityClasses) {
        m_queues[priorityClass].expire(now, m_expired);
        if (m_queues[priorityClass].empty()) {
            m_emptyAt[priorityClass] = now;
        }
    }
    const double elapsed = m_advancedAt ? std::max(0.0, base::toSeconds(now - *m_advancedAt)) : 0.0;
    m_advancedAt = now;
    for (const base::PriorityClass priorityClass : base::s_priorityClasses) {
        double &mean = m_meanRunning[priorityClass];
        mean += (static_cast<double>(m_running[priorityClass]) - mean) * std::min(1.0, elapsed); // over about a second
        double &credit = m_credit[priorityClass];
        const double share = guarantee(priorityClass, slots);
        // Slots that no other class waits for are no debt, and a few requests are the most that the share can owe:
        // otherwise a class that used idle slots for a minute would be without its share for minutes.
        const double charged = std::min(static_cast<double>(m_running[priorityClass]), othersWait(priorityClass) ? std::ceil(share - s_rounding) : share);
        const double least = -s_debtLimit * m_times[priorityClass].held(m_options.priorServiceTime);
        // A class whose requests do not wait long enough to form a queue is owed its share as well, up to one request.
        const bool waiting = !m_queues[priorityClass].empty();
        const double most = waiting ? s_creditLimit : (demand(priorityClass, now) > share ? -least / s_debtLimit : 0.0);
        credit = std::clamp(credit + (share - charged) * elapsed, least, std::max(most, std::min(credit, -least)));
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
