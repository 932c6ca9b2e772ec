// Damped shift rates and the ramp for targets with cold caches.

#include "trefoilstile/shift/capacity_advert.hpp"

#include <algorithm>

namespace trefoilstile::shift
{

namespace
{
constexpr base::Duration s_bucketWidth = std::chrono::milliseconds(250);
constexpr base::Duration s_ratePeriod = std::chrono::seconds(1); ///< span over which the sent rate is averaged: the measurement period

/// Fraction of the rate at which the ramp for cold caches starts.
constexpr double s_coldFactor = 0.1;
} // namespace

double ageWeight(base::Duration age, const DampingOptions &options)
{
    if (age <= options.fullWeightAge) {
        return 1;
    }
    if (age >= options.maximumAge) {
        return 0;
    }
    return base::toSeconds(options.maximumAge - age) / base::toSeconds(options.maximumAge - options.fullWeightAge);
}

DampedRate::DampedRate(std::uint32_t senders, DampingOptions options)
    : m_senders(std::max(senders, 1U))
    , m_options(options)
{
}

void DampedRate::onSent(double requests, base::TimePoint now)
{
    if (!m_sent.empty() && now - m_sent.back().start < s_bucketWidth) {
        m_sent.back().requests += requests;
        return;
    }
    m_sent.push_back({now, requests});
    while (now - m_sent.front().start > m_options.maximumAge + s_ratePeriod) {
        m_sent.pop_front();
    }
}

void DampedRate::onAdvert(const CapacityAdvert &advert, base::TimePoint now)
{
    if ((m_sequence && advert.sequence <= *m_sequence) || advert.age >= m_options.maximumAge) {
        return;
    }
    const double current = rate(now);
    m_sequence = advert.sequence;
    m_measuredAt = now - std::max(advert.age, base::Duration::zero());
    const double sent = sentAt(m_measuredAt);
    // Increases are equal amounts for all senders and decreases equal fractions, so the rates of unequal senders converge.
    const double reduced = advert.shifted > 0 ? sent * std::max(0.0, 1 + advert.spare / advert.shifted) : 0;
    const double target = advert.spare >= 0 ? sent + advert.spare / m_senders : reduced;
    m_rate = current + m_options.step * (target - current);
}

double DampedRate::rate(base::TimePoint now) const
{
    return m_sequence ? m_rate * ageWeight(now - m_measuredAt, m_options) : 0;
}

double DampedRate::sentAt(base::TimePoint time) const
{
    double requests = 0;
    for (const Bucket &bucket : m_sent) {
        requests += bucket.start > time - s_ratePeriod && bucket.start <= time ? bucket.requests : 0;
    }
    return requests / base::toSeconds(s_ratePeriod);
}

WarmUpRamp::WarmUpRamp(base::Duration warmUp)
    : m_warmUp(warmUp)
{
}

bool WarmUpRamp::isCold(base::TimePoint now) const
{
    return !m_startedAt || now - m_lastSent >= m_warmUp;
}

void WarmUpRamp::onSent(base::TimePoint now)
{
    if (isCold(now)) {
        m_startedAt = now;
    }
    m_lastSent = now;
}

double WarmUpRamp::factor(base::PriorityClass priorityClass, base::TimePoint now) const
{
    if (priorityClass == base::PriorityClass::Urgent || m_warmUp <= base::Duration::zero()) {
        return 1;
    }
    if (isCold(now)) {
        return s_coldFactor;
    }
    return std::clamp(s_coldFactor + (1 - s_coldFactor) * base::toSeconds(now - *m_startedAt) / base::toSeconds(m_warmUp), s_coldFactor, 1.0);
}

} // namespace trefoilstile::shift
