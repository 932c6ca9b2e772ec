// Listener of the entry process for caller connections.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/ip/address.hpp>

#include "trefoilstile/http/listener.hpp"
#include "trefoilstile/http/operator_server.hpp"
#include "trefoilstile/proxy/caller_session.hpp"
#include "trefoilstile/proxy/entry_core.hpp"

namespace trefoilstile::proxy
{

/// Fraction of the descriptors used for callers; the rest is for upstreams, files and the other servers.
inline constexpr double s_callerDescriptorShare = 0.5;

/// Accepts caller connections and tracks their sessions.
class CallerListener
{
public:
    /// Binds the caller address of the settings. Throws `http::Error` if that fails.
    explicit CallerListener(EntryCore &core);

    /// Closes idle connections. Call when the instance has begun to stop; the other connections are closed after their last
    /// response.
    void closeIdleSessions();

    /// `IP:port` that callers connect to.
    const std::string &address() const
    {
        return m_listener->address();
    }

    /// Memory for bodies of requests.
    const http::BodyBudget &bodyBudget() const
    {
        return *m_bodyBudget;
    }

private:
    void acceptConnection(boost::asio::ip::tcp::socket socket);
    /// The part of the body budget that all connections of a caller share; the whole budget if no large bodies are expected.
    std::shared_ptr<http::BodyBudget> budgetOf(const boost::asio::ip::address &caller);

    EntryCore &m_core;
    std::shared_ptr<http::BodyBudget> m_bodyBudget;
    std::shared_ptr<http::Listener> m_listener;
    std::vector<std::weak_ptr<CallerSession>> m_sessions; ///< may contain ended sessions
    std::size_t m_pruneThreshold = 64; ///< size of `m_sessions` at which ended sessions are removed
    std::map<boost::asio::ip::address, std::weak_ptr<http::BodyBudget>> m_callerBudgets; ///< may contain those of callers that have left
    std::size_t m_budgetPruneThreshold = 64; ///< size of `m_callerBudgets` at which those are removed
};

} // namespace trefoilstile::proxy
