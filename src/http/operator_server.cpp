#include "trefoilstile/http/operator_server.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include "server_core.hpp"
#include "trefoilstile/http/connection.hpp"
#include "trefoilstile/http/listener.hpp"
#include "trefoilstile/http/request_reader.hpp"

namespace trefoilstile::http
{

namespace
{

// Operator requests are GETs; no body is wanted.
constexpr std::uint64_t s_operatorBodyLimit = 0;

} // namespace

struct OperatorServer::Impl : std::enable_shared_from_this<OperatorServer::Impl> {
    Impl(asio::io_context &ioContext, OperatorServerOptions serverOptions)
        : context(ioContext)
        , options(std::move(serverOptions))
        , listener(std::make_shared<Listener>(ioContext, options.listenAddress))
    {
    }

    void accepted(tcp::socket socket);
    asio::awaitable<void> serve(std::shared_ptr<Connection> connection);
    asio::awaitable<bool> serveOne(std::shared_ptr<Connection> connection);
    OperatorResponse respond(const Request &request) const;

    asio::io_context &context;
    OperatorServerOptions options;
    std::shared_ptr<Listener> listener;
    std::map<std::string, OperatorHandler, std::less<>> handlers;
    std::vector<std::weak_ptr<Connection>> connections; ///< open ones; ended ones are removed when the next is accepted
};

void OperatorServer::Impl::accepted(tcp::socket socket)
{
    std::erase_if(connections, [](const std::weak_ptr<Connection> &connection) {
        return connection.expired();
    });
    if (connections.size() >= options.maximumConnections) {
        return;
    }
    const auto connection = std::make_shared<Connection>(context, std::move(socket));
    connections.push_back(connection);
    asio::co_spawn(
        context,
        [self = shared_from_this(), connection]() {
            return self->serve(connection);
        },
        asio::detached);
}

asio::awaitable<void> OperatorServer::Impl::serve(std::shared_ptr<Connection> connection)
{
    const auto self = shared_from_this();
    bool more = true;
    while (more) {
        more = co_await serveOne(connection);
    }
    co_await connection->lingeringClose();
}

asio::awaitable<bool> OperatorServer::Impl::serveOne(std::shared_ptr<Connection> connection)
{
    Request request;
    BodyShare share;
    const RequestLimits limits{s_operatorBodyLimit, options.requestTimeout, options.requestTimeout};
    const ReadOutcome outcome = co_await readRequest(connection, limits, request, share);
    if (outcome.closed) {
        co_return false;
    }
    OperatorResponse response;
    if (outcome.rejectStatus != 0) {
        request.keepAlive = false;
        response.status = outcome.rejectStatus;
    } else {
        response = respond(request);
    }
    std::string text = fmt::format("HTTP/1.1 {} {}\r\n", response.status, reasonPhrase(response.status));
    appendField(text, "Content-Type", response.contentType);
    appendField(text, "Content-Length", std::to_string(response.body.size()));
    if (!request.keepAlive) {
        appendField(text, "Connection", "close");
    }
    text += "\r\n";
    if (request.method != "HEAD") {
        text += response.body;
    }
    const ErrorCode error = co_await connection->write(text, options.requestTimeout);
    co_return !error && request.keepAlive;
}

OperatorResponse OperatorServer::Impl::respond(const Request &request) const
{
    const std::string_view target = request.target;
    const auto question = std::min(target.find('?'), target.size());
    const auto handler = handlers.find(target.substr(0, question));
    if (handler == handlers.end()) {
        return {404, "text/plain", "no such path\n"};
    }
    if (request.method != "GET" && request.method != "HEAD") {
        return {405, "text/plain", "only GET is served\n"};
    }
    return handler->second(target.substr(std::min(question + 1, target.size())));
}

OperatorServer::OperatorServer(boost::asio::io_context &context, OperatorServerOptions options)
    : m_impl(std::make_shared<Impl>(context, std::move(options)))
{
    m_impl->listener->start([weak = std::weak_ptr(m_impl)](tcp::socket socket) {
        if (const auto impl = weak.lock()) {
            impl->accepted(std::move(socket));
        }
    });
}

OperatorServer::~OperatorServer()
{
    stop();
}

void OperatorServer::handle(std::string path, OperatorHandler handler)
{
    m_impl->handlers.insert_or_assign(std::move(path), std::move(handler));
}

std::string OperatorServer::address() const
{
    return m_impl->listener->address();
}

void OperatorServer::stop()
{
    m_impl->listener->stop();
    for (const auto &weak : std::exchange(m_impl->connections, {})) {
        if (const auto connection = weak.lock()) {
            connection->close();
        }
    }
}

} // namespace trefoilstile::http
