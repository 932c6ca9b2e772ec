// Operations on the table `drains`.

#include "trefoilstile/tablestore/drain_store.hpp"

#include <algorithm>
#include <array>

#include <fmt/format.h>

#include "row_codec.hpp"
#include "trefoilstile/tablestore/error.hpp"

namespace trefoilstile::tablestore
{

namespace
{

constexpr std::string_view s_table = "drains";

/// Attempts before giving up. Each conflict means that another operator changed the list first; this many consecutive
/// conflicts indicate a fault rather than concurrent operators.
constexpr int s_conflictAttempts = 20;

struct NamedKind {
    engine::DrainKind kind;
    std::string_view name;
};

constexpr std::array<NamedKind, 4> s_kinds{{
    {engine::DrainKind::Upstream, "upstream"},
    {engine::DrainKind::Entry, "entry"},
    {engine::DrainKind::FailureDomain, "failure_domain"},
    {engine::DrainKind::Region, "region"},
}};

/// Applies the change to the sorted list; false if the list already contains it.
bool applyTo(std::vector<engine::Drain> &drains, const DrainChange &change)
{
    const auto place = std::lower_bound(drains.begin(), drains.end(), change.drain);
    const bool present = place != drains.end() && *place == change.drain;
    if (present == (change.action == DrainChange::Action::Add)) {
        return false;
    }
    if (present) {
        drains.erase(place);
    } else {
        drains.insert(place, change.drain);
    }
    return true;
}

} // namespace

std::string_view toString(engine::DrainKind kind)
{
    return s_kinds.at(static_cast<std::size_t>(kind)).name;
}

std::optional<engine::DrainKind> drainKindFromString(std::string_view name)
{
    std::string normalized(name);
    std::replace(normalized.begin(), normalized.end(), '-', '_');
    for (const NamedKind &known : s_kinds) {
        if (known.name == normalized) {
            return known.kind;
        }
    }
    return std::nullopt;
}

DrainStore::DrainStore(Store &store)
    : m_store(&store)
{
}

DrainRow DrainStore::row(std::string_view environment, const Call &call)
{
    return parseDrainRow(m_store->readRow(s_table, environment, call));
}

DrainResult DrainStore::change(
    std::string_view environment, const DrainChange &change, std::string_view submission, base::Generation highestInEffect, const Call &call)
{
    DrainRow current = row(environment, call);
    for (int attempt = 0; attempt < s_conflictAttempts; ++attempt) {
        if (!applyTo(current.drains, change) && current.generation >= highestInEffect) {
            return DrainApplied{current.generation, false};
        }
        const base::Generation next = nextGeneration(current.generation, highestInEffect);
        PendingWrite pending{std::string(s_table),
            std::string(environment),
            current.version,
            drainRowText(appended(current.history, {next, std::string(submission), {}, {}}), current.drains),
            current.generation,
            next,
            std::string(submission)};
        SubmitResult result = submitWrite(*m_store, std::move(pending), call);
        if (const auto *accepted = std::get_if<Accepted>(&result)) {
            return DrainApplied{accepted->generation, true, accepted->previous};
        }
        if (auto *unsettled = std::get_if<Unsettled>(&result)) {
            return std::move(*unsettled);
        }
        current = parseDrainRow(std::get<LostRace>(result).row);
    }
    throw Unavailable(fmt::format("the drain list was not changed: {} consecutive conflicts with other changes", s_conflictAttempts));
}

} // namespace trefoilstile::tablestore
