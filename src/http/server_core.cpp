// Requests held by the caller server and the engine's commands about them.
#include "server_core.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http/status.hpp>

#include "transfer.hpp"

namespace trefoilstile::http
{

namespace
{

struct WholeResponse {
    ResponseHead head;
    std::string body;
};

asio::awaitable<void> sendWhole(
    std::shared_ptr<CallerSession> session, std::shared_ptr<Exchange> exchange, std::shared_ptr<const WholeResponse> response, base::Duration idle)
{
    const bool sent = co_await session->respond(exchange->request, response->head, response->body, idle);
    if (sent) {
        session->finish();
    }
}

} // namespace

std::string reasonPhrase(std::uint16_t status)
{
    return std::string(boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status)));
}

ResponseHead rejectionHead(std::uint16_t status, engine::Outcome outcome, base::Duration retryAfter)
{
    ResponseHead head;
    head.status = status;
    head.reason = reasonPhrase(status);
    head.headers.push_back({"Trefoilstile-Outcome", outcome == engine::Outcome::NotRun ? "not-run" : "unknown"});
    if (retryAfter > base::Duration::zero()) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter);
        head.headers.push_back({"Retry-After", std::to_string(seconds.count())});
    }
    return head;
}

std::shared_ptr<Exchange> ServerCore::admit(Request request, BodyShare share)
{
    const auto exchange = std::make_shared<Exchange>();
    exchange->id = base::RequestId{++m_lastRequest};
    exchange->request = std::move(request);
    exchange->bodyShare = std::move(share);
    exchanges.emplace(exchange->id, exchange);
    return exchange;
}

void ServerCore::callerLost(const std::shared_ptr<Exchange> &exchange)
{
    exchange->caller.reset();
    if (exchanges.count(exchange->id) == 0) {
        return; // already ended by a command
    }
    const auto current = exchange->current;
    handlers.event(engine::CallerDisconnected{exchange->id});
    if (current) {
        current->abandon();
    }
}

void ServerCore::forget(const std::shared_ptr<Exchange> &exchange)
{
    exchanges.erase(exchange->id);
    exchange->caller.reset();
}

void ServerCore::sessionEnded(CallerSession *session)
{
    sessions.erase(session);
}

std::shared_ptr<Exchange> ServerCore::find(base::RequestId id) const
{
    const auto found = exchanges.find(id);
    return found == exchanges.end() ? nullptr : found->second;
}

void ServerCore::takeOver(Exchange &exchange)
{
    if (const auto previous = std::exchange(exchange.current, nullptr)) {
        previous->abandon();
    }
}

void ServerCore::execute(const engine::Forward &command)
{
    auto exchange = find(command.id);
    if (!exchange) {
        engine::AttemptEnded ended;
        ended.id = command.id;
        ended.attemptId = command.attemptId;
        ended.result = engine::AttemptResult::NothingSent;
        handlers.event(std::move(ended));
        return;
    }
    takeOver(*exchange);
    const auto attempt = std::make_shared<Attempt>(shared_from_this(), exchange, command);
    exchange->current = attempt;
    ++transfers;
    asio::co_spawn(
        context,
        [attempt]() {
            return attempt->run();
        },
        asio::detached);
}

void ServerCore::execute(const engine::Relay &command)
{
    auto exchange = find(command.id);
    if (!exchange || exchange->headPassed) {
        handlers.event(engine::RelayEnded{command.id, false});
        return;
    }
    takeOver(*exchange);
    const auto relay = std::make_shared<RelayTransfer>(shared_from_this(), exchange, command);
    exchange->current = relay;
    ++transfers;
    asio::co_spawn(
        context,
        [relay]() {
            return relay->run();
        },
        asio::detached);
}

void ServerCore::respond(const std::shared_ptr<Exchange> &exchange, ResponseHead head, std::string body)
{
    takeOver(*exchange);
    const auto session = exchange->caller;
    forget(exchange);
    if (!session) {
        return;
    }
    if (exchange->headPassed) {
        session->truncate();
        return;
    }
    exchange->headPassed = true;
    const auto response = std::make_shared<const WholeResponse>(WholeResponse{std::move(head), std::move(body)});
    asio::co_spawn(context, sendWhole(session, exchange, response, options.writeTimeout), asio::detached);
}

void ServerCore::execute(const engine::Reject &command)
{
    if (const auto exchange = find(command.id)) {
        respond(exchange, rejectionHead(command.status, command.outcome, command.retryAfter), std::string());
    }
}

void ServerCore::execute(const engine::Replay &command)
{
    const auto exchange = find(command.id);
    if (!exchange) {
        return;
    }
    ResponseHead head;
    head.status = command.response->status;
    head.reason = reasonPhrase(head.status);
    if (!command.response->contentType.empty()) {
        head.headers.push_back({"Content-Type", command.response->contentType});
    }
    respond(exchange, std::move(head), command.response->truncated ? std::string() : command.response->body);
}

void ServerCore::execute(const engine::ClaimKey &)
{
}

void ServerCore::execute(const engine::Truncate &command)
{
    if (const auto exchange = find(command.id)) {
        takeOver(*exchange);
        const auto session = exchange->caller;
        forget(exchange);
        if (session) {
            session->truncate();
        }
    }
}

void ServerCore::execute(const engine::Discard &command)
{
    execute(engine::Truncate{command.id});
}

} // namespace trefoilstile::http
