// Connections to upstreams, kept for reuse while it is safe.
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
    /// Idle time after which a connection is not used any more, unless the upstream states less. Upstreams close theirs
    /// after some seconds.
    base::Duration longestIdle = std::chrono::seconds(4);
    /// The upstream's own timeout is undercut by this much, so that a request does not cross its close.
    base::Duration closeMargin = std::chrono::milliseconds(1'000);
    /// A request that may run only once takes a connection that was in use this recently, or a new one: after a failure on
    /// an old connection nobody could tell whether it ran.
    base::Duration freshIdle = std::chrono::milliseconds(300);
    /// Unacknowledged bytes for longer than this end the connection: above two retransmissions on the longest path.
    base::Duration unacknowledged = std::chrono::milliseconds(1'500);
    int keepAliveSeconds = 1; ///< idle time before a probe, and between two; a silent path is noticed after three
    std::size_t idlePerUpstream = 8; ///< connections kept
};

/// Sets the options by which a silent path is noticed.
void enableDeadPeerDetection(http::Connection &connection, base::Duration unacknowledged, int keepAliveSeconds);

class UpstreamConnections
{
public:
    explicit UpstreamConnections(UpstreamConnectionOptions options = {})
        : m_options(options)
    {
    }

    /// A kept connection, or null.
    std::shared_ptr<http::Connection> take(const std::string &upstreamId, bool recentOnly, base::TimePoint now);

    /// Keeps a connection whose last exchange ended cleanly.
    /// @param keepAlive value of the upstream's `Keep-Alive` field, or null
    void keep(const std::string &upstreamId, std::shared_ptr<http::Connection> connection, const std::string *keepAlive, base::TimePoint now);

    /// Closes what has been idle for too long.
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

/// Seconds of the `timeout` parameter of a `Keep-Alive` field.
std::optional<base::Duration> keepAliveTimeout(std::string_view value);

} // namespace trefoilstile::proxy
