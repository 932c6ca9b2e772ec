// HTTP client of the platform with request budgets and a circuit breaker.
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

/// Not thread-safe except for `breakerState`. A 4xx rejection or a failure before anything was sent throws `Unavailable`. A
/// write whose answer was lost, late, malformed or 5xx throws `OutcomeUnknown`, since a server may fail after it has
/// applied the write.
class PlatformClient final : public Store
{
public:
    /// Returns the time that deadlines, budgets and the breaker use.
    using Clock = std::function<base::TimePoint()>;

    /// @param seed seed of the jitter; must differ between instances
    PlatformClient(PlatformClientOptions options, Clock clock, std::uint64_t seed);

    Row readRow(std::string_view table, std::string_view key, const Call &call) override;
    std::vector<KeyedRow> listRows(std::string_view table, std::string_view prefix, const Call &call) override;
    WriteResult writeRow(std::string_view table, std::string_view key, std::uint64_t ifVersion, std::string_view value, const Call &call) override;
    WriteResult removeRow(std::string_view table, std::string_view key, std::uint64_t ifVersion, const Call &call) override;
    std::optional<std::string> readObject(std::string_view hash, const Call &call) override;
    void writeObject(std::string_view hash, std::string_view bytes, const Call &call) override;
    std::vector<ListedInstance> instances(const Call &call) override;

    /// State of the circuit breaker; thread-safe.
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
