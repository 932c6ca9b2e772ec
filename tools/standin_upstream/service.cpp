#include "service.hpp"

#include <algorithm>
#include <random>
#include <utility>

#include <boost/asio/post.hpp>
#include <fmt/format.h>

namespace standin
{

namespace
{

// A test that needs more keys is not one for this stand-in.
constexpr std::size_t s_maximumKeys = 1'000'000;

constexpr std::size_t s_maximumSamples = 100'000;

} // namespace

Service::Service(boost::asio::io_context &context, Settings settings)
    : m_settings(std::move(settings))
    , m_context(context)
    , m_start(std::chrono::steady_clock::now())
{
    std::random_device device;
    m_incarnation = fmt::format("{:08x}{:08x}", device(), device());
    sample();
}

void Service::acquire(std::function<void(bool)> ready)
{
    if (m_busy < m_settings.slots) {
        ++m_busy;
        sample();
        ready(true);
    } else if (m_queue.size() < m_settings.slots) {
        m_queue.push_back(std::move(ready));
        sample();
    } else {
        ready(false);
    }
}

void Service::release()
{
    if (m_queue.empty()) {
        --m_busy;
    } else {
        boost::asio::post(m_context, [ready = std::move(m_queue.front())]() {
            ready(true);
        });
        m_queue.pop_front();
    }
    sample();
}

bool Service::isCold() const
{
    return std::chrono::steady_clock::now() - m_start < m_settings.cold;
}

Milliseconds Service::serviceTime() const
{
    if (!isCold()) {
        return m_settings.service;
    }
    const auto age = std::chrono::duration<double>(std::chrono::steady_clock::now() - m_start);
    const double warmth = age / std::chrono::duration<double>(m_settings.cold);
    return Milliseconds(static_cast<Milliseconds::rep>(static_cast<double>(m_settings.service.count()) * (4.0 - 3.0 * warmth)));
}

void Service::executed(const std::string &key)
{
    const bool full = m_executions.size() >= s_maximumKeys && m_executions.count(key) == 0;
    ++m_executions[full ? "_other" : key];
}

nlohmann::json Service::executions() const
{
    return m_executions;
}

void Service::sample()
{
    m_samples.push_back({std::chrono::steady_clock::now(), m_busy, m_queue.size()});
    const auto horizon = std::chrono::steady_clock::now() - m_settings.loadLag;
    // The last sample before the horizon is the one that is reported.
    while (m_samples.size() > 1 && (m_samples[1].time <= horizon || m_samples.size() > s_maximumSamples)) {
        m_samples.pop_front();
    }
}

nlohmann::json Service::load()
{
    sample();
    const char *state = mode.leaving ? "leaving" : isCold() ? "cold" : "live";
    const Sample &reported = m_samples.front();
    const std::size_t queued = m_settings.lieLoad ? 0 : reported.queued;
    return {{"incarnation", m_incarnation},
        {"slots", m_settings.slots},
        {"busy", m_settings.lieLoad.value_or(reported.busy)},
        {"queued", queued},
        {"state", state}};
}

void Service::setMode(const nlohmann::json &json)
{
    mode.acceptNeverAnswer = json.value("accept_never_answer", mode.acceptNeverAnswer);
    mode.closeAfterZeroBytes = json.value("close_after_zero_bytes", mode.closeAfterZeroBytes);
    mode.rejectNext = json.value("reject_next", mode.rejectNext);
    mode.breakAfterBytes = json.value("break_after_bytes", mode.breakAfterBytes);
    mode.answerDelay = Milliseconds(json.value("answer_delay_ms", mode.answerDelay.count()));
    mode.leaving = json.value("leaving", mode.leaving);
    mode.slowBodyBytesPerSecond = json.value("slow_body_bytes_per_s", mode.slowBodyBytesPerSecond);
    mode.shortBody = json.value("short_body", mode.shortBody);
}

} // namespace standin
