// Accepts caller connections within the descriptor and memory limits of the process.

#include "trefoilstile/proxy/caller_listener.hpp"

#include <algorithm>
#include <utility>

namespace trefoilstile::proxy
{

namespace
{

/// Fraction of the memory used for request bodies held at the same time.
constexpr double s_bodyMemoryShare = 0.2;

} // namespace

CallerListener::CallerListener(EntryCore &core)
    : m_core(core)
    , m_bodyBudget(std::make_shared<http::BodyBudget>())
    , m_listener(std::make_shared<http::Listener>(core.context, core.settings.callerAddress))
{
    m_bodyBudget->limit = static_cast<std::uint64_t>(core.settings.memoryMegabytes * 1e6 * s_bodyMemoryShare);
    m_listener->start([this](boost::asio::ip::tcp::socket socket) {
        acceptConnection(std::move(socket));
    });
}

void CallerListener::acceptConnection(boost::asio::ip::tcp::socket socket)
{
    const auto maximum = static_cast<std::size_t>(static_cast<double>(m_core.settings.maximumDescriptors) * s_callerDescriptorShare);
    if (m_core.sessions >= maximum) {
        m_core.metrics.increment("trefoilstile_caller_connections_refused_total", {});
        return; // closes the socket; no request has been read, so the caller can safely try another instance
    }
    const auto session = std::make_shared<CallerSession>(m_core, std::move(socket), m_bodyBudget);
    if (m_sessions.size() >= m_pruneThreshold) {
        std::erase_if(m_sessions, [](const auto &weak) {
            return weak.expired();
        });
        m_pruneThreshold = std::max<std::size_t>(64, 2 * m_sessions.size());
    }
    m_sessions.push_back(session);
    session->start();
}

void CallerListener::closeIdleSessions()
{
    for (const auto &weak : m_sessions) {
        if (const auto session = weak.lock()) {
            session->closeIfIdle();
        }
    }
}

} // namespace trefoilstile::proxy
