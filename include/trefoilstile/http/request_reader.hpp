// Reads one request from a caller with strict limits.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
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
        if (m_budget) {
            m_budget->held -= m_bytes;
        }
    }

    /// Grows the share to `bytes`; false if the budget does not allow it.
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
};

/// Waits until the responses to all earlier requests of the connection have been written; false if the connection ends or closes first.
using AwaitTurn = std::function<asio::awaitable<bool>()>;

/// Reads a whole request. Requests whose length could be understood in two ways are refused with 400.
/// @param turn for callers that wait for an interim response, which must not be written into another response; empty: there is none
asio::awaitable<ReadOutcome> readRequest(std::shared_ptr<Connection> connection, RequestLimits limits, Request &request, BodyShare &share, AwaitTurn turn = {});

} // namespace trefoilstile::http
