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

/// Part of the memory for request bodies that the connections of one caller address hold at most, so that one caller cannot take the
/// memory of all others. Not less, because many callers may share the address of a proxy.
constexpr std::uint64_t s_callerBudgetParts = 4;

/// Size at which a container is pruned next, after it has been pruned to `size`.
std::size_t nextPruneThreshold(std::size_t size)
{
    return std::max<std::size_t>(64, 2 * size);
}

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
    http::ErrorCode ignored; // the connection may have failed already; the session notices
    std::shared_ptr<http::BodyBudget> budget = budgetOf(socket.remote_endpoint(ignored).address());
    const auto session = std::make_shared<CallerSession>(m_core, std::move(socket), std::move(budget));
    if (m_sessions.size() >= m_pruneThreshold) {
        std::erase_if(m_sessions, [](const auto &weak) {
            return weak.expired();
        });
        m_pruneThreshold = nextPruneThreshold(m_sessions.size());
    }
    m_sessions.push_back(session);
    session->start();
}

std::shared_ptr<http::BodyBudget> CallerListener::budgetOf(const boost::asio::ip::address &caller)
{
    if (!m_core.configuration.expectsLargeBodies()) {
        return m_bodyBudget;
    }
    if (m_callerBudgets.size() >= m_budgetPruneThreshold) {
        std::erase_if(m_callerBudgets, [](const auto &entry) {
            return entry.second.expired();
        });
        m_budgetPruneThreshold = nextPruneThreshold(m_callerBudgets.size());
    }
    std::weak_ptr<http::BodyBudget> &known = m_callerBudgets[caller];
    std::shared_ptr<http::BodyBudget> budget = known.lock();
    if (!budget) {
        budget = std::make_shared<http::BodyBudget>();
        budget->limit = m_bodyBudget->limit / s_callerBudgetParts;
        budget->parent = m_bodyBudget;
        known = budget;
    }
    return budget;
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
