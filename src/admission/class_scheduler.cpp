// Division of the slots of one service among the classes: shares, reserves and start order.

#include "trefoilstile/admission/class_scheduler.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace trefoilstile::admission
{

namespace
{

// Slot-seconds. Limits how long a class that got less than its share is compensated.
constexpr double s_creditLimit = 60.0;

// Requests of mean length. Limits how long a class that got more than its share is denied it.
constexpr double s_debtLimit = 2.0;

// Tolerance for shares that are whole numbers except for rounding errors, such as 0.3 * 10.
constexpr double s_roundingTolerance = 1e-9;

// Seconds. Keeps the conversion of an estimate to a `Duration` within its range.
constexpr double s_maximumWait = 1e6;

// The estimate of demand has a noise of about 10%, which must not cost urgent requests within capacity their precedence.
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
    // A request that need not wait is never rejected because of an estimate: only running requests can correct the estimate.
    const double wait = base::toSeconds(estimatedWait(priorityClass, request.deadline, now, slots));
    const double timeToFirstByte = m_serviceTimes[priorityClass].timeToFirstByte(m_options.priorServiceTime);
    const double timeLeft = base::toSeconds(request.deadline - now);
    // Lets a standing queue keep enough requests to start the next one without a gap.
    const double standingWait =
        std::max(m_options.standingWaitFraction * timeLeft, 2.0 * m_serviceTimes[priorityClass].holdingTime(m_options.priorServiceTime));
    const double usualWait = m_options.maximumWaitFraction[priorityClass] * timeLeft;
    const double maximumWait = hasStandingQueue(priorityClass, now, slots) ? std::min(standingWait, usualWait) : usualWait;
    if (wait > 0.0 && (wait > maximumWait || wait + timeToFirstByte > timeLeft)) {
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

void ClassScheduler::finished(base::PriorityClass priorityClass, base::Duration holdingTime, base::Duration timeToFirstByte)
{
    m_serviceTimes[priorityClass].observe(holdingTime, timeToFirstByte);
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
    const bool slotAvailable = running() < slots && (entitled(priorityClass, slots) || mayBorrow(priorityClass, now, slots));
    if (slotAvailable && m_queues[priorityClass].empty()) {
        return base::Duration(0);
    }
    double wait = 0.0;
    if (ahead == 0) {
        // An entitled class gets the next slot that any class releases. A class with a debt has to wait until it is paid off.
        const double debt = std::max(0.0, -m_credit[priorityClass]) / std::max(guaranteedSlots(priorityClass, slots), s_roundingTolerance);
        const double ownRelease = m_serviceTimes[priorityClass].holdingTime(m_options.priorServiceTime) / expectedSlots(priorityClass, slots);
        wait = std::min((entitled(priorityClass, slots) ? 0.0 : debt) + 1.0 / std::max(releaseRate(), s_roundingTolerance), ownRelease);
    } else {
        const double slotsInUse = expectedSlots(priorityClass, slots) + (slotAvailable ? 1.0 : 0.0);
        wait = static_cast<double>(ahead + 1) * m_serviceTimes[priorityClass].holdingTime(m_options.priorServiceTime) / slotsInUse;
    }
    return base::fromSeconds(std::min(wait, s_maximumWait));
}

// Slots per second that running requests release.
double ClassScheduler::releaseRate() const
{
    double rate = 0.0;
    for (const base::PriorityClass priorityClass : base::s_priorityClasses) {
        rate += static_cast<double>(m_running[priorityClass]) / m_serviceTimes[priorityClass].holdingTime(m_options.priorServiceTime);
    }
    return rate;
}

double ClassScheduler::overload(base::PriorityClass priorityClass, base::TimePoint now, std::size_t slots) const
{
    constexpr double minimum = 0.1; // slots; keeps the result for a class without a share finite
    return demand(priorityClass, now) / std::max({guaranteedSlots(priorityClass, slots), m_meanRunning[priorityClass], minimum});
}

// Mean number of slots that all arrivals of the class would occupy, rejected ones included.
double ClassScheduler::demand(base::PriorityClass priorityClass, base::TimePoint now) const
{
    return m_demand[priorityClass].rate(now) * m_serviceTimes[priorityClass].holdingTime(m_options.priorServiceTime);
}

bool ClassScheduler::hasStandingQueue(base::PriorityClass priorityClass, base::TimePoint now, std::size_t slots) const
{
    if (priorityClass == base::PriorityClass::Urgent && urgentDemandFits(now, slots)) {
        return false;
    }
    return !m_queues[priorityClass].empty() && now - m_emptyAt[priorityClass] > m_options.standingInterval
        && overload(priorityClass, now, slots) > s_demandSlack;
}

// Slots with which the class works through its queue. A class with waiting requests holds all slots that it can get, so
// the number that it holds now is the estimate, but at least its share.
double ClassScheduler::expectedSlots(base::PriorityClass priorityClass, std::size_t slots) const
{
    // Slots. Keeps the wait of a class without a share finite; its queue then holds few requests, and none for long.
    constexpr double minimum = 0.1;
    return std::max({guaranteedSlots(priorityClass, slots), static_cast<double>(m_running[priorityClass]), minimum});
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

double ClassScheduler::guaranteedSlots(base::PriorityClass priorityClass, std::size_t slots) const
{
    return m_options.classes[priorityClass].minimumShare * static_cast<double>(slots);
}

// A class is entitled to the whole slots of its share at any time, and to the fractional one while it has no debt.
bool ClassScheduler::entitled(base::PriorityClass priorityClass, std::size_t slots) const
{
    const double share = guaranteedSlots(priorityClass, slots);
    const auto held = static_cast<double>(m_running[priorityClass]);
    return held + 1.0 <= share + s_roundingTolerance || (held < share - s_roundingTolerance && m_credit[priorityClass] >= 0.0);
}

// Slots that the class lacks, less those that requests beyond the shares release in time. Two bounds: the current demand
// with a margin for bursts within `reclaimTime`, and the whole share within `shareReclaimTime`. Urgent demand that fits
// beside the other shares has slots kept free even beyond its own share, since long requests in borrowed slots block it.
double ClassScheduler::reserve(base::PriorityClass priorityClass, base::PriorityClass candidate, base::TimePoint now, std::size_t slots) const
{
    if (!m_options.used[priorityClass] || m_options.classes[priorityClass].minimumShare <= 0.0) {
        return 0.0;
    }
    const bool urgent = priorityClass == base::PriorityClass::Urgent;
    const double held = static_cast<double>(m_running[priorityClass]);
    const double share = guaranteedSlots(priorityClass, slots);
    const double currentDemand = demand(priorityClass, now);
    const double limit = urgent && urgentDemandFits(now, slots) ? static_cast<double>(slots) : share;
    const double wanted = std::min(currentDemand + m_options.burstMargin * std::sqrt(currentDemand), limit);
    double returnRate = 0.0; // slots per second released by requests beyond the shares, the candidate's included
    for (const base::PriorityClass other : base::s_priorityClasses) {
        const double otherHeld = static_cast<double>(m_running[other]) + (other == candidate ? 1.0 : 0.0);
        const double beyond = other == priorityClass ? 0.0 : std::max(0.0, otherHeld - guaranteedSlots(other, slots));
        returnRate += beyond / m_serviceTimes[other].holdingTime(m_options.priorServiceTime);
    }
    const double lackingSoon = wanted - held - returnRate * base::toSeconds(m_options.reclaimTime[priorityClass]);
    const double lackingLater = share - held - returnRate * base::toSeconds(m_options.shareReclaimTime);
    const double kept = std::max({lackingSoon, lackingLater, 0.0});
    if (urgent) {
        // At least one whole slot is kept free of long requests: a single hold or payment must find a free slot, however
        // small the share is. Short requests release one in time.
        const bool longWork =
            m_serviceTimes[candidate].holdingTime(m_options.priorServiceTime) > base::toSeconds(m_options.reclaimTime[base::PriorityClass::Urgent]);
        return held < limit - s_roundingTolerance ? std::max(longWork ? 1.0 : 0.0, std::ceil(kept - s_roundingTolerance)) : 0.0;
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

bool ClassScheduler::urgentDemandFits(base::TimePoint now, std::size_t slots) const
{
    if (!m_options.urgentFirstWithinCapacity) {
        return false;
    }
    const double others = guaranteedSlots(base::PriorityClass::Interactive, slots) + guaranteedSlots(base::PriorityClass::Bulk, slots);
    return demand(base::PriorityClass::Urgent, now) <= s_demandSlack * (static_cast<double>(slots) - others);
}

// Classes in the order in which they may take a slot now: entitled classes, most urgent first, then those that borrow.
ClassScheduler::StartCandidates ClassScheduler::startCandidates(base::TimePoint now, std::size_t slots) const
{
    StartCandidates result;
    std::size_t count = 0;
    if (running() >= slots) {
        // If short requests end soon, waiting for one of them is better than queueing at a full upstream.
        const bool releasesSoon = releaseRate() * base::toSeconds(m_options.reclaimTime[base::PriorityClass::Urgent]) >= 1.0;
        if (m_options.urgentBeyondSlots && !releasesSoon && slots > 0 && m_running[base::PriorityClass::Urgent] == 0
            && m_options.classes[base::PriorityClass::Urgent].minimumShare > 0.0 && running() <= slots) {
            result[count++] = StartCandidate{base::PriorityClass::Urgent, false, true};
        }
        return result;
    }
    for (const base::PriorityClass priorityClass : base::s_priorityClasses) {
        if (!m_queues[priorityClass].empty() && entitled(priorityClass, slots)) {
            result[count++] = StartCandidate{priorityClass, false, false};
        }
    }
    std::array<base::PriorityClass, base::s_priorityClassCount> borrowers = base::s_priorityClasses;
    const bool urgentFirst = urgentDemandFits(now, slots);
    std::stable_sort(borrowers.begin(), borrowers.end(), [&](base::PriorityClass left, base::PriorityClass right) {
        const bool leftFirst = urgentFirst && left == base::PriorityClass::Urgent;
        const bool rightFirst = urgentFirst && right == base::PriorityClass::Urgent;
        return leftFirst != rightFirst ? leftFirst : m_borrowed[left] < m_borrowed[right];
    });
    for (const base::PriorityClass priorityClass : borrowers) {
        if (!m_queues[priorityClass].empty() && !entitled(priorityClass, slots) && mayBorrow(priorityClass, now, slots)) {
            result[count++] = StartCandidate{priorityClass, true, false};
        }
    }
    return result;
}

bool ClassScheduler::otherClassesWait(base::PriorityClass priorityClass) const
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
        const double share = guaranteedSlots(priorityClass, slots);
        // Slots that no other class waits for are not charged, and the debt is limited to a few requests. Otherwise a class
        // that used idle slots for a minute would be denied its share for minutes.
        const double charged =
            std::min(static_cast<double>(m_running[priorityClass]), otherClassesWait(priorityClass) ? std::ceil(share - s_roundingTolerance) : share);
        const double minimum = -s_debtLimit * m_serviceTimes[priorityClass].holdingTime(m_options.priorServiceTime);
        // A class whose requests do not wait long enough to form a queue gets credit for its share too, up to one request.
        const bool waiting = !m_queues[priorityClass].empty();
        const double maximum = waiting ? s_creditLimit : (demand(priorityClass, now) > share ? -minimum / s_debtLimit : 0.0);
        credit = std::clamp(credit + (share - charged) * elapsed, minimum, std::max(maximum, std::min(credit, -minimum)));
    }
}

StartedRequest ClassScheduler::start(const StartCandidate &candidate, base::RequestId id, base::TimePoint)
{
    const QueuedRequest request = *m_queues[candidate.priorityClass].remove(id);
    ++m_running[candidate.priorityClass];
    if (candidate.borrowed) {
        double &borrowed = m_borrowed[candidate.priorityClass];
        borrowed = std::max(borrowed, m_borrowVirtualTime);
        m_borrowVirtualTime = borrowed;
        borrowed += m_serviceTimes[candidate.priorityClass].holdingTime(m_options.priorServiceTime) / m_options.classes[candidate.priorityClass].weight;
    }
    return {request, candidate.beyondSlots};
}

} // namespace trefoilstile::admission
