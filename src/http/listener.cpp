#include "trefoilstile/http/listener.hpp"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include "trefoilstile/http/error.hpp"

namespace trefoilstile::http
{

namespace
{

// After a failed accept, mostly for want of file descriptors; retrying at once would use the whole core.
constexpr base::Duration s_acceptPause = std::chrono::milliseconds(50);

} // namespace

Listener::Listener(asio::io_context &context, const std::string &address)
    : m_context(context)
    , m_acceptor(context)
    , m_pause(context)
{
    const tcp::endpoint endpoint = parseEndpoint(address);
    try {
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(asio::socket_base::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.listen();
        m_address = toString(m_acceptor.local_endpoint());
    } catch (const boost::system::system_error &error) {
        throw Error(fmt::format("cannot listen at {}: {}", address, error.code().message()));
    }
}

void Listener::start(std::function<void(tcp::socket)> accepted)
{
    m_accepted = std::move(accepted);
    asio::co_spawn(
        m_context,
        [self = shared_from_this()]() {
            return self->run();
        },
        asio::detached);
}

void Listener::stop()
{
    ErrorCode ignored;
    m_acceptor.close(ignored);
    m_pause.cancel();
}

asio::awaitable<void> Listener::run()
{
    const auto self = shared_from_this();
    while (m_acceptor.is_open()) {
        ErrorCode error;
        tcp::socket socket(m_context);
        co_await m_acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            m_accepted(std::move(socket));
        } else if (m_acceptor.is_open()) {
            m_pause.expires_after(s_acceptPause);
            co_await m_pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
        }
    }
}

} // namespace trefoilstile::http
