#include "trefoilstile/http/request_reader.hpp"

#include <algorithm>

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace trefoilstile::http
{

namespace
{

namespace beast_http = boost::beast::http;
using Parser = beast_http::request_parser<beast_http::string_body>;

constexpr base::Duration s_continueTimeout = std::chrono::seconds(10);

std::uint16_t statusOf(ErrorCode error)
{
    if (error == beast_http::error::header_limit || error == beast_http::error::buffer_overflow || error == asio::error::no_buffer_space) {
        return 431;
    }
    return error == beast_http::error::body_limit ? 413 : 400;
}

/// Parses pending input once. True if the parser has moved on, so that more input may not be needed.
bool parseSome(Connection &connection, Parser &parser, ErrorCode &error)
{
    if (connection.input.size() == 0) {
        return false;
    }
    const std::size_t used = parser.put(connection.input.data(), error);
    connection.input.consume(used);
    if (error == beast_http::error::need_more) {
        error = {};
    }
    return used > 0;
}

void takeFields(const Parser &parser, Request &request)
{
    for (const auto &field : parser.get()) {
        request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
}

/// Requires that the parser has accepted the head.
void takeHead(const Parser &parser, Request &request)
{
    const auto &head = parser.get();
    request.method = std::string(head.method_string());
    request.target = std::string(head.target());
    request.http11 = head.version() == 11;
    request.keepAlive = request.http11 && parser.keep_alive();
    takeFields(parser, request);
}

/// 0 or the status that refuses the head. Every doubt about the length of the body is refused, since the next parser
/// on the way could resolve it differently (request smuggling).
std::uint16_t checkHead(const Parser &parser, const Request &request)
{
    const auto version = parser.get().version();
    const std::size_t lengths = countHeader(request.headers, "Content-Length");
    const std::size_t encodings = countHeader(request.headers, "Transfer-Encoding");
    if ((version != 11 && version != 10) || lengths + encodings > 1) {
        return 400;
    }
    if (lengths == 1 && !parseNumber(*findHeader(request.headers, "Content-Length"))) {
        return 400;
    }
    if (encodings == 1 && (version != 11 || !equalsIgnoreCase(*findHeader(request.headers, "Transfer-Encoding"), "chunked"))) {
        return 400;
    }
    const std::size_t hosts = countHeader(request.headers, "Host");
    if (hosts > 1 || (hosts == 0 && version == 11)) {
        return 400;
    }
    const bool plainTarget = request.target.starts_with('/') && request.target.find('#') == std::string::npos;
    return plainTarget ? 0 : 400;
}

asio::awaitable<ErrorCode> readHead(std::shared_ptr<Connection> connection, Parser &parser)
{
    ErrorCode error;
    while (!parser.is_header_done()) {
        if (parseSome(*connection, parser, error) && !error) {
            continue;
        }
        if (!error) {
            error = co_await connection->readSome();
        }
        if (error) {
            co_return error;
        }
    }
    co_return ErrorCode();
}

asio::awaitable<ReadOutcome> readBody(std::shared_ptr<Connection> connection, Parser &parser, BodyShare &share)
{
    ErrorCode error;
    while (!parser.is_done()) {
        const bool moved = parseSome(*connection, parser, error);
        if (error) {
            co_return ReadOutcome{false, statusOf(error)};
        }
        if (!share.growTo(parser.get().body().size())) {
            co_return ReadOutcome{false, 503};
        }
        if (moved || parser.is_done()) {
            continue;
        }
        error = co_await connection->readSome();
        if (error) {
            const bool full = error == asio::error::no_buffer_space;
            co_return ReadOutcome{!full, static_cast<std::uint16_t>(full ? 400 : 0)};
        }
    }
    co_return ReadOutcome{};
}

/// Empty lines before a request line are allowed by RFC 9112, section 2.2.
void skipEmptyLines(Connection &connection)
{
    while (connection.input.size() >= 2) {
        const auto *bytes = static_cast<const char *>(connection.input.data().data());
        if (bytes[0] != '\r' || bytes[1] != '\n') {
            return;
        }
        connection.input.consume(2);
    }
}

} // namespace

bool BodyShare::growTo(std::uint64_t bytes)
{
    if (bytes <= m_bytes) {
        return true;
    }
    if (!m_budget) {
        return false;
    }
    const std::uint64_t free = m_budget->limit - std::min(m_budget->limit, m_budget->held);
    const std::uint64_t wanted = bytes - m_bytes;
    if (free < wanted || (m_budget->fair && free - wanted < bytes)) {
        return false;
    }
    m_budget->held += bytes - m_bytes;
    m_bytes = bytes;
    return true;
}

asio::awaitable<ReadOutcome> readRequest(std::shared_ptr<Connection> connection, RequestLimits limits, Request &request, BodyShare &share, AwaitTurn turn)
{
    Parser parser;
    parser.header_limit(static_cast<std::uint32_t>(s_headLimit));
    parser.body_limit(limits.body);
    connection->readDeadline.set(limits.headTimeout);
    skipEmptyLines(*connection);
    const ErrorCode error = co_await readHead(connection, parser);
    if (error && (error.category() == asio::error::get_system_category() || error == asio::error::eof)) {
        co_return ReadOutcome{true, 0};
    }
    if (error == beast_http::error::body_limit) {
        takeFields(parser, request); // all have been read; they tell what the rejection may say
    }
    if (error) {
        co_return ReadOutcome{false, statusOf(error)};
    }
    takeHead(parser, request);
    if (const std::uint16_t status = checkHead(parser, request); status != 0) {
        co_return ReadOutcome{false, status};
    }
    if (!share.growTo(parser.content_length().value_or(0))) {
        co_return ReadOutcome{false, 503};
    }
    connection->readDeadline.set(limits.bodyTimeout);
    const std::string *expect = findHeader(request.headers, "Expect");
    if (expect != nullptr && request.http11 && !parser.is_done() && equalsIgnoreCase(*expect, "100-continue")) {
        if (turn) {
            connection->readDeadline.clear();
            const bool ready = co_await turn();
            if (!ready) {
                co_return ReadOutcome{true, 0};
            }
            connection->readDeadline.set(limits.bodyTimeout);
        }
        const ErrorCode failed = co_await connection->write("HTTP/1.1 100 Continue\r\n\r\n", s_continueTimeout);
        if (failed) {
            co_return ReadOutcome{true, 0};
        }
    }
    const ReadOutcome outcome = co_await readBody(connection, parser, share);
    connection->readDeadline.clear();
    request.body = std::move(parser.get().body());
    co_return outcome;
}

} // namespace trefoilstile::http
