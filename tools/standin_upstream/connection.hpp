// One connection to the stand-in upstream.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "service.hpp"

namespace standin
{

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using Request = beast_http::request<beast_http::string_body>;

class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(asio::ip::tcp::socket socket, Service &service);
    asio::awaitable<void> run();

private:
    /// Response; `size` bytes of object content from `offset` if there is no text.
    struct Response {
        unsigned status = 200;
        std::string fields; ///< lines that end with CRLF
        std::string text;
        bool isControl = false; ///< not subject to misbehaviour
        bool isObject = false;
        std::uint64_t offset{};
        std::uint64_t size{};
    };

    asio::awaitable<bool> serveOne();
    asio::awaitable<bool> serveWork(const Request &request);
    asio::awaitable<bool> waitForSlot();
    asio::awaitable<void> sleep(Milliseconds time);
    asio::awaitable<bool> send(const Request &request, const Response &response);
    asio::awaitable<bool> sendBody(const Response &response);
    std::optional<Response> control(const Request &request);
    Response answer(const Request &request) const;
    Response object(const Request &request, std::uint64_t size) const;

    asio::ip::tcp::socket m_socket;
    Service &m_service;
    boost::beast::flat_buffer m_input;
    asio::steady_timer m_timer;
};

/// Byte of an object's content at an offset; the same for every object, so that a reader can check any part of it.
char contentAt(std::uint64_t offset);

} // namespace standin
