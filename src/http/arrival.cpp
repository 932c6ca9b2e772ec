#include "arrival.hpp"

#include <algorithm>

namespace trefoilstile::http
{

namespace
{

// Longer than any key this system issues with a generous suffix; keys are kept in a bounded table.
constexpr std::size_t s_longestKey = 256;

// About 11 days; more cannot be meant, and the product with a million must not overflow.
constexpr std::uint64_t s_longestDeadlineMs = 1'000'000'000;

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
    for (const char *name : {"Idempotency-Key", "Trefoilstile-Deadline-Ms", "Trefoilstile-Relayed"}) {
        if (countHeader(request.headers, name) > 1) {
            return std::nullopt;
        }
    }
    if (const std::string *key = findHeader(request.headers, "Idempotency-Key")) {
        if (key->empty() || key->size() > s_longestKey || !isVisible(*key)) {
            return std::nullopt;
        }
        arrived.idempotencyKey = *key;
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

} // namespace trefoilstile::http
