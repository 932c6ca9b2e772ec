// Moving averages of what requests need, and the capacity that follows from them.

#include "trefoilstile/ingress/measured_requests.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace trefoilstile::ingress
{

namespace
{

/// The value, if it can be a fraction, and the nearest fraction otherwise; 0 for what is not a number.
double fraction(double value)
{
    return value > 0 ? std::min(value, 1.0) : 0.0;
}

} // namespace

std::string_view resourceName(LimitingResource resource)
{
    switch (resource) {
    case LimitingResource::Processor:
        return "processor";
    case LimitingResource::LinkIn:
        return "link_in";
    case LimitingResource::LinkOut:
        return "link_out";
    case LimitingResource::Memory:
        return "memory";
    case LimitingResource::Descriptors:
        return "descriptors";
    }
    return "unknown";
}

MeasuredRequests::MeasuredRequests(InstanceResources resources, MeasuredRequestsOptions options)
    : m_resources(resources)
    , m_options(options)
    , m_requests(options.timeConstant)
    , m_received(options.timeConstant)
    , m_sent(options.timeConstant)
    , m_processor(options.timeConstant)
    , m_control(options.timeConstant)
    , m_memory(options.timeConstant)
    , m_descriptors(options.timeConstant)
    , m_capacity(constantLimit().capacity)
    , m_limiting(constantLimit().resource)
{
}

void MeasuredRequests::requestEnded(RequestBytes bytes)
{
    ++m_ended;
    m_totalBytes.received += bytes.received;
    m_totalBytes.sent += bytes.sent;
    m_requests.add(1);
    const auto received = static_cast<double>(bytes.received);
    const auto sent = static_cast<double>(bytes.sent);
    m_received.bytes.add(received);
    m_received.squares.add(received * received);
    m_sent.bytes.add(sent);
    m_sent.squares.add(sent * sent);
}

void MeasuredRequests::advance(const ResourceUse &use, bool inEffect, base::TimePoint now)
{
    const base::Duration elapsed = m_advancedAt ? now - *m_advancedAt : base::Duration::zero();
    if (m_advancedAt && elapsed <= base::Duration::zero()) {
        return;
    }
    const double seconds = base::toSeconds(elapsed);
    advanceProcessor(use, elapsed);
    m_memory.add(fraction(use.memoryFraction) * seconds);
    m_descriptors.add(fraction(use.descriptorFraction - m_options.idleDescriptors) * seconds);
    for (MovingRate *rate : {&m_requests, &m_received.bytes, &m_received.squares, &m_sent.bytes, &m_sent.squares, &m_processor, &m_memory, &m_descriptors}) {
        rate->advance(now);
    }
    if (m_ended > 0) {
        m_lastRequestAt = now;
        m_sample += m_ended;
    } else if (now - m_lastRequestAt > m_options.idleLimit) {
        m_sample = 0;
    }
    m_ended = 0;
    m_wasIdle = use.idle;
    m_advancedAt = now;

    m_measured = inEffect && m_sample >= m_options.minimumRequests;
    const Limit limit = m_measured ? measuredLimit() : constantLimit();
    m_limiting = limit.resource;
    m_capacity = std::clamp(
        limit.capacity, m_capacity * std::pow(1 - m_options.changePerSecond, seconds), m_capacity * std::pow(1 + m_options.changePerSecond, seconds));
}

void MeasuredRequests::advanceProcessor(const ResourceUse &use, base::Duration elapsed)
{
    // A clock that goes backwards is as good as none.
    m_processorKnown = use.processorTime && m_processorTime && *use.processorTime >= *m_processorTime;
    if (m_processorKnown) {
        const double used = base::toSeconds(*use.processorTime - *m_processorTime);
        if (use.idle && m_wasIdle && m_ended == 0) {
            m_idleClock += elapsed;
            m_control.add(used);
            m_control.advance(m_idleClock);
        } else {
            // May be negative for a moment, because control work is not spread evenly; the average of many updates is not.
            m_processor.add(used - controlProcessors() * base::toSeconds(elapsed));
        }
    } else {
        // The average must not be too low when the clock can be read again.
        const double constantSeconds = m_resources.processors / processorCapacity(m_resources);
        m_processor.add(static_cast<double>(m_ended) * constantSeconds);
    }
    m_processorTime = use.processorTime;
}

MeasuredRequests::Limit MeasuredRequests::constantLimit() const
{
    const double processor = processorCapacity(m_resources);
    const double link = linkCapacity(m_resources);
    return processor <= link ? Limit{processor, LimitingResource::Processor} : Limit{link, LimitingResource::LinkOut};
}

MeasuredRequests::Limit MeasuredRequests::measuredLimit() const
{
    const double rate = m_requests.perSecond();
    const Limit limits[] = {
        {measuredProcessor(rate), LimitingResource::Processor},
        {measuredLink(m_received, rate), LimitingResource::LinkIn},
        {measuredLink(m_sent, rate), LimitingResource::LinkOut},
        {measuredUse(m_memory, m_options.usableFraction, rate), LimitingResource::Memory},
        {measuredUse(m_descriptors, m_options.usableFraction - m_options.idleDescriptors, rate), LimitingResource::Descriptors},
    };
    return *std::min_element(std::begin(limits), std::end(limits), [](const Limit &left, const Limit &right) {
        return left.capacity < right.capacity;
    });
}

double MeasuredRequests::measuredProcessor(double rate) const
{
    const double constant = processorCapacity(m_resources);
    if (!m_processorKnown) {
        return constant;
    }
    const double secondsPerRequest = std::max(0.0, m_processor.perSecond() / rate);
    return bounded((m_resources.processors - controlProcessors()) / secondsPerRequest, constant);
}

double MeasuredRequests::controlProcessors() const
{
    return std::min(m_control.perSecond(), m_options.maximumControlProcessors);
}

double MeasuredRequests::measuredLink(const Direction &direction, double rate) const
{
    // Mean wait of a queue with random arrivals: rate * square / 2 / (1 - rate * mean), solved for the rate at which it is `linkWait`.
    const double link = linkBytesPerSecond(m_resources);
    const double mean = direction.bytes.perSecond() / rate / link;
    const double square = direction.squares.perSecond() / rate / (link * link);
    return bounded(1 / (mean + square / (2 * base::toSeconds(m_options.linkWait))), linkCapacity(m_resources));
}

double MeasuredRequests::measuredUse(const MovingRate &use, double usable, double rate) const
{
    const double capacity = use.perSecond() > 0 ? usable * rate / use.perSecond() : std::numeric_limits<double>::infinity();
    return std::max(capacity, instanceCapacity(m_resources) / m_options.maximumFactor);
}

double MeasuredRequests::bounded(double measured, double constant) const
{
    return std::isnan(measured) ? constant : std::clamp(measured, constant / m_options.maximumFactor, constant * m_options.maximumFactor);
}

} // namespace trefoilstile::ingress
