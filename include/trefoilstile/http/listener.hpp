// Listening socket shared by the servers of this module.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "trefoilstile/http/connection.hpp"

namespace trefoilstile::http
{

class Listener : public std::enable_shared_from_this<Listener>
{
public:
    /// Binds the address. Throws `Error` if it is malformed or cannot be bound.
    Listener(asio::io_context &context, const std::string &address);

    /// Accepts until `stop` and hands over each connection.
    void start(std::function<void(tcp::socket)> accepted);
    void stop();

    /// `IP:port` that was bound.
    const std::string &address() const
    {
        return m_address;
    }

private:
    asio::awaitable<void> run();

    asio::io_context &m_context;
    tcp::acceptor m_acceptor;
    asio::steady_timer m_pause;
    std::string m_address;
    std::function<void(tcp::socket)> m_accepted;
};

} // namespace trefoilstile::http
