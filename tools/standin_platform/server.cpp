// Connections of the stand-in platform: one thread, one session object for each connection.

#include "server.hpp"

#include <chrono>
#include <cstdio>
#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

namespace trefoilstile::standin
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

base::TimePoint now()
{
    return base::TimePoint(std::chrono::duration_cast<base::Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

class Session : public std::enable_shared_from_this<Session>
{
public:
    Session(tcp::socket socket, PlatformService &service)
        : m_stream(std::move(socket))
        , m_timer(m_stream.get_executor())
        , m_service(service)
    {
    }

    void readRequest()
    {
        m_parser.emplace();
        m_parser->body_limit(s_maximumBody);
        http::async_read(m_stream, m_buffer, *m_parser, [self = shared_from_this()](beast::error_code error, std::size_t) {
            if (!error) {
                self->handleRequest();
            }
        });
    }

private:
    void handleRequest()
    {
        auto &message = m_parser->get();
        const Request request{
            std::string(message.method_string()), std::string(message.target()), std::string(message["If-Version"]), std::move(message.body())};
        m_keepAlive = message.keep_alive();
        m_answer = m_service.handle(request, now());
        if (m_answer.delay <= base::Duration::zero()) {
            deliver();
            return;
        }
        m_timer.expires_after(m_answer.delay);
        m_timer.async_wait([self = shared_from_this()](beast::error_code error) {
            if (!error) {
                self->deliver();
            }
        });
    }

    void deliver()
    {
        beast::error_code ignored;
        switch (m_answer.delivery) {
        case Delivery::Respond:
            respond();
            return;
        case Delivery::NeverRespond:
            waitForClose();
            return;
        case Delivery::Reset:
            m_stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
            m_stream.socket().close(ignored);
            return;
        case Delivery::CloseWithoutResponse:
            m_stream.socket().close(ignored);
            return;
        }
    }

    void respond()
    {
        m_response = {};
        m_response.version(11);
        m_response.result(m_answer.status);
        m_response.set(http::field::content_type, "application/json");
        m_response.body() = std::move(m_answer.body);
        m_response.keep_alive(m_keepAlive);
        m_response.prepare_payload();
        http::async_write(m_stream, m_response, [self = shared_from_this()](beast::error_code error, std::size_t) {
            if (!error && self->m_keepAlive) {
                self->readRequest();
            }
        });
    }

    /// Holds the connection until the peer closes it; what it sends meanwhile is dropped.
    void waitForClose()
    {
        m_buffer.clear();
        m_stream.async_read_some(m_buffer.prepare(4096), [self = shared_from_this()](beast::error_code error, std::size_t) {
            if (!error) {
                self->waitForClose();
            }
        });
    }

    beast::tcp_stream m_stream;
    asio::steady_timer m_timer;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    http::response<http::string_body> m_response;
    Response m_answer;
    bool m_keepAlive = false;
    PlatformService &m_service;
};

void accept(tcp::acceptor &acceptor, PlatformService &service)
{
    acceptor.async_accept([&](beast::error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            beast::error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            std::make_shared<Session>(std::move(socket), service)->readRequest();
        }
        accept(acceptor, service);
    });
}

} // namespace

void serve(const std::string &address, std::uint16_t port, PlatformService &service)
{
    asio::io_context context(1);
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::make_address(address), port));
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](beast::error_code, int) {
        context.stop();
    });
    const tcp::endpoint local = acceptor.local_endpoint();
    const std::string text = local.address().to_string();
    fmt::print("listening {}:{}\n", local.address().is_v6() ? "[" + text + "]" : text, local.port());
    std::fflush(stdout);
    accept(acceptor, service);
    context.run();
}

} // namespace trefoilstile::standin
