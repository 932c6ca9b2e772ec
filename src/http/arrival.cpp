#include "arrival.hpp"

#include <algorithm>

#include "trefoilstile/idempotency/issued_key.hpp"

namespace trefoilstile::http
{

namespace
{

// Longer than any key this system issues with a generous suffix; keys are kept in a bounded table.
constexpr std::size_t s_longestKey = 256;

// About 11 days; more cannot be meant, and the product with a million must not overflow.
constexpr std::uint64_t s_longestDeadlineMs = 1'000'000'000;

constexpr const char *s_keyHeader = "Idempotency-Key";
constexpr std::uint64_t s_highestRepeat = 1'000'000; // far above the retries that one deadline allows

bool isVisible(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char character) {
        return character > ' ' && character < '\x7f';
    });
}

} // namespace

std::optional<engine::RequestArrived> describe(const Request &request, const base::IpAddress &peer)
{
    engine::RequestArrived arrived;
    arrived.method = request.method;
    arrived.path = request.target.substr(0, request.target.find('?'));
    arrived.client = peer;
    arrived.bodyBytes = request.body.size();
    if (const std::string *host = findHeader(request.headers, "Host")) {
        const auto name = hostWithoutPort(*host);
        if (!name) {
            return std::nullopt;
        }
        arrived.host = *name;
    }
    for (const char *name : {s_keyHeader, s_repeatHeader, "Trefoilstile-Deadline-Ms", "Trefoilstile-Relayed"}) {
        if (countHeader(request.headers, name) > 1) {
            return std::nullopt;
        }
    }
    if (const std::string *key = findHeader(request.headers, s_keyHeader)) {
        if (key->empty() || key->size() > s_longestKey || !isVisible(*key)) {
            return std::nullopt;
        }
        arrived.idempotencyKey = *key;
        arrived.fingerprint = idempotency::fingerprintOf(request.method, request.target, request.body).value;
    }
    if (const std::string *repeat = findHeader(request.headers, s_repeatHeader)) {
        const auto number = parseNumber(*repeat);
        if (!number || *number > s_highestRepeat) {
            return std::nullopt;
        }
        arrived.repeat = static_cast<std::uint32_t>(*number);
    }
    if (const std::string *deadline = findHeader(request.headers, "Trefoilstile-Deadline-Ms")) {
        const auto milliseconds = parseNumber(*deadline);
        if (!milliseconds) {
            return std::nullopt;
        }
        arrived.timeLeft = std::chrono::milliseconds(std::min(*milliseconds, s_longestDeadlineMs));
    }
    if (const std::string *relayed = findHeader(request.headers, "Trefoilstile-Relayed")) {
        arrived.relayed = *relayed == "1";
    }
    return arrived;
}

engine::Outcome outcomeBeforeEngine(const Request &request)
{
    const std::string *repeat = findHeader(request.headers, s_repeatHeader);
    const bool firstAttempt = findHeader(request.headers, s_keyHeader) == nullptr || (repeat != nullptr && *repeat == "0");
    return !request.headers.empty() && firstAttempt ? engine::Outcome::NotRun : engine::Outcome::Unknown;
}

} // namespace trefoilstile::http
