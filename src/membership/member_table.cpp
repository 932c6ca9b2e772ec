// Merging of reports about members.

#include "trefoilstile/membership/member_table.hpp"

#include <utility>

namespace trefoilstile::membership
{

namespace
{

/// Merges the state part; true if it changed.
bool mergeState(MemberStatus &known, const MemberStatus &received)
{
    if (std::pair(received.statusNumber, received.state) <= std::pair(known.statusNumber, known.state)) {
        return false;
    }
    known.statusNumber = received.statusNumber;
    known.state = received.state;
    return true;
}

/// Merges the report part; true if it changed. Leaving is never reset.
bool mergeReport(MemberStatus &known, const MemberStatus &received)
{
    if (received.reportNumber <= known.reportNumber) {
        return false;
    }
    known.reportNumber = received.reportNumber;
    known.leaving = known.leaving || received.leaving;
    known.generation = std::max(known.generation, received.generation);
    known.drainGeneration = std::max(known.drainGeneration, received.drainGeneration);
    known.spareCapacity = received.spareCapacity;
    return true;
}

} // namespace

const MemberEntry *MemberTable::find(base::IncarnationId incarnation) const
{
    const auto found = m_entries.find(incarnation);
    return found == m_entries.end() ? nullptr : &found->second;
}

Change MemberTable::add(const MemberUpdate &update, base::TimePoint now)
{
    if (!update.info || m_entries.size() >= m_limit) {
        return Change::None;
    }
    MemberEntry entry{update.incarnation, *update.info, update.status, false, false, true, now};
    entry.disseminated = update.status.state != MemberState::Dead;
    m_entries.emplace(update.incarnation, std::move(entry));
    ++m_version;
    return update.status.state == MemberState::Dead ? Change::None : Change::Added;
}

Change MemberTable::apply(const MemberUpdate &update, base::TimePoint now)
{
    const auto found = m_entries.find(update.incarnation);
    if (found == m_entries.end()) {
        return add(update, now);
    }
    MemberEntry &entry = found->second;
    const MemberState before = entry.status.state;
    const bool reported = mergeReport(entry.status, update.status);
    const bool merged = mergeState(entry.status, update.status);
    if (!merged && !entry.disseminated && update.status.state != MemberState::Dead) {
        // The sender lists the member as alive or suspect. Disseminating the tombstone corrects that or makes the member refute it.
        entry.disseminated = true;
        ++m_version;
        return Change::State;
    }
    if (!reported && !merged) {
        return Change::None;
    }
    ++m_version;
    if (!merged) {
        return Change::Report;
    }
    entry.disseminated = true;
    if (entry.status.state != before || entry.status.state == MemberState::Suspect) {
        entry.since = now;
    }
    return Change::State;
}

Change MemberTable::report(base::IncarnationId incarnation, MemberState state, base::TimePoint now)
{
    const MemberEntry *entry = find(incarnation);
    if (entry == nullptr) {
        return Change::None;
    }
    MemberUpdate update = updateOf(*entry, false);
    update.status.state = state;
    return apply(update, now);
}

bool MemberTable::markListedLeaving(base::IncarnationId incarnation)
{
    const auto found = m_entries.find(incarnation);
    if (found == m_entries.end() || found->second.listedLeaving) {
        return false;
    }
    found->second.listedLeaving = true;
    ++m_version;
    return true;
}

bool MemberTable::setSilent(base::IncarnationId incarnation, bool silent)
{
    const auto found = m_entries.find(incarnation);
    if (found == m_entries.end() || found->second.silent == silent) {
        return false;
    }
    found->second.silent = silent;
    ++m_version;
    return true;
}

std::vector<base::IncarnationId> MemberTable::atAddress(std::string_view peerAddress) const
{
    std::vector<base::IncarnationId> found;
    for (const auto &[incarnation, entry] : m_entries) {
        if (entry.status.state != MemberState::Dead && entry.info.peerAddress == peerAddress) {
            found.push_back(incarnation);
        }
    }
    return found;
}

std::vector<base::IncarnationId> MemberTable::aliveIn(std::string_view failureDomain) const
{
    std::vector<base::IncarnationId> found;
    for (const auto &[incarnation, entry] : m_entries) {
        if (entry.isAlive() && entry.info.failureDomain == failureDomain) {
            found.push_back(incarnation);
        }
    }
    return found;
}

std::vector<base::IncarnationId> MemberTable::suspectedBefore(base::TimePoint point, bool local, std::string_view failureDomain) const
{
    std::vector<base::IncarnationId> found;
    for (const auto &[incarnation, entry] : m_entries) {
        const bool inDomain = entry.info.failureDomain == failureDomain;
        if (entry.status.state == MemberState::Suspect && inDomain == local && entry.since <= point) {
            found.push_back(incarnation);
        }
    }
    return found;
}

void MemberTable::restartSuspicions(base::TimePoint now)
{
    for (auto &[incarnation, entry] : m_entries) {
        if (entry.status.state == MemberState::Suspect) {
            entry.since = now;
        }
    }
}

MemberUpdate updateOf(const MemberEntry &entry, bool withInfo)
{
    return {entry.incarnation, entry.status, withInfo ? std::optional(entry.info) : std::nullopt};
}

} // namespace trefoilstile::membership
