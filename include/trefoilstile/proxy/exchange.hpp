// One request of a caller, from its arrival to the response: attempts at upstreams, retries and the deadline.
//
// A response is forwarded only when it has been received completely. A truncated response can then still be replaced by a
// retry, and never appears complete to the caller. A response that says that the request did not run is sent only if that
// is proved for every attempt.
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
#include "trefoilstile/http/request_reader.hpp"
#include "trefoilstile/ingress/placement.hpp"
#include "trefoilstile/ingress/route_index.hpp"
#include "trefoilstile/ingress/second_attempt.hpp"
#include "trefoilstile/proxy/entry_core.hpp"
#include "trefoilstile/proxy/response_body.hpp"

namespace trefoilstile::proxy
{

/// A complete response to a caller.
struct CallerResponse {
    std::uint16_t status{};
    std::string reason;
    http::Headers headers; ///< without the fields that frame the body
    std::string body;
    http::BodyShare memory; ///< the part of `EntryCore::responseBudget` that `body` holds
};

/// Result of one attempt.
struct AttemptEnd {
    ingress::AttemptVerdict verdict = ingress::AttemptVerdict::Cancelled;
    bool reached = false; ///< at least one byte of the request was written
    bool provedNotRun = false; ///< the upstream cannot have run the request
    std::optional<CallerResponse> response; ///< complete and signed by the upstream
};

class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(EntryCore &core, http::Request request, base::TimePoint arrivedAt);
    ~Exchange();
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    /// Decides from the head of the request, while its body arrives, whether it is refused; returns the response if it is. Call before
    /// `run` if at all, at most once.
    /// @param bodyBytes length of the body; if it is unknown, the least that it may have
    std::optional<CallerResponse> refuseAtHead(std::uint64_t bodyBytes);

    /// Adds the body of a request. What was decided at the head is decided again by `run`.
    void bodyArrived(std::string body, base::TimePoint now);

    /// Serves the request; call once. Returns no response if `cancel` was called.
    boost::asio::awaitable<std::optional<CallerResponse>> run();

    /// Aborts all attempts because the caller has disconnected, so that upstreams can stop working on the request.
    void cancel();

private:
    struct Attempt {
        ingress::UpstreamTable::Pointer upstream;
        std::shared_ptr<http::Connection> connection;
        ingress::PlacementReason reason = ingress::PlacementReason::None;
        double load{}; ///< estimated load of the upstream when it was chosen
        double speed = 1; ///< expected speed factor when it was chosen
        base::Duration loadAge{}; ///< -1 ns: the upstream has not reported a load
        base::Duration wait{}; ///< expected wait for a slot, if the attempt is the first
        base::Duration service{}; ///< expected time in a slot at the usual speed, if the attempt is the first
        base::TimePoint startedAt;
        std::optional<base::TimePoint> quotaTakenAt; ///< set if the attempt counts against the quota of an account
        base::TimePoint endedAt;
        std::optional<base::TimePoint> connectedAt; ///< set if the attempt has opened its connection
        std::uint64_t bodyBytes{}; ///< counted in `Upstream::bodyBytes`
        bool answered = false; ///< the head of a response has been received
        bool aborted = false;
        bool ended = false;
        bool processed = false; ///< `processEndedAttempts` has handled the result
        ingress::RequestBytes bytes; ///< exchanged with the upstream so far
        AttemptEnd end;
    };

    /// Counts the request, determines what it needs and takes its quota; returns a response if the request cannot be attempted.
    std::optional<CallerResponse> prepare();

    /// The same for the body of a request that was prepared at its head; nothing is counted again.
    std::optional<CallerResponse> prepareAgain();

    /// Determines route, account and deadline; returns a response if the request cannot be attempted.
    std::optional<CallerResponse> resolve();

    /// Draws one of the services of the route.
    void chooseService();

    /// Determines the caller's account; returns a response if the request needs an account and has no valid key.
    std::optional<CallerResponse> identify();

    /// Takes the quota for the first attempt; returns a response if the account has none left.
    std::optional<CallerResponse> takeQuota();

    /// Takes the quota that was taken at the head for the present; returns a response if the account has none left.
    std::optional<CallerResponse> renewQuota();

    /// True if the quota for another attempt is held or could be taken.
    bool holdsQuota(base::TimePoint now);

    /// Returns quota that was taken for attempts that have not run and will not run.
    void returnQuota();

    /// True if the request belongs to an account whose key the configuration in effect does not hold any more.
    bool keyWithdrawn() const;

    /// Why the attempt must not be written any more, or an empty text. Checked right before its bytes leave, because everything
    /// that the placement relied on may have changed while the connection was established.
    std::string_view writeObstacle(const Attempt &attempt, base::TimePoint now) const;

    /// Handles the results of attempts that have ended since the last call; returns a response that is final.
    std::optional<CallerResponse> processEndedAttempts();

    /// Starts an attempt, or returns a response if none is possible.
    std::optional<CallerResponse> startAttempt(bool first);

    /// Response to a request that `m_lastPlacement` found no upstream for.
    std::optional<CallerResponse> refusePlacement();

    /// Response to a request that no further attempt is made for; `outcome` goes into log and metrics.
    std::optional<CallerResponse> failRequest(std::string_view outcome);

    /// Decides whether a further attempt is allowed; takes a retry from this instance's share if one is needed.
    bool mayRetry(base::TimePoint now);

    /// What is known about the first attempt.
    ingress::FirstAttempt firstAttempt(base::TimePoint now) const;

    /// Starts a second attempt beside the first if it is due, a retry is allowed and an upstream has a free slot.
    void hedge();
    ingress::PlacementResult place(base::TimePoint now);
    void launch(const ingress::PlacementResult &placed, base::TimePoint now);
    boost::asio::awaitable<void> attempt(std::shared_ptr<Attempt> attempt);
    /// Records the end of an attempt; `run` continues with its result.
    void endAttempt(Attempt &attempt, AttemptEnd end);
    boost::asio::awaitable<AttemptEnd> exchangeWith(std::shared_ptr<Attempt> attempt);
    /// Provides the attempt with a connection, a kept one if possible; returns the end of the attempt if there is none.
    boost::asio::awaitable<std::optional<AttemptEnd>> connect(std::shared_ptr<Attempt> attempt);
    /// Waits as long as the upstream takes to reset a new connection that it does not accept, if it probably does not. True if it
    /// has reset it.
    /// @param roundTrip time that it took to connect; a reset takes as long at least
    boost::asio::awaitable<bool> resetBeforeWriting(std::shared_ptr<Attempt> attempt, base::Duration roundTrip);
    /// Records it if the upstream has reset the attempt's connection right after it was established.
    void noteConnectionReset(const Attempt &attempt, bool written, base::TimePoint now);
    boost::asio::awaitable<AttemptEnd> readResponse(std::shared_ptr<Attempt> attempt);
    /// False for a response with the id of another request, and for a refusal without an id that may be the one of another request.
    /// @param connectionIsNew no other request and no response to one has been seen on the connection
    bool answersRequest(const http::ResponseHead &head, bool connectionIsNew) const;
    /// True if the response says that its request was not run.
    bool isRefusal(const http::ResponseHead &head) const;
    void logStrayResponse(const Attempt &attempt, const http::ResponseHead &head) const;
    /// Applies what the header fields say about the upstream itself: its load, that it leaves, that it wants no requests for a time.
    void applyUpstreamFields(Attempt &attempt, const http::ResponseHead &head) const;
    AttemptEnd interpret(http::ResponseHead head, ResponseBody body) const;
    void logGivenUp(const Attempt &attempt, std::uint64_t bytes) const;
    std::string requestHead(const Attempt &attempt, base::TimePoint now) const;
    std::size_t running() const;
    void abortAttempts();
    void logEnd(const std::optional<CallerResponse> &response, base::TimePoint now);
    /// Records what the request needed of the link.
    void recordBytes(const std::optional<CallerResponse> &response);

    EntryCore &m_core;
    http::Request m_request;
    base::TimePoint m_arrivedAt;
    base::TimePoint m_deadline; ///< time by which the response must be sent
    base::TimePoint m_hedgeAt = base::TimePoint::max(); ///< time at which a second attempt is started beside the first
    std::string m_id;
    std::string m_service;
    std::uint64_t m_key{}; ///< hash of the object key; random without one
    std::shared_ptr<ingress::IndexedRoute> m_route;
    ingress::KeyDigest m_keyDigest{}; ///< of the API key, if `m_account` is set
    std::shared_ptr<const ingress::Account> m_account; ///< null on routes that need no account
    quota::AccountId m_quotaAccount; ///< of `m_account`
    std::vector<base::TimePoint> m_unusedQuota; ///< when the quota was taken that no attempt uses, at most one entry per attempt
    std::vector<std::shared_ptr<Attempt>> m_attempts;
    std::optional<CallerResponse> m_failureResponse; ///< 5xx response of an upstream; sent if no retry succeeds
    std::uint32_t m_sentAttempts{}; ///< ended attempts that reached an upstream
    bool m_mayHaveRun = false; ///< an attempt ended without proof that it did not run, or was unfinished at the deadline
    bool m_cancelled = false;
    bool m_preparedAtHead = false; ///< `refuseAtHead` let the request pass
    std::uint64_t m_bodyBytes{}; ///< size of the body as far as it is known
    ingress::RequestStage m_stage = ingress::RequestStage::Whole;
    std::string m_outcome; ///< for the log and the metrics
    ingress::PlacementResult m_lastPlacement; ///< by `startAttempt`, for the log
    boost::asio::steady_timer m_wakeUpTimer;
};

/// A response generated by this instance. `retryAfter` above zero is sent as `Retry-After`.
CallerResponse localResponse(std::uint16_t status, base::Duration retryAfter = {});

} // namespace trefoilstile::proxy
