// Entry of a process in one event loop for tests: a caller listener, the shared state and scripted upstreams.
#pragma once

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "trefoilstile/http/clock.hpp"
#include "trefoilstile/proxy/caller_listener.hpp"

namespace trefoilstile::proxy::testing
{

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

/// Reads until the input contains `end` or the peer closes the connection. An empty `end` reads until the close.
inline boost::asio::awaitable<std::string> readUntil(tcp::socket &socket, std::string end)
{
    std::string text;
    boost::system::error_code error;
    std::array<char, 4096> chunk{};
    while (!error && (end.empty() || text.find(end) == std::string::npos)) {
        const std::size_t count = co_await socket.async_read_some(boost::asio::buffer(chunk), boost::asio::redirect_error(boost::asio::use_awaitable, error));
        text.append(chunk.data(), count);
    }
    co_return text;
}

/// Value of the request id field of a request head.
inline std::string idOf(const std::string &request)
{
    const auto at = request.find("Trefoilstile-Request-Id: ");
    return at == std::string::npos ? std::string() : request.substr(at + 25, request.find('\r', at) - at - 25);
}

/// A complete response with the header fields that prove that an upstream generated it.
inline std::string signedResponse(const std::string &id, const std::string &body, const std::string &status = "200 OK")
{
    return "HTTP/1.1 " + status + "\r\nTrefoilstile-Request-Id: " + id + "\r\nTrefoilstile-Signature: s\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

/// Reply of a scripted upstream to a request: after `delay` it writes `bytes`, and then closes the connection if `close` is set.
struct ScriptedReply {
    std::string bytes;
    bool close = false;
    std::chrono::milliseconds delay{};
};

/// Accepts connections and replies to each request with the result of the script.
class ScriptedUpstream
{
public:
    using Script = std::function<ScriptedReply(const std::string &request)>;

    ScriptedUpstream(boost::asio::io_context &context, Script script)
        : m_acceptor(context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , m_script(std::move(script))
    {
        boost::asio::co_spawn(
            context,
            [this]() {
                return accept();
            },
            boost::asio::detached);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    int requests = 0; ///< received
    int connectionsEndedByPeer = 0;

private:
    boost::asio::awaitable<void> accept()
    {
        while (true) {
            auto socket = std::make_shared<tcp::socket>(co_await m_acceptor.async_accept(boost::asio::use_awaitable));
            boost::asio::co_spawn(
                m_acceptor.get_executor(),
                [this, socket]() {
                    return serve(socket);
                },
                boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket)
    {
        while (socket->is_open()) {
            const std::string request = co_await readUntil(*socket, "\r\n\r\n");
            if (request.empty()) {
                ++connectionsEndedByPeer;
                break;
            }
            ++requests;
            const ScriptedReply reply = m_script(request);
            boost::asio::steady_timer timer(m_acceptor.get_executor(), reply.delay);
            co_await timer.async_wait(boost::asio::use_awaitable);
            boost::system::error_code ignored;
            co_await boost::asio::async_write(*socket, boost::asio::buffer(reply.bytes), boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
            if (reply.close) {
                socket->close();
            }
        }
    }

    tcp::acceptor m_acceptor;
    Script m_script;
};

inline Settings testSettings()
{
    Settings settings;
    settings.name = "test";
    settings.region = "one";
    settings.failureDomain = "east";
    settings.regions = {{"east", "one"}};
    settings.callerAddress = "127.0.0.1:0";
    settings.stopGrace = 6s;
    settings.retryWindow = 10s;
    settings.retrySlack = 100;
    return settings;
}

/// Caller listener and shared state of an entry process, with one service of scripted upstreams.
struct EntryFixture {
    explicit EntryFixture(ScriptedUpstream::Script script, int upstreamCount = 1)
        : core(context, testSettings(), HeaderNames(), 1)
    {
        core.members.observe(1, http::now());
        core.upstreamTable.setSourceAvailable(true, http::now() - 60s);
        for (int i = 0; i < upstreamCount; ++i) {
            upstreams.push_back(std::make_unique<ScriptedUpstream>(context, script));
            ingress::UpstreamReport report;
            report.id = "u" + std::to_string(i);
            report.service = "ledger";
            report.address = upstreams.back()->address();
            report.failureDomain = "east";
            report.slots = 8;
            core.upstreamTable.report(report, http::now());
        }
        core.upstreamsKnown = true;
        ingress::Configuration configuration;
        configuration.version = 1;
        ingress::Service service;
        service.name = "ledger";
        service.maximumConnections = 20;
        configuration.services.emplace(service.name, service);
        for (const bool idempotent : {true, false}) {
            ingress::Route route;
            route.name = idempotent ? "reads" : "holds";
            route.host = "a.example";
            route.prefix = idempotent ? "/reads/" : "/holds/";
            route.idempotent = idempotent;
            route.timeout = 1s;
            route.latencyObjective = 300ms;
            route.maximumAttempts = 2;
            route.shares = {{"ledger", 1}};
            configuration.routes.push_back(route);
        }
        core.applyConfiguration(std::move(configuration), http::now());
        listener = std::make_unique<CallerListener>(core);
    }

    /// Sends bytes on a new connection; returns the input up to `end`, or up to the close of the connection.
    std::string send(const std::string &bytes, const std::string &end, std::function<void()> afterSending = {})
    {
        std::string response;
        boost::asio::co_spawn(
            context,
            [&]() -> boost::asio::awaitable<void> {
                tcp::socket socket(context);
                co_await socket.async_connect(http::parseEndpoint(listener->address()), boost::asio::use_awaitable);
                co_await boost::asio::async_write(socket, boost::asio::buffer(bytes), boost::asio::use_awaitable);
                if (afterSending) {
                    afterSending();
                }
                response = co_await readUntil(socket, end);
                context.stop();
            },
            boost::asio::detached);
        context.restart();
        context.run_for(10s); // far above the timeout of the routes
        return response;
    }

    int requestsAtUpstreams() const
    {
        int sum = 0;
        for (const auto &upstream : upstreams) {
            sum += upstream->requests;
        }
        return sum;
    }

    boost::asio::io_context context;
    EntryCore core;
    std::vector<std::unique_ptr<ScriptedUpstream>> upstreams;
    std::unique_ptr<CallerListener> listener;
};

inline std::string request(const std::string &path, const std::string &id, const std::string &method = "GET")
{
    return method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nTrefoilstile-Request-Id: " + id + "\r\nTrefoilstile-Deadline-Ms: 900\r\n"
        + (method == "POST" ? "Content-Length: 0\r\n" : "") + "\r\n";
}

inline bool startsWith(const std::string &text, const std::string &start)
{
    return text.rfind(start, 0) == 0;
}

} // namespace trefoilstile::proxy::testing
