// Pool of idle connections to upstreams.

#include "trefoilstile/proxy/upstream_connections.hpp"

#include <algorithm>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace trefoilstile::proxy
{

void enableDeadPeerDetection(http::Connection &connection, base::Duration unacknowledgedTimeout, int keepAliveSeconds)
{
    const int handle = connection.socket.native_handle();
    const int enabled = 1;
    const int probes = 2;
    const auto timeout = static_cast<unsigned>(base::toMilliseconds(unacknowledgedTimeout));
    // Errors are ignored: without these options, request timeouts still detect an unresponsive path.
    ::setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof(enabled));
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &keepAliveSeconds, sizeof(keepAliveSeconds));
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &keepAliveSeconds, sizeof(keepAliveSeconds));
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    ::setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

std::shared_ptr<http::Connection> UpstreamConnections::take(const std::string &upstreamId, bool recentOnly, base::TimePoint now)
{
    const auto found = m_idle.find(upstreamId);
    if (found == m_idle.end()) {
        return nullptr;
    }
    auto &idle = found->second;
    while (!idle.empty()) {
        Idle last = std::move(idle.back());
        if (recentOnly && now - last.since > m_options.recentIdle) {
            idle.back() = std::move(last);
            return nullptr;
        }
        idle.pop_back();
        if (now < last.usableUntil && last.connection->quiet()) {
            return last.connection;
        }
        last.connection->close();
    }
    m_idle.erase(found);
    return nullptr;
}

bool UpstreamConnections::has(const std::string &upstreamId, base::TimePoint now) const
{
    const auto found = m_idle.find(upstreamId);
    return found != m_idle.end() && !found->second.empty() && now < found->second.back().usableUntil;
}

void UpstreamConnections::closeOldest(const std::string &upstreamId)
{
    const auto found = m_idle.find(upstreamId);
    if (found != m_idle.end() && !found->second.empty()) {
        found->second.front().connection->close();
        found->second.erase(found->second.begin());
    }
}

void UpstreamConnections::keep(const std::string &upstreamId, std::shared_ptr<http::Connection> connection, const std::string *keepAlive, base::TimePoint now)
{
    base::Duration longest = m_options.maximumIdle;
    if (keepAlive != nullptr) {
        if (const auto timeout = keepAliveTimeout(*keepAlive)) {
            longest = std::min(longest, *timeout - m_options.closeMargin);
        }
    }
    auto &idle = m_idle[upstreamId];
    if (longest <= base::Duration::zero() || idle.size() >= m_options.maximumIdlePerUpstream) {
        connection->close();
        return;
    }
    idle.push_back({std::move(connection), now, now + longest});
}

void UpstreamConnections::sweep(base::TimePoint now)
{
    for (auto &[id, idle] : m_idle) {
        std::erase_if(idle, [now](const Idle &entry) {
            if (now < entry.usableUntil) {
                return false;
            }
            entry.connection->close();
            return true;
        });
    }
    std::erase_if(m_idle, [](const auto &entry) {
        return entry.second.empty();
    });
}

std::optional<base::Duration> keepAliveTimeout(std::string_view value)
{
    const std::string lower = http::lowerCase(value);
    const std::string_view text = lower;
    const auto at = text.find("timeout=");
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const auto digits = text.substr(at + 8);
    const auto seconds = http::parseNumber(digits.substr(0, digits.find_first_not_of("0123456789")));
    constexpr std::uint64_t longest = 3'600; // bounds the conversion; longer timeouts have no effect, because `maximumIdle` is shorter
    return seconds ? std::optional<base::Duration>(std::chrono::seconds(std::min(*seconds, longest))) : std::nullopt;
}

} // namespace trefoilstile::proxy
