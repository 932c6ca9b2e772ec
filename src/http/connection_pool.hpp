// Open connections to upstreams, bounded in number; idle ones are kept for reuse.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "trefoilstile/base/time.hpp"
#include "trefoilstile/http/connection.hpp"
#include "trefoilstile/http/upstream_client.hpp"

namespace trefoilstile::http
{

class ConnectionPool : public std::enable_shared_from_this<ConnectionPool>
{
public:
    ConnectionPool(asio::io_context &context, const UpstreamClientOptions &options);

    /// An idle connection to the address on which nothing has arrived since it was put back, or null.
    std::shared_ptr<Connection> takeIdle(const std::string &address);

    /// A connection that is not open yet, or null if the bound is reached even after idle ones were closed.
    std::shared_ptr<Connection> create();

    /// Keeps a connection whose last exchange ended cleanly, or closes it if there are enough.
    void putBack(const std::string &address, std::shared_ptr<Connection> connection);

    void closeIdle();

    std::size_t open() const
    {
        return *m_open;
    }
    std::size_t idle() const
    {
        return m_idleCount;
    }
    asio::io_context &context()
    {
        return m_context;
    }
    const UpstreamClientOptions &options() const
    {
        return m_options;
    }

private:
    struct Idle {
        std::shared_ptr<Connection> connection;
        base::TimePoint since;
    };
    void sweepLater();
    void sweep();

    asio::io_context &m_context;
    UpstreamClientOptions m_options;
    std::map<std::string, std::vector<Idle>> m_idle; ///< oldest first; no empty vectors
    std::size_t m_idleCount{}; ///< sum of the sizes of `m_idle`
    std::shared_ptr<std::size_t> m_open; ///< shared with the count tokens of connections
    asio::steady_timer m_sweepTimer;
    bool m_sweepPending = false;
};

} // namespace trefoilstile::http
