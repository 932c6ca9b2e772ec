// Carries out `Relay`.
#include "arrival.hpp"
#include "transfer.hpp"

#include <algorithm>
#include <exception>
#include <utility>

#include "trefoilstile/http/clock.hpp"

namespace trefoilstile::http
{

RelayTransfer::RelayTransfer(std::shared_ptr<ServerCore> core, std::shared_ptr<Exchange> exchange, engine::Relay command)
    : m_core(std::move(core))
    , m_exchange(std::move(exchange))
    , m_command(std::move(command))
    , m_call(m_core->pool, m_command.address, PacedLink{})
{
}

void RelayTransfer::abandon()
{
    // Once the issuer has the request, closing the connection would make it treat the caller as gone.
    if (!m_call.sendStarted()) {
        m_call.cancel();
    }
}

asio::awaitable<void> RelayTransfer::run()
{
    const auto self = shared_from_this();
    bool responded = false;
    try {
        responded = co_await perform();
    } catch (const std::exception &) {
        // Out of memory; the engine still needs the one event of this relay.
        responded = m_exchange->headPassed;
        if (responded && mayPass()) {
            m_exchange->caller->truncate();
        }
    }
    m_call.finish();
    --m_core->transfers;
    if (m_exchange->current.get() == this) {
        m_exchange->current.reset();
        if (responded) {
            m_core->forget(m_exchange);
        }
    }
    m_core->handlers.event(engine::RelayEnded{m_command.id, responded});
}

bool RelayTransfer::mayPass() const
{
    return m_exchange->current.get() == this && m_exchange->caller != nullptr;
}

asio::awaitable<bool> RelayTransfer::perform()
{
    const base::TimePoint start = now();
    if (!co_await m_call.open(true, m_command.timeout)) {
        co_return false;
    }
    const base::Duration left = m_command.timeout - (now() - start);
    if (left <= base::Duration::zero()) {
        co_return false;
    }
    m_call.expectHeadWithin(left);
    Headers extra;
    extra.push_back({"Trefoilstile-Deadline-Ms", std::to_string(std::max<std::int64_t>(base::toMilliseconds(left), 1))});
    extra.push_back({"Trefoilstile-Relayed", "1"});
    if (const std::string *repeat = findHeader(m_exchange->request.headers, s_repeatHeader)) {
        extra.push_back({s_repeatHeader, *repeat}); // the issuer tells late copies from repeats by it
    }
    const std::string text = forwardedHead(m_exchange->request, extra);
    const bool sent = co_await m_call.send(text, m_exchange->request.body);
    ResponseHead head;
    if (!sent && !m_call.sentAnything()) {
        co_return false;
    }
    const bool headRead = co_await m_call.readHead(m_exchange->request.method == "HEAD", head);
    if (!headRead) {
        co_return false;
    }
    if (mayPass()) {
        m_exchange->headPassed = true;
        const auto session = m_exchange->caller;
        co_await session->sendHead(m_exchange->request, head, m_core->options.relayIdleTimeout);
    }
    const bool whole = co_await passBody();
    if (mayPass()) {
        const auto session = m_exchange->caller;
        if (whole) {
            session->finish();
        } else {
            session->truncate();
        }
    }
    co_return true;
}

asio::awaitable<bool> RelayTransfer::passBody()
{
    const base::Duration idle = m_core->options.relayIdleTimeout;
    std::vector<char> buffer(s_bodyChunk);
    for (;;) {
        std::size_t count = 0;
        const BodyRead read = co_await m_call.readBody(buffer, count, idle);
        if (read == BodyRead::Failed) {
            co_return false;
        }
        const auto session = mayPass() ? m_exchange->caller : nullptr;
        if (read == BodyRead::End) {
            if (!session) {
                co_return true;
            }
            co_return co_await session->sendEnd(idle);
        }
        if (session) {
            const std::span<const char> piece(buffer.data(), count);
            co_await session->sendBody(piece, idle);
        }
    }
}

} // namespace trefoilstile::http
