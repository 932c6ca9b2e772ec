// Reads one request from a caller with strict limits.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "trefoilstile/http/connection.hpp"
#include "trefoilstile/http/message.hpp"

namespace trefoilstile::http
{

/// Bytes of bodies held by all requests, or all responses, together.
struct BodyBudget {
    std::uint64_t held{};
    std::uint64_t limit{};
    /// A share may only grow to the size of what would then still be free. Without a list of the shares this divides the budget
    /// fairly: `n` bodies that grow without end get one part in `n + 1` each, and the part that stays free serves small bodies.
    bool fair = false;
    std::shared_ptr<BodyBudget> parent{}; ///< budget that this one is a part of; what is held counts in both
};

/// Part of the budget that one request or response holds; given back on destruction.
class BodyShare
{
public:
    BodyShare() = default;
    explicit BodyShare(std::shared_ptr<BodyBudget> budget)
        : m_budget(std::move(budget))
    {
    }
    BodyShare(BodyShare &&other) noexcept
        : m_budget(std::move(other.m_budget))
        , m_bytes(std::exchange(other.m_bytes, 0))
    {
    }
    BodyShare &operator=(BodyShare &&other) noexcept
    {
        std::swap(m_budget, other.m_budget);
        std::swap(m_bytes, other.m_bytes);
        return *this;
    }
    ~BodyShare()
    {
        for (BodyBudget *budget = m_budget.get(); budget != nullptr; budget = budget->parent.get()) {
            budget->held -= m_bytes;
        }
    }

    /// Grows the share to `bytes`; false if the budget or one that it is a part of does not allow it.
    bool growTo(std::uint64_t bytes);

private:
    std::shared_ptr<BodyBudget> m_budget;
    std::uint64_t m_bytes{};
};

struct RequestLimits {
    std::uint64_t body{}; ///< bytes
    base::Duration headTimeout{};
    base::Duration bodyTimeout{};
};

/// What came of reading a request.
struct ReadOutcome {
    bool closed = false; ///< the connection ended, failed or was too slow; there is nobody to respond to
    std::uint16_t rejectStatus{}; ///< not 0: the request is refused with it and the connection must be closed

    /// True if the reading can go on.
    bool complete() const
    {
        return !closed && rejectStatus == 0;
    }
};

/// Waits until the responses to all earlier requests of the connection have been written; false if the connection ends or closes first.
using AwaitTurn = std::function<asio::awaitable<bool>()>;

/// Greatest body that is always read before anything is decided about its request. What is known of a larger one's request after its
/// head may save its transfer.
inline constexpr std::uint64_t s_smallBody = 16U * 1024U;

/// Reads one request from a caller: the head first, and then the body, which is kept or discarded.
class RequestReader
{
public:
    RequestReader(std::shared_ptr<Connection> connection, RequestLimits limits);
    ~RequestReader();
    RequestReader(const RequestReader &) = delete;
    RequestReader &operator=(const RequestReader &) = delete;

    /// Reads the head. Requests whose length could be understood in two ways are refused with 400.
    asio::awaitable<ReadOutcome> readHead(Request &request);

    /// True if the body is larger than `s_smallBody` or of unknown length.
    bool largeBody() const;

    /// Length of the body as declared; 0 if it is not.
    std::uint64_t declaredLength() const;

    /// True if the caller waits for an interim response and has not begun to send the body.
    bool awaitsContinue() const;

    /// Reads the body, after an interim response if the caller expects one.
    /// @param turn waits until the interim response may be written, because it must not be written into another response; empty: at once
    asio::awaitable<ReadOutcome> readBody(std::string &body, BodyShare &share, AwaitTurn turn = {});

    /// Reads the body without keeping it, so that the next request can be read.
    asio::awaitable<ReadOutcome> discardBody();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// Reads a whole request with a `RequestReader`.
asio::awaitable<ReadOutcome> readRequest(std::shared_ptr<Connection> connection, RequestLimits limits, Request &request, BodyShare &share);

} // namespace trefoilstile::http
