// The caller port: parses callers' requests, tells the owner of them and carries out the engine's commands.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "trefoilstile/base/ip.hpp"
#include "trefoilstile/base/time.hpp"
#include "trefoilstile/engine/command.hpp"
#include "trefoilstile/engine/event.hpp"

namespace boost::asio
{
class io_context;
}

namespace trefoilstile::http
{

class ServerCore;
class UpstreamClient;

/// `GET /v1/entries?service=S&client=IP`. Without `client`, the address of the caller's connection is used.
struct LookupRequest {
    std::string service;
    base::IpAddress client;
};

struct LookupResponse {
    std::uint16_t status = 200;
    std::string body; ///< JSON
    base::Duration retryAfter{}; ///< for statuses other than 200; 0: no `Retry-After`
};

struct CallerServerOptions {
    std::string listenAddress = "127.0.0.1:0"; ///< `IP:port`; port 0 chooses a free one
    std::uint64_t bodyLimit = 1U << 20U; ///< bytes of one request body; larger ones get 413
    std::uint64_t totalBodyLimit = 64U << 20U; ///< bytes of all request bodies held; beyond it requests get 503 `not-run`
    std::size_t maximumConnections = 4096; ///< further ones get 503 `unknown` and are closed, as their requests are not read
    std::size_t maximumRequests = 2048; ///< requests in progress; further ones get 503 `not-run`
    base::Duration idleTimeout = std::chrono::seconds(60); ///< between requests of a connection
    base::Duration headTimeout = std::chrono::seconds(10); ///< from the first byte of a head to its end, so that slow senders hold nothing for long
    base::Duration bodyTimeout = std::chrono::seconds(60); ///< from the end of the head to the end of the body
    base::Duration writeTimeout = std::chrono::seconds(30); ///< without progress while the server's own responses are written
    base::Duration relayIdleTimeout = std::chrono::seconds(30); ///< between bytes of a relayed response body
};

/// The owner's side. Both functions are called on the thread that runs the io_context and may call `execute`.
struct CallerHandlers {
    /// Takes `RequestArrived`, `AttemptEnded`, `CallerDisconnected` and `RelayEnded`.
    std::function<void(engine::Event)> event;

    /// Answers a lookup at once.
    std::function<LookupResponse(const LookupRequest &)> lookup;
};

/// Serves callers over HTTP/1.1. Single-threaded: all members are called on the thread that runs the io_context.
///
/// A request is held from `RequestArrived` until it has been ended by `Reject`, `Replay`, `Truncate`, `Discard`, an
/// `AttemptEnded` with `Completed` or a `RelayEnded` that responded. `CallerDisconnected` alone does not end it.
/// Commands for requests that are no longer held are ignored, except that `Forward` and `Relay` still yield their event.
class CallerServer
{
public:
    /// Binds the address and starts to accept. Throws `Error` if the address is malformed or cannot be bound. `upstreams`
    /// must outlive the server; the server must outlive the last run of the io_context.
    CallerServer(boost::asio::io_context &context, UpstreamClient &upstreams, CallerServerOptions options, CallerHandlers handlers);
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /// Carries out one command. `ClaimKey` is not for this class and is ignored.
    void execute(engine::Command command);

    /// `IP:port` that the server listens at.
    std::string address() const;

    /// Limit of bytes of a request body from now on; follows the document in effect.
    void setBodyLimit(std::uint64_t bytes);

    /// First step of a planned stop: new connections and requests are still served, responses carry `Connection: close`.
    void announceStop();

    /// Last step of a planned stop: no new connections (implies `announceStop`) and connections that are idle between
    /// requests are closed. Requests in progress go on.
    void stopAccepting();

    /// Open connections of callers.
    std::size_t connections() const;

    /// Requests held; see the class comment.
    std::size_t requests() const;

    /// Attempts and relays that have not ended, those of callers that are gone included.
    std::size_t attempts() const;

private:
    std::shared_ptr<ServerCore> m_core;
};

} // namespace trefoilstile::http
