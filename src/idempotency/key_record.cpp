// State machine of an idempotency key.

#include "trefoilstile/idempotency/key_record.hpp"

#include <array>

#include <fmt/format.h>

#include "trefoilstile/idempotency/error.hpp"

namespace trefoilstile::idempotency
{

std::string_view toString(KeyState state)
{
    constexpr std::array<std::string_view, 6> names{"not-run", "claiming", "queued", "sent", "completed", "unknown"};
    return names[static_cast<std::size_t>(state)];
}

bool hasTransition(KeyState from, KeyState to)
{
    switch (from) {
    case KeyState::NotRun:
        return to == KeyState::Queued || to == KeyState::Claiming;
    case KeyState::Claiming:
        return to == KeyState::Queued || to == KeyState::NotRun || to == KeyState::Unknown;
    case KeyState::Queued:
        return to == KeyState::Sent || to == KeyState::NotRun;
    case KeyState::Sent:
        return to == KeyState::Queued || to == KeyState::NotRun || to == KeyState::Completed || to == KeyState::Unknown;
    case KeyState::Completed:
    case KeyState::Unknown:
        return false;
    }
    return false;
}

void checkTransition(KeyState from, KeyState to, std::string_view key)
{
    if (!hasTransition(from, to)) {
        throw Error(fmt::format("key {}: no transition from {} to {}", key, toString(from), toString(to)));
    }
}

} // namespace trefoilstile::idempotency
