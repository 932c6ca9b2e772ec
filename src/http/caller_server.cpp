// The public class and the listening socket.
#include "trefoilstile/http/caller_server.hpp"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include "server_core.hpp"
#include "trefoilstile/http/listener.hpp"
#include "trefoilstile/http/upstream_client.hpp"

namespace trefoilstile::http
{

ServerCore::ServerCore(
    asio::io_context &ioContext, std::shared_ptr<ConnectionPool> connectionPool, CallerServerOptions serverOptions, CallerHandlers callerHandlers)
    : context(ioContext)
    , pool(std::move(connectionPool))
    , options(std::move(serverOptions))
    , handlers(std::move(callerHandlers))
    , bodyBudget(std::make_shared<BodyBudget>(BodyBudget{0, options.totalBodyLimit}))
    , m_listener(std::make_shared<Listener>(context, options.listenAddress))
{
}

void ServerCore::listen()
{
    accepting = true;
    m_listener->start([weak = weak_from_this()](tcp::socket socket) {
        if (const auto self = weak.lock()) {
            self->accepted(std::move(socket));
        }
    });
}

void ServerCore::accepted(tcp::socket socket)
{
    ErrorCode error;
    const tcp::endpoint peer = socket.remote_endpoint(error);
    if (error) {
        return;
    }
    if (sessions.size() >= options.maximumConnections) {
        // Best effort: the socket is new, so the few bytes fit its send buffer.
        static constexpr std::string_view text =
            "HTTP/1.1 503 Service Unavailable\r\nTrefoilstile-Outcome: unknown\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        socket.non_blocking(true, error);
        socket.write_some(asio::buffer(text.data(), text.size()), error);
        socket.shutdown(tcp::socket::shutdown_send, error);
        return;
    }
    const auto client = base::parseIpAddress(peer.address().to_string()).value_or(base::IpAddress{});
    const auto connection = std::make_shared<Connection>(context, std::move(socket));
    const auto session = std::make_shared<CallerSession>(shared_from_this(), connection, client);
    sessions.insert(session.get());
    asio::co_spawn(
        context,
        [session]() {
            return session->run();
        },
        asio::detached);
}

void ServerCore::stopAccepting()
{
    stopping = true;
    accepting = false;
    m_listener->stop();
    for (CallerSession *session : sessions) {
        session->closeIfIdle();
    }
}

void ServerCore::closeAll()
{
    handlers.event = [](engine::Event) {};
    stopAccepting();
    // Exchanges and transfers refer to each other; both are let go here.
    for (const auto &[id, exchange] : std::exchange(exchanges, {})) {
        exchange->caller.reset();
        exchange->current.reset();
    }
}

const std::string &ServerCore::address() const
{
    return m_listener->address();
}

CallerServer::CallerServer(boost::asio::io_context &context, UpstreamClient &upstreams, CallerServerOptions options, CallerHandlers handlers)
    : m_core(std::make_shared<ServerCore>(context, upstreams.pool().shared_from_this(), std::move(options), std::move(handlers)))
{
    m_core->listen();
}

CallerServer::~CallerServer()
{
    m_core->closeAll();
}

void CallerServer::execute(engine::Command command)
{
    std::visit(
        [this](const auto &alternative) {
            m_core->execute(alternative);
        },
        command);
}

std::string CallerServer::address() const
{
    return m_core->address();
}

void CallerServer::setBodyLimit(std::uint64_t bytes)
{
    m_core->options.bodyLimit = bytes;
}

void CallerServer::announceStop()
{
    m_core->stopping = true;
}

void CallerServer::stopAccepting()
{
    m_core->stopAccepting();
}

std::size_t CallerServer::connections() const
{
    return m_core->sessions.size();
}

std::size_t CallerServer::requests() const
{
    return m_core->exchanges.size();
}

std::size_t CallerServer::attempts() const
{
    return m_core->transfers;
}

} // namespace trefoilstile::http
