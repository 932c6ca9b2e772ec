// The platform over HTTP, within budgets and behind a circuit breaker.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>

#include "trefoilstile/base/random.hpp"
#include "trefoilstile/tablestore/circuit_breaker.hpp"
#include "trefoilstile/tablestore/http_connection.hpp"
#include "trefoilstile/tablestore/purpose_budgets.hpp"
#include "trefoilstile/tablestore/store.hpp"

namespace trefoilstile::tablestore
{

struct PlatformClientOptions {
    Endpoint endpoint{};
    HttpOptions http{};
    CircuitBreakerOptions breaker{};
    PurposeBudgetOptions budgets{};
};

/// Used by one thread. Rejections with 4xx and failures before anything was sent are `Unavailable`; a write whose answer
/// was lost, late, malformed or 5xx is `OutcomeUnknown`, since a server may fail after it has written.
class PlatformClient final : public Store
{
public:
    /// Time on the process clock; deadlines, budgets and the breaker use it.
    using Clock = std::function<base::TimePoint()>;

    /// @param seed of the jitter; differs between instances
    PlatformClient(PlatformClientOptions options, Clock clock, std::uint64_t seed);

    Row readRow(std::string_view table, std::string_view key, const Call &call) override;
    std::vector<KeyedRow> listRows(std::string_view table, std::string_view prefix, const Call &call) override;
    WriteResult writeRow(std::string_view table, std::string_view key, std::uint64_t ifVersion, std::string_view value, const Call &call) override;
    WriteResult removeRow(std::string_view table, std::string_view key, std::uint64_t ifVersion, const Call &call) override;
    std::optional<std::string> readObject(std::string_view hash, const Call &call) override;
    void writeObject(std::string_view hash, std::string_view bytes, const Call &call) override;
    std::vector<ListedInstance> instances(const Call &call) override;

    /// State of the circuit breaker; may be called by any thread.
    BreakerState breakerState() const;

private:
    HttpResponse exchange(const HttpRequest &request, Access access, const Call &call);
    HttpResponse read(std::string target, const Call &call);
    WriteResult conditionalWrite(const HttpRequest &request, const Call &call);
    [[noreturn]] void rejected(const HttpResponse &response, Access access) const;

    PlatformClientOptions m_options;
    Clock m_clock;
    base::SplitMix64 m_random;
    CircuitBreaker m_breaker;
    PurposeBudgets m_budgets;
    HttpConnection m_connection;
    std::atomic<BreakerState> m_breakerState{BreakerState::Closed};
};

} // namespace trefoilstile::tablestore
