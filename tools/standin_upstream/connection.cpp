#include "connection.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <fmt/format.h>

namespace standin
{

namespace
{

using ErrorCode = boost::system::error_code;
using Clock = std::chrono::steady_clock;

constexpr std::uint64_t s_bodyLimit = 64U << 20U;
constexpr std::size_t s_piece = 64U * 1024U;
constexpr std::string_view s_objects = "/objects/";

std::string_view view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

std::optional<std::uint64_t> number(std::string_view text)
{
    std::uint64_t value{};
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    return result.ec == std::errc() && result.ptr == text.data() + text.size() ? std::optional(value) : std::nullopt;
}

const std::string s_notRun = "Trefoilstile-Outcome: not-run\r\n";

} // namespace

char contentAt(std::uint64_t offset)
{
    return static_cast<char>('a' + (offset * 7 + offset / 1000) % 26);
}

Connection::Connection(asio::ip::tcp::socket socket, Service &service)
    : m_socket(std::move(socket))
    , m_service(service)
    , m_timer(m_socket.get_executor())
{
}

asio::awaitable<void> Connection::run()
{
    const auto self = shared_from_this();
    ErrorCode ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    bool more = true;
    while (more) {
        more = co_await serveOne();
    }
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
}

asio::awaitable<bool> Connection::serveOne()
{
    beast_http::request_parser<beast_http::string_body> parser;
    parser.body_limit(s_bodyLimit);
    ErrorCode error;
    co_await beast_http::async_read(m_socket, m_input, parser, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return false;
    }
    const Request request = parser.release();
    if (const auto response = control(request)) {
        const bool sent = co_await send(request, *response);
        co_return sent &&request.keep_alive();
    }
    const bool sent = co_await serveWork(request);
    co_return sent &&request.keep_alive();
}

std::optional<Connection::Response> Connection::control(const Request &request)
{
    const auto target = view(request.target());
    Response response;
    response.isControl = true;
    response.fields = "Content-Type: application/json\r\n";
    if (target == "/load") {
        response.text = m_service.load().dump();
    } else if (target == "/health") {
        response.status = m_service.mode.leaving ? 503 : 200;
    } else if (target == "/_executions") {
        response.text = m_service.executions().dump();
    } else if (target == "/_mode" && request.method() == beast_http::verb::post) {
        try {
            m_service.setMode(nlohmann::json::parse(request.body()));
        } catch (const nlohmann::json::exception &problem) {
            response.status = 400;
            response.text = nlohmann::json({{"error", problem.what()}}).dump();
        }
    } else {
        return std::nullopt;
    }
    return response;
}

asio::awaitable<bool> Connection::serveWork(const Request &request)
{
    const auto arrival = Clock::now();
    Mode &mode = m_service.mode;
    Response rejection;
    rejection.status = 503;
    rejection.fields = s_notRun;
    if (mode.rejectNext > 0) {
        --mode.rejectNext;
        co_return co_await send(request, rejection);
    }
    if (!co_await waitForSlot()) {
        co_return co_await send(request, rejection);
    }
    const auto deadline = number(view(request["Trefoilstile-Deadline-Ms"]));
    if (deadline && Clock::now() - arrival >= Milliseconds(static_cast<Milliseconds::rep>(std::min<std::uint64_t>(*deadline, 1'000'000'000)))) {
        m_service.release();
        co_return co_await send(request, rejection);
    }
    m_service.executed(std::string(view(request["Idempotency-Key"])));
    co_await sleep(m_service.serviceTime() + mode.answerDelay);
    if (mode.acceptNeverAnswer) {
        // The slot stays taken until the other side gives up.
        ErrorCode ignored;
        char byte = 0;
        co_await m_socket.async_read_some(asio::buffer(&byte, 1), asio::redirect_error(asio::use_awaitable, ignored));
    }
    bool sent = false;
    if (!mode.acceptNeverAnswer && !mode.closeAfterZeroBytes) {
        const Response response = answer(request);
        sent = co_await send(request, response);
    }
    m_service.release();
    co_return sent;
}

asio::awaitable<bool> Connection::waitForSlot()
{
    // The timer is cancelled by the service when it has decided.
    enum class Decision { Open, Granted, Refused };
    const auto decision = std::make_shared<Decision>(Decision::Open);
    m_service.acquire([decision, self = shared_from_this()](bool granted) {
        *decision = granted ? Decision::Granted : Decision::Refused;
        self->m_timer.cancel();
    });
    while (*decision == Decision::Open) {
        ErrorCode ignored;
        m_timer.expires_after(std::chrono::hours(1));
        co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return *decision == Decision::Granted;
}

asio::awaitable<void> Connection::sleep(Milliseconds time)
{
    ErrorCode ignored;
    m_timer.expires_after(time);
    co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

Connection::Response Connection::answer(const Request &request) const
{
    const auto target = view(request.target());
    if (target.starts_with(s_objects)) {
        if (const auto size = number(target.substr(s_objects.size(), target.find('?') - s_objects.size()))) {
            return object(request, *size);
        }
    }
    Response response;
    response.fields = "Content-Type: application/json\r\n";
    response.text = nlohmann::json({{"path", target}, {"key", view(request["Idempotency-Key"])}, {"body_bytes", request.body().size()}}).dump();
    return response;
}

Connection::Response Connection::object(const Request &request, std::uint64_t size) const
{
    Response response;
    const std::string &etag = m_service.settings().etag;
    response.isObject = true;
    response.size = size;
    response.fields = fmt::format("ETag: {}\r\nContent-Type: application/octet-stream\r\nAccept-Ranges: bytes\r\n", etag);
    const auto match = view(request["If-Match"]);
    if (!match.empty() && match != etag && match != "*") {
        return {412, fmt::format("ETag: {}\r\n", etag), {}, false, false, 0, 0};
    }
    auto range = view(request["Range"]);
    if (!range.starts_with("bytes=")) {
        return response;
    }
    range.remove_prefix(6);
    const auto dash = std::min(range.find('-'), range.size());
    const auto first = number(range.substr(0, dash));
    const auto last = dash + 1 < range.size() ? number(range.substr(dash + 1)) : std::optional(size - 1);
    if (!first || !last || *first > *last || *first >= size) {
        return {416, fmt::format("Content-Range: bytes */{}\r\n", size), {}, false, false, 0, 0};
    }
    const std::uint64_t end = std::min(*last, size - 1);
    response.status = 206;
    response.fields += fmt::format("Content-Range: bytes {}-{}/{}\r\n", *first, end, size);
    response.offset = *first;
    response.size = end - *first + 1;
    return response;
}

asio::awaitable<bool> Connection::send(const Request &request, const Response &response)
{
    const std::uint64_t size = response.isObject ? response.size : response.text.size();
    std::string head = fmt::format("HTTP/1.1 {} {}\r\nContent-Length: {}\r\n{}",
        response.status,
        view(beast_http::obsolete_reason(static_cast<beast_http::status>(response.status))),
        size,
        response.fields);
    if (m_service.mode.leaving) {
        head += "Trefoilstile-State: leaving\r\n";
    }
    head += "\r\n";
    ErrorCode error;
    co_await asio::async_write(m_socket, asio::buffer(head), asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return false;
    }
    if (request.method() == beast_http::verb::head || size == 0) {
        co_return true;
    }
    co_return co_await sendBody(response);
}

asio::awaitable<bool> Connection::sendBody(const Response &response)
{
    const Mode mode = response.isControl ? Mode() : m_service.mode;
    const std::uint64_t size = response.isObject ? response.size : response.text.size();
    std::uint64_t end = mode.shortBody ? size - 1 : size;
    if (mode.breakAfterBytes > 0) {
        end = std::min(end, mode.breakAfterBytes);
    }
    const std::uint64_t rate = mode.slowBodyBytesPerSecond;
    // Ten pieces a second when slowed, so that the stream does not stall visibly.
    const std::uint64_t step = rate > 0 ? std::clamp<std::uint64_t>(rate / 10, 1, s_piece) : s_piece;
    std::vector<char> piece;
    for (std::uint64_t position = 0; position < end;) {
        piece.resize(static_cast<std::size_t>(std::min<std::uint64_t>(step, end - position)));
        for (std::size_t i = 0; i < piece.size(); ++i) {
            piece[i] = response.isObject ? contentAt(response.offset + position + i) : response.text[static_cast<std::size_t>(position) + i];
        }
        ErrorCode error;
        co_await asio::async_write(m_socket, asio::buffer(piece), asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return false;
        }
        position += piece.size();
        if (rate > 0) {
            co_await sleep(Milliseconds(piece.size() * 1000 / rate));
        }
    }
    co_return end == size;
}

} // namespace standin
