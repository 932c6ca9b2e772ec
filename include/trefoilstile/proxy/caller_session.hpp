// One connection of a caller: pipelined requests are served concurrently, and responses are written in request order.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "trefoilstile/http/connection.hpp"
#include "trefoilstile/http/request_reader.hpp"
#include "trefoilstile/proxy/exchange.hpp"

namespace trefoilstile::proxy
{

class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    /// @param bodyBudget memory for the request bodies of the caller
    CallerSession(EntryCore &core, boost::asio::ip::tcp::socket socket, std::shared_ptr<http::BodyBudget> bodyBudget);
    ~CallerSession();
    CallerSession(const CallerSession &) = delete;
    CallerSession &operator=(const CallerSession &) = delete;

    /// Starts reading requests and writing responses; the session keeps itself alive until the connection ends.
    void start();

    /// Closes the connection if no request is in service and no input is buffered. While the instance stops, the other
    /// connections are closed after their last response.
    void closeIfIdle();

private:
    /// A request that has been read and not yet answered; the response is set once it is known.
    struct Pending {
        std::shared_ptr<Exchange> exchange; ///< null if the request was rejected while it was read
        std::optional<CallerResponse> response;
        http::BodyShare bodyShare;
        bool closeAfter = false; ///< the caller asked for it, or the input cannot be parsed any further
    };

    boost::asio::awaitable<void> readRequests();
    http::RequestLimits requestLimits() const;
    /// Response to a request that is refused before its body is read, or nothing.
    std::optional<CallerResponse> refuseAtHead(Exchange &exchange, std::uint64_t bodyBytes);
    /// Answers a request whose body has not been read, and discards the body.
    boost::asio::awaitable<void> answerAndDiscard(http::RequestReader &reader, CallerResponse response, bool keepAlive);
    /// Queues the response to a request that could not be read; no further ones are.
    void reject(std::uint16_t status);
    void logRejection(std::uint16_t status, std::string_view why);
    /// Waits until the responses to all earlier requests have been written; false if the connection ends or closes first.
    boost::asio::awaitable<bool> awaitTurn();
    boost::asio::awaitable<void> serve(std::shared_ptr<Pending> pending);
    boost::asio::awaitable<void> writeResponses();
    /// Cancels all pending requests and closes the connection.
    void handleDisconnect();

    EntryCore &m_core;
    std::shared_ptr<http::Connection> m_connection;
    std::shared_ptr<http::BodyBudget> m_bodyBudget;
    std::deque<std::shared_ptr<Pending>> m_pending; ///< oldest first
    boost::asio::steady_timer m_responseReady;
    boost::asio::steady_timer m_roomForRequest;
    bool m_ended = false; ///< the caller has disconnected, or the last response has been written
    bool m_reading = true; ///< further requests are accepted
    bool m_readingBody = false; ///< the head of a request has been read and its body has not
    bool m_discarding = false; ///< that body is discarded
    bool m_closeAfterLast = false; ///< the connection is closed after the responses to all requests that were read
};

} // namespace trefoilstile::proxy
