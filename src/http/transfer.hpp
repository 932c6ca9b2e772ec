// The two kinds of transfers: an attempt at an upstream (`Forward`) and a relay to another entry instance (`Relay`).
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "exchange.hpp"
#include "server_core.hpp"
#include "upstream_call.hpp"

namespace trefoilstile::http
{

class Attempt : public Transfer, public std::enable_shared_from_this<Attempt>
{
public:
    Attempt(std::shared_ptr<ServerCore> core, std::shared_ptr<Exchange> exchange, engine::Forward command);

    /// Runs to the end and reports one `AttemptEnded`.
    asio::awaitable<void> run();
    void abandon() override;

private:
    asio::awaitable<engine::AttemptResult> perform();
    asio::awaitable<engine::AttemptResult> discardRejection(const ResponseHead &head);
    asio::awaitable<engine::AttemptResult> passFirst(ResponseHead &head);
    asio::awaitable<engine::AttemptResult> passRest(const ResponseHead &head);
    asio::awaitable<engine::AttemptResult> passBody();
    asio::awaitable<bool> passPiece(std::span<const char> piece);
    std::string requestHead() const;
    engine::AttemptResult failure() const;
    bool mayPass() const;
    void keep(std::span<const char> piece);
    void report(engine::AttemptResult result);

    std::shared_ptr<ServerCore> m_core;
    std::shared_ptr<Exchange> m_exchange;
    engine::Forward m_command;
    UpstreamCall m_call;
    base::TimePoint m_start;
    engine::AttemptEnded m_ended;
    std::shared_ptr<engine::StoredResponse> m_kept; ///< null unless the command asks for it
    bool m_resuming = false; ///< asks for the rest of a body
    bool m_passed = false; ///< this attempt has passed on bytes
};

class RelayTransfer : public Transfer, public std::enable_shared_from_this<RelayTransfer>
{
public:
    RelayTransfer(std::shared_ptr<ServerCore> core, std::shared_ptr<Exchange> exchange, engine::Relay command);

    /// Runs to the end and reports one `RelayEnded`.
    asio::awaitable<void> run();
    void abandon() override;

private:
    asio::awaitable<bool> perform();
    asio::awaitable<bool> passBody();
    bool mayPass() const;

    std::shared_ptr<ServerCore> m_core;
    std::shared_ptr<Exchange> m_exchange;
    engine::Relay m_command;
    UpstreamCall m_call;
};

/// Head of a request to an upstream or entry instance: the caller's fields without those of one connection, and a
/// `Content-Length` if there is a body.
std::string forwardedHead(const Request &request, const Headers &extra);

} // namespace trefoilstile::http
