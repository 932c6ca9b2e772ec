// State of the caller server that sessions and transfers share.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "caller_session.hpp"
#include "connection_pool.hpp"
#include "exchange.hpp"
#include "trefoilstile/http/caller_server.hpp"
#include "trefoilstile/http/connection.hpp"
#include "trefoilstile/http/listener.hpp"
#include "trefoilstile/http/request_reader.hpp"

namespace trefoilstile::http
{

class ServerCore : public std::enable_shared_from_this<ServerCore>
{
public:
    ServerCore(asio::io_context &context, std::shared_ptr<ConnectionPool> pool, CallerServerOptions options, CallerHandlers handlers);

    void listen();
    void stopAccepting();
    void closeAll();

    /// Takes in a request; the caller checks the bound on `exchanges` first.
    std::shared_ptr<Exchange> admit(Request request, BodyShare share);

    /// The caller of a request that is not finished is gone.
    void callerLost(const std::shared_ptr<Exchange> &exchange);

    /// Nothing more will be asked for the request.
    void forget(const std::shared_ptr<Exchange> &exchange);

    /// The session's connection has ended.
    void sessionEnded(CallerSession *session);

    const std::string &address() const;

    void execute(const engine::Forward &command);
    void execute(const engine::Reject &command);
    void execute(const engine::Replay &command);
    void execute(const engine::Relay &command);
    void execute(const engine::ClaimKey &command);
    void execute(const engine::Truncate &command);
    void execute(const engine::Discard &command);

    asio::io_context &context;
    std::shared_ptr<ConnectionPool> pool;
    CallerServerOptions options;
    CallerHandlers handlers;
    std::shared_ptr<BodyBudget> bodyBudget;
    std::unordered_map<base::RequestId, std::shared_ptr<Exchange>> exchanges; ///< requests held
    std::unordered_set<CallerSession *> sessions; ///< open connections
    std::size_t transfers{}; ///< attempts and relays that have not ended
    bool stopping = false; ///< responses carry `Connection: close`
    bool accepting = false; ///< the listening socket is open

private:
    void accepted(tcp::socket socket);
    std::shared_ptr<Exchange> find(base::RequestId id) const;
    void takeOver(Exchange &exchange);
    void respond(const std::shared_ptr<Exchange> &exchange, ResponseHead head, std::string body);

    std::shared_ptr<Listener> m_listener;
    std::uint64_t m_lastRequest{};
};

/// Head of a rejection with the outcome and, if it is not zero, `Retry-After` in whole seconds, rounded up.
ResponseHead rejectionHead(std::uint16_t status, engine::Outcome outcome, base::Duration retryAfter);

/// Usual reason phrase of a status.
std::string reasonPhrase(std::uint16_t status);

} // namespace trefoilstile::http
