// Follows one table of the store: reads it completely, then polls for changes; reports when the store becomes unavailable and
// available.
//
// Known rows are kept while the store does not respond. If the store no longer has the history of changes, the table is read
// again, and known rows that are missing from it are reported as removed. Rows that have not changed are not reported again.
//
// A new era of the store leads to one complete read. Rows that `feed::TableCopy` keeps then are settled after a time in which their
// writers write again.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "trefoilstile/base/random.hpp"
#include "trefoilstile/feed/poll_wait.hpp"
#include "trefoilstile/feed/table_copy.hpp"
#include "trefoilstile/http/clock.hpp"
#include "trefoilstile/proxy/row_store.hpp"

namespace trefoilstile::proxy
{

struct TableWatchOptions {
    /// Time for which the store holds a poll for changes. An unresponsive path is detected by the keep-alive probes of the connection,
    /// but one that acknowledges bytes and then drops them, or a store that has lost the poll, only by the timeout of the poll.
    feed::PollWaitOptions pollWait;
    /// Pause after changes, so that changes in quick succession are fetched with one poll; doubles up to
    /// `maximumCoalesceDelay` while changes continue.
    base::Duration coalesceDelay = std::chrono::milliseconds(150);
    base::Duration maximumCoalesceDelay = std::chrono::milliseconds(700);
    base::Duration initialBackoff = std::chrono::milliseconds(250);
    base::Duration maximumBackoff = std::chrono::milliseconds(1'000); ///< after rejected requests, which the platform charges for
    /// After failures without a response. Such a request did not arrive and is not charged for, so a short delay costs nothing.
    base::Duration maximumUnansweredBackoff = std::chrono::milliseconds(400);
    base::Duration maximumEraDelay = std::chrono::milliseconds(200); ///< random pause before the complete read of a new era
    /// From the start of an era until rows that were kept, and have not been written again, become what the store has.
    base::Duration settleTime = std::chrono::seconds(60);
    feed::TableCopyOptions copy;
    double backoffJitter = 0.3; ///< fraction; prevents instances from retrying at the same time
};

/// Options for the operator's table. What the operator has written, and the store has lost, stays in effect until it is written again.
/// An evacuation that has returned may have been written again, and is in effect at once.
inline TableWatchOptions operatorWatchOptions()
{
    TableWatchOptions options;
    options.copy.keepMissing = true;
    options.copy.keepRemoved = false;
    options.copy.distinctValues = false;
    return options;
}

/// Options for the table of upstreams. `ingress::UpstreamTable` itself keeps upstreams whose entries are missing after an outage.
/// @param bound on the time until a change must be in effect. The coalescing delay uses up to 35% of it; the rest is for a slow store.
inline TableWatchOptions upstreamWatchOptions(base::Duration bound)
{
    TableWatchOptions options;
    options.maximumCoalesceDelay = std::max(options.coalesceDelay, bound * 35 / 100);
    // A running upstream writes again within 2 s of the return of the store. One that does not run loses its entry some seconds later.
    options.settleTime = std::chrono::seconds(6);
    return options;
}

/// Receiver of the changes.
// clang-format off
template<typename T>
concept TableObserver = requires(T observer, const StoreRow &row, std::string_view detail)
{
    observer.rowChanged(row);
    observer.tableRead(); ///< after a complete read: `rowChanged` has been called for all rows that differ from before
    observer.storeLost(detail);
    observer.storeRegained();
};
// clang-format on

template<RowReader Store, TableObserver Observer>
class TableWatch
{
public:
    TableWatch(boost::asio::io_context &context, Store &store, Observer &observer, std::string table, std::uint64_t seed, TableWatchOptions options = {})
        : m_timer(context)
        , m_store(store)
        , m_observer(observer)
        , m_table(std::move(table))
        , m_random(seed)
        , m_options(options)
        , m_pollWait(m_random.next(), options.pollWait)
        , m_backoff(options.initialBackoff)
        , m_coalesceDelay(options.coalesceDelay)
        , m_copy(options.copy)
    {
    }

    /// Runs until `stop`. After an exception of the observer it may be called again; the other rows have been reported.
    boost::asio::awaitable<void> run()
    {
        while (!m_stopped) {
            const bool completeRead = !m_position;
            StoreResult result;
            if (completeRead) {
                result = co_await m_store.readAll(m_table);
            } else {
                // While the store is unavailable, the poll does not wait for changes, so that a recovery is detected at once.
                result = co_await m_store.readChanges(m_table, *m_position, m_available ? m_pollWait.next() : base::Duration::zero());
            }
            if (m_stopped) {
                break;
            }
            const base::Duration pause = applyResult(std::move(result), completeRead, http::now());
            if (pause > base::Duration::zero()) {
                co_await sleep(pause);
            }
        }
    }

    /// Applies changes that were received outside the watch's own calls.
    void merge(StoreResult result)
    {
        if (m_position && result.status == StoreStatus::Ok) {
            applyRows(std::move(result), false);
        }
    }

    /// Settles the rows of a new era when it is time. Call several times per second.
    void advance(base::TimePoint now)
    {
        if (m_settleAt && now >= *m_settleAt) {
            m_settleAt.reset();
            if (const std::exception_ptr fault = reportEach(m_copy.settle())) {
                std::rethrow_exception(fault);
            }
        }
    }

    /// Sets the position of the polls of this watch among those of the failure domain.
    void setPollSlot(feed::PollSlot slot)
    {
        m_pollWait.setSlot(slot);
    }

    /// Called after each change of `copy` or of the availability of the store. May be empty.
    std::function<void()> changed;

    /// Called when `copy` has passed from an earlier era to a new one, before its rows are reported. May be empty.
    std::function<void(feed::Position before, std::size_t changedRows)> eraBegan;

    const feed::TableCopy &copy() const
    {
        return m_copy;
    }

    /// True if the store responded to the last call, by this instance or by the one that it follows.
    bool available() const
    {
        return m_available;
    }

    /// Ends `run` after the request in progress; ends a pause at once.
    void stop()
    {
        m_stopped = true;
        m_timer.cancel();
    }

private:
    /// Applies a result; returns the pause before the next request.
    base::Duration applyResult(StoreResult result, bool completeRead, base::TimePoint now)
    {
        if (result.status == StoreStatus::HistoryLost) {
            const bool newEra = m_position && result.position.era > m_position->era;
            m_position.reset();
            return newEra ? base::Duration(base::uniformBelow(m_random, static_cast<std::uint64_t>(m_options.maximumEraDelay.count()))) : base::Duration();
        }
        if (result.status == StoreStatus::Ok && completeRead && result.position.era < m_copy.position().era) {
            result.status = StoreStatus::Failed;
            result.detail = "the response is of an earlier era of the store";
        }
        if (result.status != StoreStatus::Ok) {
            setAvailable(false, result.detail);
            const base::Duration longest = result.status == StoreStatus::Refused ? m_options.maximumBackoff : m_options.maximumUnansweredBackoff;
            const base::Duration pause = base::jittered(std::min(m_backoff, longest), m_options.backoffJitter, m_random);
            m_backoff = std::min(m_backoff * 2, longest);
            return pause;
        }
        m_backoff = m_options.initialBackoff;
        const bool hasChanges = !result.rows.empty();
        const bool coalesced = result.coalesced;
        if (hasChanges || completeRead || !m_available) {
            m_pollWait.aligned();
        }
        setAvailable(result.sourceAvailable, "the instance that is followed does not reach the store");
        m_position = std::max(m_position.value_or(feed::Position()), result.position);
        applyRows(std::move(result), completeRead);
        if (!hasChanges || coalesced) {
            return {};
        }
        // A result with changes soon after the last pause means that they occurred during that pause.
        const bool changesContinue = m_lastChange && now - *m_lastChange < m_coalesceDelay + m_options.coalesceDelay;
        m_coalesceDelay = changesContinue ? std::min(m_coalesceDelay * 2, m_options.maximumCoalesceDelay) : m_options.coalesceDelay;
        m_lastChange = now;
        return m_coalesceDelay;
    }

    void setAvailable(bool available, std::string_view detail)
    {
        if (available == m_available) {
            return;
        }
        m_available = available;
        if (available) {
            m_observer.storeRegained();
        } else {
            m_observer.storeLost(detail);
        }
        if (changed) {
            changed();
        }
    }

    void applyRows(StoreResult result, bool completeRead)
    {
        const feed::Position before = m_copy.position();
        const bool wasComplete = m_copy.complete();
        const std::vector<StoreRow> rows = m_copy.apply(std::move(result.rows), result.position, completeRead);
        const bool newEra = wasComplete && m_copy.position().era != before.era;
        if (newEra && eraBegan) {
            eraBegan(before, rows.size());
        }
        // An instance that starts may get kept rows from the reader that it follows.
        if (newEra || (!wasComplete && m_copy.kept() > 0)) {
            m_settleAt = http::now() + m_options.settleTime;
        }
        const std::exception_ptr fault = reportEach(rows);
        if (completeRead) {
            m_observer.tableRead();
        }
        if (changed && (completeRead || m_copy.position() != before)) {
            changed();
        }
        if (fault) {
            std::rethrow_exception(fault);
        }
    }

    /// Returns the last exception of the observer: one row that cannot be handled must not hide the others.
    std::exception_ptr reportEach(const std::vector<StoreRow> &rows)
    {
        std::exception_ptr fault;
        for (const StoreRow &row : rows) {
            try {
                m_observer.rowChanged(row);
            } catch (...) {
                fault = std::current_exception();
            }
        }
        return fault;
    }

    boost::asio::awaitable<void> sleep(base::Duration duration)
    {
        boost::system::error_code ignored; // cancelled by `stop`
        m_timer.expires_after(duration);
        co_await m_timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }

    boost::asio::steady_timer m_timer;
    Store &m_store;
    Observer &m_observer;
    std::string m_table;
    base::SplitMix64 m_random;
    TableWatchOptions m_options;
    feed::PollWait m_pollWait;
    base::Duration m_backoff;
    base::Duration m_coalesceDelay; ///< most recent pause after changes
    std::optional<base::TimePoint> m_lastChange;
    std::optional<feed::Position> m_position; ///< changes up to this position are known; none: the table must be read completely
    std::optional<base::TimePoint> m_settleAt; ///< end of the start of an era
    feed::TableCopy m_copy;
    bool m_available = false;
    bool m_stopped = false;
};

} // namespace trefoilstile::proxy
