// One request of a caller, from its arrival to the response: attempts at upstreams, retries, the time limit.
//
// A response is passed on only when it is complete, so that a broken one can still be replaced by a retry and never looks
// whole to the caller. The caller is told that a request did not run only with proof for every attempt.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "trefoilstile/http/connection.hpp"
#include "trefoilstile/http/message.hpp"
#include "trefoilstile/ingress/placement.hpp"
#include "trefoilstile/ingress/route_index.hpp"
#include "trefoilstile/proxy/entry_core.hpp"

namespace trefoilstile::proxy
{

/// A whole response to a caller.
struct CallerResponse {
    std::uint16_t status{};
    std::string reason;
    http::Headers headers; ///< without those that frame the body
    std::string body;
};

/// What is known about an attempt after its end.
struct AttemptEnd {
    ingress::AttemptVerdict verdict = ingress::AttemptVerdict::Cancelled;
    bool reached = false; ///< something was sent to the upstream
    bool provedNotRun = false;
    std::optional<CallerResponse> response; ///< complete and genuine
};

class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(EntryCore &core, http::Request request, base::TimePoint arrivedAt);

    /// Serves the request. Call once. Nothing if the caller has gone.
    boost::asio::awaitable<std::optional<CallerResponse>> run();

    /// The caller has gone: ends all attempts, so that upstreams stop working for it.
    void cancel();

private:
    struct Attempt {
        ingress::UpstreamTable::Pointer upstream;
        std::shared_ptr<http::Connection> connection;
        ingress::PlacementReason reason = ingress::PlacementReason::None;
        double load{}; ///< believed load of the upstream when it was chosen
        base::Duration loadAge{};
        base::TimePoint startedAt;
        base::TimePoint endedAt;
        bool aborted = false;
        bool ended = false;
        bool seen = false; ///< its end has been taken into account
        AttemptEnd end;
    };

    std::optional<CallerResponse> prepare();
    std::optional<CallerResponse> takeEnds();
    std::optional<CallerResponse> startAttempt(bool first);
    std::optional<CallerResponse> giveUp(std::string_view why);
    bool mayRetry(base::TimePoint now);
    void hedge();
    ingress::PlacementResult place(base::TimePoint now);
    void launch(const ingress::PlacementResult &placed, base::TimePoint now);
    boost::asio::awaitable<void> attempt(std::shared_ptr<Attempt> attempt);
    boost::asio::awaitable<AttemptEnd> exchangeWith(std::shared_ptr<Attempt> attempt);
    boost::asio::awaitable<AttemptEnd> readResponse(std::shared_ptr<Attempt> attempt);
    AttemptEnd interpret(Attempt &attempt, http::ResponseHead head, std::string body) const;
    std::string requestHead(const Attempt &attempt, base::TimePoint now) const;
    std::size_t running() const;
    void abortAttempts();
    void logEnd(const std::optional<CallerResponse> &response, base::TimePoint now);

    EntryCore &m_core;
    http::Request m_request;
    base::TimePoint m_arrivedAt;
    base::TimePoint m_deadline; ///< a response is due by then
    base::TimePoint m_hedgeAt = base::TimePoint::max(); ///< a second attempt is then started beside the first
    std::string m_id;
    std::string m_service;
    std::uint64_t m_key{};
    std::shared_ptr<ingress::IndexedRoute> m_route;
    std::vector<std::shared_ptr<Attempt>> m_attempts;
    std::optional<CallerResponse> m_failureResponse; ///< an upstream's own failure, if no retry does better
    std::uint32_t m_sends{}; ///< attempts that may have reached an upstream
    bool m_mayHaveRun = false; ///< an attempt ended without proof that it did not run
    bool m_cancelled = false;
    std::string m_outcome; ///< for the log
    ingress::PlacementResult m_placed; ///< last placement, for the log
    boost::asio::steady_timer m_wakeUp;
};

/// A response of this instance in place of an upstream's.
CallerResponse ownResponse(std::uint16_t status, base::Duration retryAfter = {});

} // namespace trefoilstile::proxy
