// Transitions of records in progress. Each function first checks that the request holds the key and that the state machine
// has the transition, and only then changes the record.

#include "trefoilstile/idempotency/key_table.hpp"

#include <algorithm>

#include <fmt/format.h>

#include "trefoilstile/idempotency/error.hpp"

namespace trefoilstile::idempotency
{

namespace
{
void check(const KeyRecord &record, KeyState to, std::string_view key)
{
    checkTransition(record.state, to, key);
}

/// Records that a request was answered not-run, so that no copy of it runs later.
void recordRefusal(KeyRecord &record, std::optional<std::uint32_t> repeat)
{
    if (repeat) {
        record.refusedUpTo = std::max(record.refusedUpTo.value_or(0), *repeat);
    }
}

/// Response to store: without its body if content type and body together exceed `limit` bytes.
StoredResponsePointer limitedToSize(const StoredResponsePointer &response, std::size_t limit)
{
    if (response && response->contentType.capacity() + response->body.capacity() > limit) {
        const bool keepsContentType = response->contentType.size() <= limit / 4;
        return std::make_shared<StoredResponse>(StoredResponse{response->status, keepsContentType ? response->contentType : std::string(), {}, true});
    }
    return response;
}
} // namespace

KeyTable::Entries::value_type &KeyTable::held(std::string_view key, base::RequestId id)
{
    const auto found = m_entries.find(key);
    if (found == m_entries.end() || !idempotency::inProgress(found->second.record.state) || found->second.record.holder != id) {
        throw Error(fmt::format("key {}: request {} does not hold the key", key, id.value));
    }
    return *found;
}

void KeyTable::claimWon(std::string_view key, base::RequestId id)
{
    KeyRecord &record = held(key, id).second.record;
    if (record.state != KeyState::Claiming) {
        throw Error(fmt::format("key {}: no claim is in progress", key));
    }
    record.state = KeyState::Queued;
    record.claimWon = true;
}

KeyResolution KeyTable::claimTaken(std::string_view key, base::RequestId id, base::TimePoint now)
{
    auto &item = held(key, id);
    if (item.second.record.state != KeyState::Claiming) {
        throw Error(fmt::format("key {}: no claim is in progress", key));
    }
    return finish(item, KeyState::Unknown, now);
}

KeyResolution KeyTable::claimUnavailable(std::string_view key, base::RequestId id, base::TimePoint now)
{
    auto &item = held(key, id);
    if (item.second.record.state != KeyState::Claiming) {
        throw Error(fmt::format("key {}: no claim is in progress", key));
    }
    return finish(item, KeyState::NotRun, now);
}

void KeyTable::markSent(std::string_view key, base::RequestId id)
{
    KeyRecord &record = held(key, id).second.record;
    check(record, KeyState::Sent, key);
    record.state = KeyState::Sent;
}

void KeyTable::returnToQueue(std::string_view key, base::RequestId id)
{
    KeyRecord &record = held(key, id).second.record;
    if (record.state != KeyState::Sent) {
        throw Error(fmt::format("key {}: the request was not sent", key));
    }
    record.state = KeyState::Queued;
}

KeyResolution KeyTable::expire(std::string_view key, base::RequestId id, base::TimePoint now)
{
    auto &item = held(key, id);
    if (item.second.record.state != KeyState::Queued) {
        throw Error(fmt::format("key {}: request {} is {}, not queued", key, id.value, toString(item.second.record.state)));
    }
    return finish(item, KeyState::NotRun, now);
}

KeyResolution KeyTable::markNotRun(std::string_view key, base::RequestId id, base::TimePoint now)
{
    auto &item = held(key, id);
    if (item.second.record.state != KeyState::Sent) {
        throw Error(fmt::format("key {}: the request was not sent", key));
    }
    return finish(item, KeyState::NotRun, now);
}

KeyResolution KeyTable::complete(std::string_view key, base::RequestId id, const StoredResponsePointer &response, base::TimePoint now)
{
    auto &item = held(key, id);
    check(item.second.record, KeyState::Completed, key);
    if (!response) {
        throw Error(fmt::format("key {}: completed without a response", key));
    }
    item.second.record.response = limitedToSize(response, m_options.maximumStoredResponse);
    return finish(item, KeyState::Completed, now);
}

KeyResolution KeyTable::markOutcomeUnknown(std::string_view key, base::RequestId id, base::TimePoint now)
{
    auto &item = held(key, id);
    if (item.second.record.state != KeyState::Sent) {
        throw Error(fmt::format("key {}: the request was not sent", key));
    }
    return finish(item, KeyState::Unknown, now);
}

KeyResolution KeyTable::finish(Entries::value_type &item, KeyState state, base::TimePoint now)
{
    KeyRecord &record = item.second.record;
    checkTransition(record.state, state, item.first);
    // Without a claim of this instance, an earlier attempt may have run at another instance.
    const bool isUnclaimed = record.claim != 0 && !record.claimWon;
    KeyResolution resolution{.response = record.response};
    const bool hasRefusalSpace = m_refusals < m_options.maximumRefusals;
    const auto addOutcome = [&](base::RequestId id, std::optional<std::uint32_t> repeat) {
        Outcome outcome = state == KeyState::Completed ? Outcome::Replay : Outcome::Unknown;
        if (state == KeyState::NotRun && (!isUnclaimed || repeat == 0U) && (hasRefusalSpace || !repeat)) {
            outcome = Outcome::NotRun;
            recordRefusal(record, repeat);
        }
        resolution.outcomes.push_back({id, outcome});
    };
    if (state != KeyState::Completed) {
        addOutcome(record.holder, record.holderRepeat);
    }
    for (const Waiter &waiter : record.waiters) {
        addOutcome(waiter.id, waiter.repeat);
    }
    settle(item, state, now);
    return resolution;
}

void KeyTable::settle(Entries::value_type &item, KeyState state, base::TimePoint now)
{
    auto &[key, entry] = item;
    entry.record.state = state;
    entry.record.waiters = {};
    --m_inProgress;
    m_bytes -= entry.charged;
    entry.charged = 0;
    const bool keepsClaimId = entry.record.claim != 0 && m_refusals < m_options.maximumRefusals;
    if (state == KeyState::NotRun && !entry.record.refusedUpTo && !keepsClaimId) {
        // The record is equivalent to its absence: the key never ran, and no numbered attempt was refused. Without the claim
        // ID a later claim finds the key taken, which is safe.
        m_entries.erase(m_entries.find(key));
        return;
    }
    m_refusals += state == KeyState::NotRun ? 1 : 0;
    charge(entry, s_recordBytes + key.size() + chargedBytes(entry.record.response));
    entry.ended = m_ended.insert(m_ended.end(), {now, key});
}

WithdrawResult KeyTable::withdraw(std::string_view key, base::RequestId id, base::TimePoint now)
{
    const auto found = m_entries.find(key);
    if (found == m_entries.end() || !idempotency::inProgress(found->second.record.state)) {
        return {};
    }
    KeyRecord &record = found->second.record;
    if (record.holder != id) {
        const auto removed = std::erase_if(record.waiters, [id](const Waiter &waiter) {
            return waiter.id == id;
        });
        return {removed != 0 ? Withdrawal::WaiterRemoved : Withdrawal::NotHeld, {}};
    }
    if (record.state != KeyState::Queued) {
        return {Withdrawal::Continues, {}};
    }
    if (record.waiters.empty()) {
        settle(*found, KeyState::NotRun, now);
        return {Withdrawal::Cancelled, {}};
    }
    const Waiter next = record.waiters.front();
    record.waiters.erase(record.waiters.begin());
    record.holder = next.id;
    record.holderRepeat = next.repeat;
    return {Withdrawal::HandedOver, next.id};
}

} // namespace trefoilstile::idempotency
