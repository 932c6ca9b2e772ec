// The servers of an entry process: callers, lookups, readiness and metrics.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "trefoilstile/http/listener.hpp"
#include "trefoilstile/http/operator_server.hpp"
#include "trefoilstile/proxy/caller_session.hpp"
#include "trefoilstile/proxy/entry_core.hpp"

namespace trefoilstile::proxy
{

/// Connections of callers of one process. Throws `http::Error` if the address cannot be bound.
class CallerListener
{
public:
    explicit CallerListener(EntryCore &core);

    /// Responses end their connections from now on, and idle connections are closed.
    void windDown();

    /// `IP:port` that callers connect to.
    const std::string &address() const
    {
        return m_listener->address();
    }

private:
    void accepted(boost::asio::ip::tcp::socket socket);

    EntryCore &m_core;
    std::shared_ptr<http::BodyBudget> m_bodyBudget;
    std::shared_ptr<http::Listener> m_listener;
    std::vector<std::weak_ptr<CallerSession>> m_sessions; ///< ended ones are removed when there are many
    std::size_t m_cleanAt = 64; ///< size from which ended ones are looked for
};

} // namespace trefoilstile::proxy
