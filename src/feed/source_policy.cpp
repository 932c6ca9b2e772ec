// Order of the sources and pauses after failures.

#include "trefoilstile/feed/source_policy.hpp"

#include <algorithm>
#include <utility>

namespace trefoilstile::feed
{

void SourcePolicy::setReaders(bool self, std::vector<std::string> others)
{
    m_known = true;
    m_reader = self;
    m_others = std::move(others);
    std::erase_if(m_failures, [this](const auto &failure) {
        return std::find(m_others.begin(), m_others.end(), failure.first) == m_others.end();
    });
}

Source SourcePolicy::next(base::TimePoint now)
{
    if (!m_startedAt) {
        m_startedAt = now;
    }
    m_readsStore = false;
    const std::string *withCopy = nullptr; // reader that answers but does not reach the store
    if (m_known && !m_reader) {
        for (const std::string &address : m_others) {
            const auto failure = m_failures.find(address);
            if (failure == m_failures.end() || now >= failure->second.pausedUntil) {
                return {Source::Kind::Reader, address, {}};
            }
            if (withCopy == nullptr && failure->second.answers) {
                withCopy = &address;
            }
        }
    }
    if (withCopy != nullptr && now < m_storePausedUntil) {
        return {Source::Kind::Reader, *withCopy, {}};
    }
    if (!m_reader && withCopy == nullptr && now < *m_startedAt + m_options.startLimit) {
        return {Source::Kind::Wait, {}, m_options.startPoll};
    }
    m_readsStore = true;
    return {Source::Kind::Store, {}, {}};
}

void SourcePolicy::succeeded(const std::string &address)
{
    m_failures.erase(address);
    m_withoutStoreSince.reset();
}

void SourcePolicy::failed(const std::string &address, base::TimePoint now)
{
    pause(address, false, now);
}

void SourcePolicy::notReady(const std::string &address, base::TimePoint now)
{
    m_failures[address] = {now + base::jittered(m_options.notReadyPause, m_options.jitter, m_random), {}, false};
}

void SourcePolicy::withoutStore(const std::string &address, base::TimePoint now)
{
    if (!m_withoutStoreSince) {
        m_withoutStoreSince = now;
    }
    if (now >= *m_withoutStoreSince + m_options.outageTolerance) {
        pause(address, true, now);
    }
}

void SourcePolicy::pause(const std::string &address, bool answers, base::TimePoint now)
{
    Failure &failure = m_failures[address];
    failure.pause = std::clamp(failure.pause * 2, m_options.initialPause, m_options.maximumPause);
    failure.pausedUntil = now + base::jittered(failure.pause, m_options.jitter, m_random);
    failure.answers = answers;
}

void SourcePolicy::storeFailed(base::TimePoint now)
{
    m_storePausedUntil = now + base::jittered(m_options.storePause, m_options.jitter, m_random);
}

} // namespace trefoilstile::feed
