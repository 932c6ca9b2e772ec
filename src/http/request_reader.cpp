#include "trefoilstile/http/request_reader.hpp"

#include <algorithm>
#include <optional>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace trefoilstile::http
{

namespace
{

namespace beast_http = boost::beast::http;
using Parser = beast_http::request_parser<beast_http::string_body>;

/// A body for Beast's parsers that keeps nothing.
struct DiscardedBody {
    struct value_type { // NOLINT(readability-identifier-naming): Beast's name
    };

    class reader // NOLINT(readability-identifier-naming): Beast's name
    {
    public:
        template<bool isRequest, typename Fields>
        reader(beast_http::header<isRequest, Fields> &, value_type &)
        {
        }

        void init(const boost::optional<std::uint64_t> &, ErrorCode &error)
        {
            error = {};
        }

        template<typename Buffers>
        std::size_t put(const Buffers &buffers, ErrorCode &error)
        {
            error = {};
            return asio::buffer_size(buffers);
        }

        void finish(ErrorCode &error)
        {
            error = {};
        }
    };
};

constexpr base::Duration s_continueTimeout = std::chrono::seconds(10);

std::uint16_t statusOf(ErrorCode error)
{
    if (error == beast_http::error::header_limit || error == beast_http::error::buffer_overflow || error == asio::error::no_buffer_space) {
        return 431;
    }
    return error == beast_http::error::body_limit ? 413 : 400;
}

/// Parses pending input once. True if the parser has moved on, so that more input may not be needed.
template<typename SomeParser>
bool parseSome(Connection &connection, SomeParser &parser, ErrorCode &error)
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

/// Parses the pending part of a body; returns nothing if more input is needed. No coroutine, because each costs small requests an
/// allocation.
/// @param keep called after each step; false if the memory does not suffice
template<typename SomeParser, typename Keep>
std::optional<ReadOutcome> parseBody(Connection &connection, SomeParser &parser, Keep keep)
{
    ErrorCode error;
    bool moved = true;
    while (!parser.is_done() && moved) {
        moved = parseSome(connection, parser, error);
        if (error) {
            return ReadOutcome{false, statusOf(error)};
        }
        if (!keep()) {
            return ReadOutcome{false, 503};
        }
    }
    return parser.is_done() ? std::optional<ReadOutcome>(ReadOutcome{}) : std::nullopt;
}

ReadOutcome failedRead(ErrorCode error)
{
    const bool full = error == asio::error::no_buffer_space;
    return {!full, static_cast<std::uint16_t>(full ? 400 : 0)};
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
    const std::uint64_t wanted = bytes - m_bytes;
    for (const BodyBudget *budget = m_budget.get(); budget != nullptr; budget = budget->parent.get()) {
        const std::uint64_t free = budget->limit - std::min(budget->limit, budget->held);
        if (free < wanted || (budget->fair && free - wanted < bytes)) {
            return false;
        }
    }
    for (BodyBudget *budget = m_budget.get(); budget != nullptr; budget = budget->parent.get()) {
        budget->held += wanted;
    }
    m_bytes = bytes;
    return true;
}

struct RequestReader::State {
    std::shared_ptr<Connection> connection;
    RequestLimits limits;
    Parser parser;
    bool expectsContinue = false;
};

RequestReader::RequestReader(std::shared_ptr<Connection> connection, RequestLimits limits)
    : m_state(std::make_unique<State>())
{
    m_state->connection = std::move(connection);
    m_state->limits = limits;
    m_state->parser.header_limit(static_cast<std::uint32_t>(s_headLimit));
    m_state->parser.body_limit(limits.body);
}

RequestReader::~RequestReader() = default;

asio::awaitable<ReadOutcome> RequestReader::readHead(Request &request)
{
    Connection &connection = *m_state->connection;
    Parser &parser = m_state->parser;
    connection.readDeadline.set(m_state->limits.headTimeout);
    skipEmptyLines(connection);
    ErrorCode error;
    while (!parser.is_header_done() && !error) {
        if (!parseSome(connection, parser, error) && !error) {
            error = co_await connection.readSome();
        }
    }
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
    const std::string *expect = findHeader(request.headers, "Expect");
    if (parser.is_done()) {
        connection.readDeadline.clear();
    }
    m_state->expectsContinue = expect != nullptr && request.http11 && !parser.is_done() && equalsIgnoreCase(*expect, "100-continue");
    co_return ReadOutcome{false, checkHead(parser, request)};
}

bool RequestReader::largeBody() const
{
    return !m_state->parser.is_done() && m_state->parser.content_length().value_or(s_smallBody + 1) > s_smallBody;
}

std::uint64_t RequestReader::declaredLength() const
{
    return m_state->parser.content_length().value_or(0);
}

bool RequestReader::awaitsContinue() const
{
    return m_state->expectsContinue && m_state->connection->input.size() == 0;
}

asio::awaitable<ReadOutcome> RequestReader::readBody(std::string &body, BodyShare &share, AwaitTurn turn)
{
    Connection &connection = *m_state->connection;
    Parser &parser = m_state->parser;
    if (!share.growTo(declaredLength())) {
        co_return ReadOutcome{false, 503};
    }
    connection.readDeadline.set(m_state->limits.bodyTimeout);
    if (m_state->expectsContinue) {
        if (turn) {
            connection.readDeadline.clear();
            const bool ready = co_await turn();
            if (!ready) {
                co_return ReadOutcome{true, 0};
            }
            connection.readDeadline.set(m_state->limits.bodyTimeout);
        }
        const ErrorCode failed = co_await connection.write("HTTP/1.1 100 Continue\r\n\r\n", s_continueTimeout);
        if (failed) {
            co_return ReadOutcome{true, 0};
        }
    }
    const auto keep = [&parser, &share]() {
        return share.growTo(parser.get().body().size());
    };
    std::optional<ReadOutcome> outcome = parseBody(connection, parser, keep);
    while (!outcome) {
        const ErrorCode error = co_await connection.readSome();
        outcome = error ? failedRead(error) : parseBody(connection, parser, keep);
    }
    connection.readDeadline.clear();
    body = std::move(parser.get().body());
    co_return *outcome;
}

asio::awaitable<ReadOutcome> RequestReader::discardBody()
{
    Connection &connection = *m_state->connection;
    connection.readDeadline.set(m_state->limits.bodyTimeout);
    beast_http::request_parser<DiscardedBody> parser(std::move(m_state->parser));
    const auto keep = []() {
        return true;
    };
    std::optional<ReadOutcome> outcome = parseBody(connection, parser, keep);
    while (!outcome) {
        const ErrorCode error = co_await connection.readSome();
        outcome = error ? failedRead(error) : parseBody(connection, parser, keep);
    }
    connection.readDeadline.clear();
    co_return *outcome;
}

asio::awaitable<ReadOutcome> readRequest(std::shared_ptr<Connection> connection, RequestLimits limits, Request &request, BodyShare &share)
{
    RequestReader reader(std::move(connection), limits);
    const ReadOutcome outcome = co_await reader.readHead(request);
    if (!outcome.complete()) {
        co_return outcome;
    }
    co_return co_await reader.readBody(request.body, share);
}

} // namespace trefoilstile::http
