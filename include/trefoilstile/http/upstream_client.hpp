// Connections to upstreams: bounded pool by address. `CallerServer` uses it to carry out `Forward` and `Relay`.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "trefoilstile/base/priority_class.hpp"
#include "trefoilstile/base/time.hpp"

namespace boost::asio
{
class io_context;
}

namespace trefoilstile::http
{

class ConnectionPool;

/// Asked before body bytes cross a link to another region. Returns zero to go on now (the bytes are then counted), or
/// the time to wait before asking again.
using LinkPacer = std::function<base::Duration(std::string_view region, std::uint64_t bytes, base::PriorityClass priorityClass)>;

struct UpstreamClientOptions {
    std::size_t maximumConnections = 2048; ///< open connections to all addresses together; an attempt beyond it is `NothingSent`
    std::size_t idlePerAddress = 16; ///< idle connections kept for one address
    base::Duration idleAge = std::chrono::seconds(20); ///< shorter than the keep-alive time of common servers, so that few idle connections are stale
    LinkPacer pacer; ///< null: bytes are not paced
};

/// Single-threaded; must outlive the servers that use it.
class UpstreamClient
{
public:
    UpstreamClient(boost::asio::io_context &context, UpstreamClientOptions options);
    ~UpstreamClient();
    UpstreamClient(const UpstreamClient &) = delete;
    UpstreamClient &operator=(const UpstreamClient &) = delete;

    /// Connections that are open, idle ones included.
    std::size_t openConnections() const;

    /// Connections that wait for their next request.
    std::size_t idleConnections() const;

    /// Closes all idle connections, for example before the io_context is left at a planned stop.
    void closeIdle();

    const UpstreamClientOptions &options() const;

    /// For the implementation of this module.
    ConnectionPool &pool();

private:
    UpstreamClientOptions m_options;
    std::shared_ptr<ConnectionPool> m_pool;
};

} // namespace trefoilstile::http
