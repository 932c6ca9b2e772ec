// The operator port: GET requests for metrics and status.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "trefoilstile/base/time.hpp"

namespace boost::asio
{
class io_context;
}

namespace trefoilstile::http
{

struct OperatorResponse {
    std::uint16_t status = 200;
    std::string contentType = "application/json";
    std::string body;
};

/// Makes the response for one path; `query` is the text after `?`, see `queryParameter`.
using OperatorHandler = std::function<OperatorResponse(std::string_view query)>;

struct OperatorServerOptions {
    std::string listenAddress = "127.0.0.1:0"; ///< `IP:port`; port 0 chooses a free one
    std::size_t maximumConnections = 64; ///< further ones are closed at once
    base::Duration requestTimeout = std::chrono::seconds(10); ///< for a head to arrive, and for a response to make progress
};

/// Single-threaded on the io_context that is given; the server must outlive the last run of it.
class OperatorServer
{
public:
    /// Binds the address and starts to accept. Throws `Error` if the address is malformed or cannot be bound.
    OperatorServer(boost::asio::io_context &context, OperatorServerOptions options);
    ~OperatorServer();
    OperatorServer(const OperatorServer &) = delete;
    OperatorServer &operator=(const OperatorServer &) = delete;

    /// Sets the handler for GET (and HEAD) of a path. Paths without one get 404.
    void handle(std::string path, OperatorHandler handler);

    /// `IP:port` that the server listens at.
    std::string address() const;

    /// Closes the listening socket and all connections.
    void stop();

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace trefoilstile::http
