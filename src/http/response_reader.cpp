#include "trefoilstile/http/response_reader.hpp"

#include <limits>
#include <optional>
#include <utility>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

namespace trefoilstile::http
{

namespace
{

namespace beast_http = boost::beast::http;

// More interim responses than any known use (100, 103) would send are taken for a fault.
constexpr int s_interimLimit = 8;

constexpr std::uint16_t s_lowestFinalStatus = 200;
constexpr std::uint16_t s_highestStatus = 599; // no class of responses is defined above it

} // namespace

struct ResponseReader::State {
    std::optional<beast_http::response_parser<beast_http::buffer_body>> parser;
    bool failed = false;
};

ResponseReader::ResponseReader(std::shared_ptr<Connection> connection, bool toHead)
    : m_connection(std::move(connection))
    , m_state(std::make_unique<State>())
    , m_toHead(toHead)
{
}

ResponseReader::~ResponseReader() = default;

asio::awaitable<bool> ResponseReader::readOneHead()
{
    auto &parser = m_state->parser.emplace();
    parser.header_limit(static_cast<std::uint32_t>(s_headLimit));
    // Not `none`: the check of Boost 1.74 takes every length to exceed an absent limit.
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    parser.skip(m_toHead);
    while (!parser.is_header_done()) {
        ErrorCode error;
        std::size_t used = 0;
        if (m_connection->input.size() > 0) {
            used = parser.put(m_connection->input.data(), error);
            m_connection->input.consume(used);
        }
        if (error == beast_http::error::need_more) {
            error = {};
        }
        if (!error && used == 0) {
            error = co_await m_connection->readSome();
        }
        if (error) {
            co_return false;
        }
    }
    co_return true;
}

asio::awaitable<bool> ResponseReader::readHead(ResponseHead &head)
{
    for (int i = 0; i < s_interimLimit; ++i) {
        if (!co_await readOneHead()) {
            break;
        }
        auto &parser = *m_state->parser;
        const auto &message = parser.get();
        head.status = static_cast<std::uint16_t>(message.result_int());
        if (head.status >= 100 && head.status < 200 && head.status != 101) {
            continue;
        }
        head.reason = std::string(message.reason());
        for (const auto &field : message) {
            head.headers.push_back({std::string(field.name_string()), std::string(field.value())});
        }
        const std::string *encoding = findHeader(head.headers, "Transfer-Encoding");
        // No upgrade is ever asked for, and a body coding other than `chunked` alone could not be passed on.
        const bool validStatus = head.status >= s_lowestFinalStatus && head.status <= s_highestStatus;
        if (!validStatus || (encoding != nullptr && !equalsIgnoreCase(*encoding, "chunked"))) {
            break;
        }
        if (const auto length = parser.content_length()) {
            head.contentLength = *length;
        }
        co_return true;
    }
    m_state->failed = true;
    co_return false;
}

asio::awaitable<BodyRead> ResponseReader::readBody(std::span<char> buffer, std::size_t &count)
{
    auto &parser = *m_state->parser;
    auto &body = parser.get().body();
    body.data = buffer.data();
    body.size = buffer.size();
    body.more = true;
    count = 0;
    while (!parser.is_done()) {
        ErrorCode error;
        std::size_t used = 0;
        if (m_connection->input.size() > 0) {
            used = parser.put(m_connection->input.data(), error);
            m_connection->input.consume(used);
        }
        count = buffer.size() - body.size;
        const bool wantsInput = !error || error == beast_http::error::need_more;
        if (count > 0 && (wantsInput || error == beast_http::error::need_buffer)) {
            co_return BodyRead::Data;
        }
        if (wantsInput && used > 0) {
            continue;
        }
        if (wantsInput) {
            error = co_await m_connection->readSome();
        }
        if (error == asio::error::eof) {
            // Clean only for a body that ends with the connection; for all others this reports an error.
            error = {};
            parser.put_eof(error);
        }
        if (error) {
            m_state->failed = true;
            co_return BodyRead::Failed;
        }
    }
    co_return BodyRead::End;
}

bool ResponseReader::reusable() const
{
    const auto &parser = m_state->parser;
    return !m_state->failed && parser && parser->is_done() && parser->keep_alive() && !parser->need_eof() && m_connection->input.size() == 0;
}

} // namespace trefoilstile::http
