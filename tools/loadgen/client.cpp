#include "client.hpp"

#include <algorithm>
#include <cmath>
#include <exception>
#include <limits>
#include <memory>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace loadgen
{

namespace
{

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using ErrorCode = boost::system::error_code;
using trefoilstile::base::PriorityClass;

constexpr std::size_t s_keptBody = 64U * 1024U;

// Lookups that fail are tried again after this; at most this often, since the tool must not add load of its own.
constexpr std::chrono::milliseconds s_lookupPause{200};

tcp::endpoint endpointOf(const std::string &text)
{
    const auto colon = text.rfind(':');
    return {asio::ip::make_address(text.substr(0, colon)), static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)))};
}

} // namespace

Client::Client(asio::io_context &context, Settings settings)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_end(Clock::now() + m_settings.duration)
{
    m_directory.entries = m_settings.entries;
}

void Client::start()
{
    asio::co_spawn(
        m_context,
        [this]() {
            return keepDirectory();
        },
        asio::detached);
}

asio::awaitable<void> Client::keepDirectory()
{
    asio::steady_timer timer(m_context);
    ErrorCode ignored;
    bool known = co_await lookUp();
    // The load starts even without an answer; requests then go to the addresses given.
    m_end = Clock::now() + m_settings.duration;
    for (const PriorityClass priorityClass : trefoilstile::base::s_priorityClasses) {
        if (m_settings.classes[priorityClass].rate > 0) {
            asio::co_spawn(
                m_context,
                [this, priorityClass]() {
                    return generate(priorityClass);
                },
                asio::detached);
        }
    }
    while (Clock::now() < m_end) {
        timer.expires_at(std::min(m_end, known ? m_directory.expiry : Clock::now() + s_lookupPause));
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (Clock::now() < m_end) {
            known = co_await lookUp();
        }
    }
}

asio::awaitable<bool> Client::lookUp()
{
    const std::string client = m_settings.client.empty() ? std::string() : "&client=" + m_settings.client;
    const std::string text =
        fmt::format("GET /v1/entries?service={}{} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n", m_settings.service, client, m_settings.host);
    const std::string address = m_settings.entries[trefoilstile::base::uniformBelow(m_random, m_settings.entries.size())];
    Reply reply;
    co_await exchange(address, text, true, reply);
    bool known = false;
    try {
        if (reply.whole && reply.status == 200) {
            const auto json = nlohmann::json::parse(reply.body);
            Directory directory;
            for (const auto &entry : json.at("entries")) {
                directory.entries.push_back(entry.at("address").get<std::string>());
                endpointOf(directory.entries.back());
            }
            directory.keyPrefix = json.value("key_prefix", "");
            directory.expiry = Clock::now() + std::max(s_lookupPause, std::chrono::milliseconds(json.value("ttl_ms", 1000)));
            known = !directory.entries.empty();
            if (known) {
                m_directory = std::move(directory);
            }
        }
    } catch (const std::exception &) {
        known = false;
    }
    ++(known ? report.lookups : report.lookupsFailed);
    co_return known;
}

asio::awaitable<void> Client::generate(PriorityClass priorityClass)
{
    asio::steady_timer timer(m_context);
    auto planned = Clock::now();
    for (;;) {
        // Exponential gaps: arrivals of independent callers.
        const double gap = -std::log(1.0 - trefoilstile::base::uniformUnit(m_random)) / m_settings.classes[priorityClass].rate;
        planned += std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(gap));
        if (planned >= m_end || m_planned >= m_settings.maximumRequests) {
            co_return;
        }
        ++m_planned;
        ErrorCode ignored;
        timer.expires_at(planned);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (m_inFlight >= m_settings.maximumInFlight) {
            report.add(priorityClass, Result::Failed, {});
            continue;
        }
        ++m_inFlight;
        asio::co_spawn(
            m_context,
            [this, priorityClass, planned]() {
                return runOne(priorityClass, planned);
            },
            asio::detached);
    }
}

std::string Client::requestText(PriorityClass priorityClass)
{
    const ClassLoad &load = m_settings.classes[priorityClass];
    std::string text = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n", load.method, load.path, m_settings.host);
    if (load.keyed) {
        text += fmt::format("Idempotency-Key: {}{}-{}\r\n", m_directory.keyPrefix, m_settings.seed, ++m_lastKey);
    }
    if (m_settings.deadline.count() > 0) {
        text += fmt::format("Trefoilstile-Deadline-Ms: {}\r\n", m_settings.deadline.count());
    }
    if (load.method != "GET") {
        text += "Content-Length: 0\r\n";
    }
    return text + "\r\n";
}

asio::awaitable<void> Client::runOne(PriorityClass priorityClass, Clock::time_point planned)
{
    const std::string text = requestText(priorityClass);
    // A copy: the directory can change while the request runs.
    const std::vector<std::string> entries = m_directory.entries;
    Reply reply;
    // As a caller does, tries the next entry only if the first cannot be connected to.
    for (std::size_t i = 0; i < entries.size() && !reply.connected; ++i) {
        co_await exchange(entries[i], text, false, reply);
    }
    report.bytes += reply.bytes;
    report.add(priorityClass, resultOf(reply), Clock::now() - planned);
    --m_inFlight;
}

Result Client::resultOf(const Reply &reply)
{
    if (!reply.connected) {
        return Result::Failed;
    }
    if (reply.outcome == "not-run") {
        return Result::NotRun;
    }
    if (!reply.whole || reply.outcome == "unknown") {
        return Result::Unknown;
    }
    return reply.status < 400 ? Result::Served : Result::Failed;
}

asio::awaitable<void> Client::exchange(const std::string &address, const std::string &text, bool keepBody, Reply &reply)
{
    const auto socket = std::make_shared<tcp::socket>(m_context);
    asio::steady_timer deadline(m_context);
    deadline.expires_after(m_settings.timeout);
    deadline.async_wait([socket](ErrorCode aborted) {
        if (!aborted) {
            ErrorCode ignored;
            socket->close(ignored);
        }
    });
    ErrorCode error;
    co_await socket->async_connect(endpointOf(address), asio::redirect_error(asio::use_awaitable, error));
    reply.connected = !error;
    if (!error) {
        co_await asio::async_write(*socket, asio::buffer(text), asio::redirect_error(asio::use_awaitable, error));
    }
    if (error) {
        co_return;
    }
    boost::beast::flat_buffer input;
    beast_http::response_parser<beast_http::buffer_body> parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    co_await beast_http::async_read_header(*socket, input, parser, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return;
    }
    reply.status = parser.get().result_int();
    reply.outcome = std::string(parser.get()["Trefoilstile-Outcome"]);
    std::vector<char> buffer(s_keptBody);
    while (!error && !parser.is_done()) {
        auto &body = parser.get().body();
        body.data = buffer.data();
        body.size = buffer.size();
        co_await beast_http::async_read_some(*socket, input, parser, asio::redirect_error(asio::use_awaitable, error));
        const std::size_t count = buffer.size() - body.size;
        reply.bytes += count;
        if (keepBody && reply.body.size() < s_keptBody) {
            reply.body.append(buffer.data(), count);
        }
        if (error == beast_http::error::need_buffer) {
            error = {};
        }
    }
    reply.whole = !error;
}

} // namespace loadgen
