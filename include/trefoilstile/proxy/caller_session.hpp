// One connection of a caller: requests are read and served as they come, responses go out in the order of the requests.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>

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
    CallerSession(EntryCore &core, boost::asio::ip::tcp::socket socket, std::shared_ptr<http::BodyBudget> bodyBudget);
    ~CallerSession();
    CallerSession(const CallerSession &) = delete;
    CallerSession &operator=(const CallerSession &) = delete;

    /// Serves the connection until it ends.
    void start();

    /// The instance is stopping: an idle connection is closed. Responses end the others.
    void windDown();

private:
    /// A request with its response, once there is one.
    struct Pending {
        std::shared_ptr<Exchange> exchange; ///< null if the request was refused before it was one
        std::optional<CallerResponse> response;
        http::BodyShare bodyShare;
        bool closeAfter = false; ///< the caller wants the connection closed, or it cannot be read any further
    };

    boost::asio::awaitable<void> readRequests();
    boost::asio::awaitable<void> serve(std::shared_ptr<Pending> pending);
    boost::asio::awaitable<void> writeResponses();
    void callerGone();

    EntryCore &m_core;
    std::shared_ptr<http::Connection> m_connection;
    std::shared_ptr<http::BodyBudget> m_bodyBudget;
    std::deque<std::shared_ptr<Pending>> m_pending; ///< oldest first
    boost::asio::steady_timer m_responseReady;
    boost::asio::steady_timer m_roomForRequest;
    bool m_gone = false;
    bool m_reading = true; ///< more requests may be read
};

} // namespace trefoilstile::proxy
