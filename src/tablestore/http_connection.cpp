// Synchronous HTTP exchanges built on asynchronous Beast operations, since only those support time-outs.

#include "trefoilstile/tablestore/http_connection.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include "trefoilstile/base/ip.hpp"

namespace trefoilstile::tablestore
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using SteadyTime = std::chrono::steady_clock::time_point;

SteadyTime steadyNow()
{
    return std::chrono::steady_clock::now();
}

} // namespace

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view address = text.substr(0, colon);
    const std::string_view portText = text.substr(colon + 1);
    const bool bracketed = address.size() > 2 && address.front() == '[' && address.back() == ']';
    if (bracketed) {
        address = address.substr(1, address.size() - 2);
    }
    std::uint16_t port{};
    const auto [end, error] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    const bool portIsValid = error == std::errc() && end == portText.data() + portText.size() && port != 0;
    const bool isV6 = address.find(':') != std::string_view::npos;
    if (!portIsValid || isV6 != bracketed || !base::parseIpAddress(address)) {
        return std::nullopt;
    }
    return Endpoint{std::string(address), port};
}

std::string percentEncoded(std::string_view text)
{
    constexpr std::string_view unreserved = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    std::string encoded;
    for (const char letter : text) {
        if (unreserved.find(letter) != std::string_view::npos) {
            encoded += letter;
        } else {
            encoded += fmt::format("%{:02X}", static_cast<unsigned char>(letter));
        }
    }
    return encoded;
}

HttpError::HttpError(const std::string &message, bool nothingSent, bool timedOut)
    : PlatformError(message)
    , m_nothingSent(nothingSent)
    , m_timedOut(timedOut)
{
}

bool HttpError::nothingSent() const
{
    return m_nothingSent;
}

bool HttpError::timedOut() const
{
    return m_timedOut;
}

class HttpConnection::Implementation
{
public:
    Implementation(Endpoint endpoint, HttpOptions options)
        : m_endpoint(std::move(endpoint))
        , m_options(options)
    {
    }

    HttpResponse exchange(const HttpRequest &request, base::Duration limit)
    {
        const SteadyTime deadline = steadyNow() + std::min(limit, m_options.totalTimeout);
        const bool reused = isReusable();
        if (!reused) {
            connect(deadline);
        }
        try {
            return sendAndReceive(request, deadline);
        } catch (const HttpError &error) {
            m_stream.reset();
            const bool safe = request.repeatable || (reused && error.nothingSent());
            if (error.timedOut() || !safe) {
                throw;
            }
            return repeat(request, deadline, error);
        } catch (...) {
            m_stream.reset();
            throw;
        }
    }

private:
    HttpResponse repeat(const HttpRequest &request, SteadyTime deadline, const HttpError &first)
    {
        try {
            connect(deadline);
            return sendAndReceive(request, deadline);
        } catch (const HttpError &error) {
            m_stream.reset();
            throw HttpError(error.what(), first.nothingSent() && error.nothingSent(), error.timedOut());
        }
    }

    /// True if the connection exists, has not been idle for too long and was not closed by the server. An idle connection
    /// must have nothing to read, so a peek that finds an end of stream or unexpected bytes makes it unusable.
    bool isReusable()
    {
        if (!m_stream || steadyNow() - m_lastUsed > m_options.maximumIdle) {
            m_stream.reset();
            return false;
        }
        char byte{};
        beast::error_code error;
        m_stream->socket().non_blocking(true, error);
        m_stream->socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
        if (error != asio::error::would_block) {
            m_stream.reset();
            return false;
        }
        return true;
    }

    void connect(SteadyTime deadline)
    {
        beast::error_code error;
        const auto address = asio::ip::make_address(m_endpoint.address, error);
        m_stream.emplace(m_context);
        if (!error) {
            m_stream->expires_at(std::min(deadline, steadyNow() + m_options.connectTimeout));
            m_stream->async_connect(asio::ip::tcp::endpoint(address, m_endpoint.port), [&](beast::error_code result) {
                error = result;
            });
            run();
        }
        if (error) {
            m_stream.reset();
            fail("connect", error, true);
        }
        m_stream->socket().set_option(asio::ip::tcp::no_delay(true), error);
    }

    HttpResponse sendAndReceive(const HttpRequest &request, SteadyTime deadline)
    {
        send(request, deadline);
        return receive(deadline);
    }

    void send(const HttpRequest &request, SteadyTime deadline)
    {
        http::request<http::span_body<const char>> message;
        message.version(11);
        message.method_string({request.method.data(), request.method.size()});
        message.target(request.target);
        message.set(http::field::host, fmt::format("{}:{}", m_endpoint.address, m_endpoint.port));
        for (const auto &[name, value] : request.headers) {
            message.set(name, value);
        }
        message.body() = beast::span<const char>(request.body.data(), request.body.size());
        message.prepare_payload();

        beast::error_code error;
        std::size_t sent = 0;
        m_stream->expires_at(deadline);
        http::async_write(*m_stream, message, [&](beast::error_code result, std::size_t bytes) {
            error = result;
            sent = bytes;
        });
        run();
        if (error) {
            fail("send", error, sent == 0);
        }
    }

    HttpResponse receive(SteadyTime deadline)
    {
        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        parser.body_limit(m_options.maximumResponseBody);
        while (!parser.is_done()) {
            beast::error_code error;
            m_stream->expires_at(std::min(deadline, steadyNow() + m_options.readTimeout));
            http::async_read_some(*m_stream, buffer, parser, [&](beast::error_code result, std::size_t) {
                error = result;
            });
            run();
            if (error) {
                fail("receive", error, false);
            }
        }
        HttpResponse response{parser.get().result_int(), std::move(parser.get().body())};
        if (parser.get().keep_alive() && buffer.size() == 0) {
            m_lastUsed = steadyNow();
        } else {
            m_stream.reset();
        }
        return response;
    }

    void run()
    {
        m_context.restart();
        m_context.run();
    }

    [[noreturn]] void fail(const char *step, beast::error_code error, bool nothingSent) const
    {
        throw HttpError(fmt::format("{}: {}", step, error.message()), nothingSent, error == beast::error::timeout);
    }

    Endpoint m_endpoint;
    HttpOptions m_options;
    asio::io_context m_context{1};
    std::optional<beast::tcp_stream> m_stream; ///< absent, or connected without an exchange in progress
    SteadyTime m_lastUsed; ///< end of the last response
};

HttpConnection::HttpConnection(Endpoint endpoint, HttpOptions options)
    : m_implementation(std::make_unique<Implementation>(std::move(endpoint), options))
{
}

HttpConnection::~HttpConnection() = default;

HttpResponse HttpConnection::exchange(const HttpRequest &request, base::Duration limit)
{
    return m_implementation->exchange(request, limit);
}

} // namespace trefoilstile::tablestore
