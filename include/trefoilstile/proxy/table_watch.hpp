// Follows one table of the store: reads it whole, then waits for changes; tells when the store is lost and regained.
//
// Knowledge is kept while the store does not answer. After a loss of history the table is read anew, and rows that are
// missing then count as removed.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "trefoilstile/base/random.hpp"
#include "trefoilstile/http/clock.hpp"
#include "trefoilstile/proxy/row_store.hpp"

namespace trefoilstile::proxy
{

struct TableWatchOptions {
    /// How long the store holds a question for changes. Long, because each question is priced. A silent path is noticed by the
    /// keep-alive of the connection, but one that acknowledges bytes and drops them only by the time limit of the question,
    /// 2 s after this.
    base::Duration wait = std::chrono::seconds(7);
    /// Pause after changes, so that changes that come together are fetched together; doubles up to the longest while they
    /// keep coming.
    base::Duration gather = std::chrono::milliseconds(150);
    base::Duration longestGather = std::chrono::milliseconds(700);
    base::Duration firstBackoff = std::chrono::milliseconds(250);
    base::Duration longestBackoff = std::chrono::milliseconds(1'000); ///< after refusals, which are priced
    /// Without an answer the question did not arrive, so asking again soon costs nothing.
    base::Duration longestSilentBackoff = std::chrono::milliseconds(400);
    double backoffJitter = 0.3; ///< keeps instances out of step
};

/// Options for a bound on the time until a change must be in effect. About a third of it is used up by gathering; the rest
/// is for a slow store.
inline TableWatchOptions watchOptions(base::Duration bound)
{
    TableWatchOptions options;
    options.longestGather = std::max(options.gather, bound * 35 / 100);
    return options;
}

/// What the watch tells its owner.
// clang-format off
template<typename T>
concept TableObserver = requires(T observer, const StoreRow &row, std::string_view detail)
{
    observer.rowChanged(row);
    observer.tableRead(); ///< all rows known to the store have been told
    observer.storeLost(detail);
    observer.storeRegained();
};
// clang-format on

template<RowStore Store, TableObserver Observer>
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
        , m_backoff(options.firstBackoff)
        , m_gather(options.gather)
    {
    }

    /// Runs until `stop`.
    boost::asio::awaitable<void> run()
    {
        while (!m_stopped) {
            const bool whole = !m_version;
            StoreResult result;
            if (whole) {
                result = co_await m_store.readAll(m_table);
            } else {
                // A store that was lost is first asked for an answer at once, so that its return is noticed.
                result = co_await m_store.readChanges(m_table, *m_version, m_available ? m_options.wait : base::Duration::zero());
            }
            if (m_stopped) {
                break;
            }
            const base::Duration pause = take(std::move(result), whole, http::now());
            if (pause > base::Duration::zero()) {
                co_await sleep(pause);
            }
        }
    }

    void stop()
    {
        m_stopped = true;
        m_timer.cancel();
    }

private:
    /// Applies a result; returns the pause before the next question.
    base::Duration take(StoreResult result, bool whole, base::TimePoint now)
    {
        if (result.status == StoreStatus::HistoryLost) {
            m_version.reset();
            return {};
        }
        if (result.status != StoreStatus::Ok) {
            if (m_available) {
                m_available = false;
                m_observer.storeLost(result.detail);
            }
            const base::Duration longest = result.status == StoreStatus::Refused ? m_options.longestBackoff : m_options.longestSilentBackoff;
            const base::Duration pause = base::jittered(std::min(m_backoff, longest), m_options.backoffJitter, m_random);
            m_backoff = std::min(m_backoff * 2, longest);
            return pause;
        }
        m_backoff = m_options.firstBackoff;
        if (!m_available) {
            m_available = true;
            m_observer.storeRegained();
        }
        m_version = result.version;
        std::set<std::string> present;
        for (const StoreRow &row : result.rows) {
            if (!row.removed) {
                m_keys.insert(row.key);
                present.insert(row.key);
            } else {
                m_keys.erase(row.key);
            }
            m_observer.rowChanged(row);
        }
        if (whole) {
            for (const std::string &key : std::exchange(m_keys, present)) {
                if (!present.contains(key)) {
                    m_observer.rowChanged({key, {}, result.version, true});
                }
            }
            m_observer.tableRead();
        }
        if (result.rows.empty()) {
            return {};
        }
        // Changes came within the last pause if they were there when asked for.
        const bool goOn = m_lastChange && now - *m_lastChange < m_gather + m_options.gather;
        m_gather = goOn ? std::min(m_gather * 2, m_options.longestGather) : m_options.gather;
        m_lastChange = now;
        return m_gather;
    }

    boost::asio::awaitable<void> sleep(base::Duration span)
    {
        boost::system::error_code ignored; // cancelled by `stop`
        m_timer.expires_after(span);
        co_await m_timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }

    boost::asio::steady_timer m_timer;
    Store &m_store;
    Observer &m_observer;
    std::string m_table;
    base::SplitMix64 m_random;
    TableWatchOptions m_options;
    base::Duration m_backoff;
    base::Duration m_gather; ///< last pause after changes
    std::optional<base::TimePoint> m_lastChange;
    std::optional<std::uint64_t> m_version; ///< up to which changes are known; none: the table must be read whole
    std::set<std::string> m_keys; ///< rows known to exist
    bool m_available = false;
    bool m_stopped = false;
};

} // namespace trefoilstile::proxy
