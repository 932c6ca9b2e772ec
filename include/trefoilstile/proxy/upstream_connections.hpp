// Pool of idle connections to upstreams, which are reused while that is safe.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "trefoilstile/base/time.hpp"
#include "trefoilstile/http/connection.hpp"
#include "trefoilstile/http/message.hpp"

namespace trefoilstile::proxy
{

struct UpstreamConnectionOptions {
    /// Idle time after which a connection is no longer used, unless the upstream states a shorter timeout. Upstreams close idle
    /// connections after some seconds.
    base::Duration maximumIdle = std::chrono::seconds(4);
    /// Connections are abandoned this long before the timeout that the upstream states, so that no request is sent while the
    /// upstream closes the connection.
    base::Duration closeMargin = std::chrono::milliseconds(1'000);
    /// A request that is not idempotent uses a connection that was in use within this time, or a new one: after a failure on an
    /// older connection it would be unknown whether the request ran.
    base::Duration recentIdle = std::chrono::milliseconds(300);
    /// The connection is ended if sent bytes are not acknowledged within this time, which is above two retransmissions on the
    /// longest path.
    base::Duration unacknowledgedTimeout = std::chrono::milliseconds(1'500);
    int keepAliveSeconds = 1; ///< idle time before the first probe and between probes; an unresponsive path is detected after three such intervals
    std::size_t maximumIdlePerUpstream = 8; ///< idle connections kept per upstream
};

/// Sets the TCP keep-alive and user timeout options, which detect a peer or path that no longer responds.
void enableDeadPeerDetection(http::Connection &connection, base::Duration unacknowledgedTimeout, int keepAliveSeconds);

class UpstreamConnections
{
public:
    explicit UpstreamConnections(UpstreamConnectionOptions options = {})
        : m_options(options)
    {
    }

    /// Removes an idle connection to the upstream from the pool and returns it; null if there is none that may be used.
    /// @param recentOnly only connections that were in use within `recentIdle`
    std::shared_ptr<http::Connection> take(const std::string &upstreamId, bool recentOnly, base::TimePoint now);

    /// True if `take` would probably return a connection that was in use at any time.
    bool has(const std::string &upstreamId, base::TimePoint now) const;

    /// Closes the connection to the upstream that was idle for longest, because another one takes its place.
    void closeOldest(const std::string &upstreamId);

    /// Adds a connection to the pool whose last response was read completely. Closes it if the pool has enough for the upstream.
    /// @param keepAlive value of the `Keep-Alive` field of the response, or null
    void keep(const std::string &upstreamId, std::shared_ptr<http::Connection> connection, const std::string *keepAlive, base::TimePoint now);

    /// Closes connections that have been idle for too long.
    void sweep(base::TimePoint now);

    const UpstreamConnectionOptions &options() const
    {
        return m_options;
    }

private:
    struct Idle {
        std::shared_ptr<http::Connection> connection;
        base::TimePoint since;
        base::TimePoint usableUntil;
    };

    UpstreamConnectionOptions m_options;
    std::unordered_map<std::string, std::vector<Idle>> m_idle; ///< by upstream, the most recently used last
};

/// The `timeout` parameter of a `Keep-Alive` field, at most one hour; nothing if it is missing or malformed.
std::optional<base::Duration> keepAliveTimeout(std::string_view value);

} // namespace trefoilstile::proxy
