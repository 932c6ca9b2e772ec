// What the stand-in platform does with a request: a function of the request, the state and the time, without sockets.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "tables.hpp"
#include "trefoilstile/base/time.hpp"

namespace trefoilstile::standin
{

/// Largest body of a request, in bytes: a document of the greatest accepted size.
inline constexpr std::uint64_t s_maximumBody = 64U << 20U;

struct Request {
    std::string method;
    std::string target; ///< path and query as they stand in the request line
    std::string ifVersion; ///< value of the header `If-Version`; empty if absent
    std::string body;
};

/// What happens on the connection after the request.
enum class Delivery : std::uint8_t {
    Respond,
    CloseWithoutResponse,
    NeverRespond,
    Reset, ///< closed with RST
};

struct Response {
    unsigned status = 200;
    std::string body{};
    Delivery delivery = Delivery::Respond;
    base::Duration delay{}; ///< from the request to the delivery
};

/// Faults as `POST /_faults` sets them. Fields that a request leaves out keep their value.
struct Faults {
    base::Duration latency{};
    std::optional<Delivery> unreachable; ///< `NeverRespond` or `Reset`; such requests take no effect
    std::uint64_t loseWriteAnswers{}; ///< next row writes that take effect without a response
    std::uint64_t loseObjectAnswers{}; ///< likewise for objects
    base::Duration instancesLag{};
    double readsPerSecond{}; ///< 0: no limit
    double writesPerSecond{}; ///< 0: no limit
};

/// Token bucket that holds at most one second of requests.
class RateLimit
{
public:
    /// True if the request is within the rate; a rate of 0 allows everything.
    bool take(double perSecond, base::TimePoint now);

private:
    double m_tokens{};
    std::optional<base::TimePoint> m_last;
};

/// The platform: tables, objects, lagging instance list, faults, counters.
class PlatformService
{
public:
    Response handle(const Request &request, base::TimePoint now);

private:
    Response admin(const Request &request);
    Response setFaults(const std::string &body);
    Response counters() const;
    Response route(const Request &request, std::string_view path, std::string_view query, base::TimePoint now);
    Response rows(const Request &request, std::string_view table, std::string_view key, std::string_view query);
    Response writeRow(const Request &request, std::string_view table, std::string_view key);
    Response objects(const Request &request, std::string_view hash);
    Response instances(const Request &request, base::TimePoint now);

    struct InstanceList {
        base::TimePoint setAt;
        std::string body;
    };

    Tables m_tables;
    std::map<std::string, std::string, std::less<>> m_objects;
    std::deque<InstanceList> m_instances; ///< oldest first; those before the visible one are dropped
    Faults m_faults;
    RateLimit m_readLimit;
    RateLimit m_writeLimit;
    TableCounters m_objectCounters;
    std::uint64_t m_instanceReads{};
    std::uint64_t m_limited{};
    std::uint64_t m_answersLost{};
};

} // namespace trefoilstile::standin
