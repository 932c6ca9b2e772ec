// One table of the store at this instance: where it is read from, its copy, and how far it is behind other instances.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "trefoilstile/feed/lag_monitor.hpp"
#include "trefoilstile/feed/readers.hpp"
#include "trefoilstile/http/clock.hpp"
#include "trefoilstile/proxy/activity.hpp"
#include "trefoilstile/proxy/entry_core.hpp"
#include "trefoilstile/proxy/feed_router.hpp"
#include "trefoilstile/proxy/feed_server.hpp"
#include "trefoilstile/proxy/fleet_report.hpp"
#include "trefoilstile/proxy/table_watch.hpp"

namespace trefoilstile::proxy
{

template<RowReader Store, TableObserver Observer>
class FollowedTable
{
public:
    /// @param call sends a request to another instance
    FollowedTable(EntryCore &core, Store &store, Observer observer, std::string name, FeedCall call, const TableWatchOptions &options)
        : m_core(core)
        , m_store(store)
        , m_name(std::move(name))
        , m_observer(std::move(observer))
        , m_router(
              core.context, store, std::move(call), feedTimes(core.settings.leavingBound), core.random.next(), feed::sourceOptions(core.settings.firstStart))
        , m_watch(core.context, m_router, m_observer, m_name, core.random.next(), options)
        , m_lag(feed::lagOptions(core.settings.leavingBound))
    {
        m_watch.eraBegan = [this](feed::Position before, std::size_t changedRows) {
            logEra(before, changedRows);
        };
    }

    const std::string &name() const
    {
        return m_name;
    }

    /// Starts to follow the table.
    void start()
    {
        spawnSupervised(m_core, "follow_" + m_name, [this]() {
            return m_watch.run();
        });
    }

    /// Sets who reads the table from the store in this failure domain.
    /// @param table number of this table among the `tables` that are followed
    void setReaders(const feed::Readers &readers, std::size_t table, std::size_t tables)
    {
        m_router.setReaders(readers.self, readers.others);
        m_watch.setPollSlot({readers.rank * tables + table, readers.count * tables});
    }

    /// True if this instance reads the table from the store now.
    bool readsStore() const
    {
        return m_router.readsStore();
    }

    /// Called after each change of the table or of the availability of the store.
    void setChangeHandler(std::function<void()> handler)
    {
        m_watch.changed = std::move(handler);
    }

    /// The table as it is served to other instances.
    /// @param stopping true once this instance stops, so that followers turn to another reader
    FeedServer::Table served(std::function<bool()> stopping)
    {
        const auto readsNow = [this, stopping = std::move(stopping)] {
            return readsStore() && !stopping();
        };
        const auto available = [this] {
            return m_watch.available();
        };
        return {m_watch.copy(), readsNow, available};
    }

    /// Last change that this instance knows, for reports to other instances.
    KnownTable known() const
    {
        return {m_name, m_watch.copy().lastChange()};
    }

    /// True if `known` differs from what it was at the previous call.
    bool takeNews()
    {
        return std::exchange(m_reportedChange, m_watch.copy().lastChange()) != m_watch.copy().lastChange();
    }

    /// Records what another instance knows.
    void heard(const KnownTable &known, const std::string &address, base::TimePoint now)
    {
        if (known.table == m_name) {
            m_lag.heard(known.lastChange, address, m_watch.copy().position(), now);
        }
    }

    /// Era of the store in which the table is known; 0 before the first read.
    std::uint64_t era() const
    {
        return m_watch.copy().position().era;
    }

    /// Fetches the changes that this instance has lacked for too long, and settles the rows of a new era. Call several times per second.
    void checkLag(base::TimePoint now)
    {
        m_watch.advance(now);
        if (m_caughtUpAt && now >= *m_caughtUpAt + s_pollTolerance) {
            // The store should have answered a read that was pending then with the same changes.
            m_store.abandonPolls(m_name, *m_caughtUpAt);
            m_caughtUpAt.reset();
        }
        const auto address = m_watch.copy().complete() ? m_lag.due(m_watch.copy().position(), now) : std::nullopt;
        if (address) {
            spawnOnce(
                m_core,
                "catch_up",
                [this, source = *address]() {
                    return catchUp(source);
                },
                [] {});
        }
    }

    /// Logs the source of the table if it has changed.
    void logSource(base::TimePoint now)
    {
        const std::string source = readsStore() ? "store" : m_router.followed();
        if (source.empty() || source == m_loggedSource) {
            return;
        }
        m_loggedSource = source;
        LogLine line("table_source");
        line.text("table", m_name).text("source", source);
        addPosition(line, "version", "era", m_watch.copy().position());
        m_core.log.write(line, now);
    }

    void setGauges()
    {
        const metrics::Labels labels{{"table", m_name}};
        const feed::Position position = m_watch.copy().position();
        m_core.metrics.set("trefoilstile_table_version", labels, static_cast<double>(position.version));
        m_core.metrics.set("trefoilstile_store_era", labels, static_cast<double>(position.era));
        m_core.metrics.set("trefoilstile_table_rows_kept", labels, static_cast<double>(m_watch.copy().kept()));
        m_core.metrics.set("trefoilstile_table_rows", labels, static_cast<double>(m_watch.copy().size()));
        m_core.metrics.set("trefoilstile_table_read_from_store", labels, readsStore() ? 1 : 0);
        m_core.metrics.set("trefoilstile_table_behind", labels, m_lag.highest() > position ? 1 : 0);
    }

private:
    /// How long after other instances the store may answer a pending read. A slow store and a busy instance take some hundred milliseconds.
    static constexpr base::Duration s_pollTolerance = std::chrono::seconds(1);

    static void addPosition(LogLine &line, std::string_view version, std::string_view era, feed::Position position)
    {
        line.number(version, static_cast<std::int64_t>(position.version)).number(era, static_cast<std::int64_t>(position.era));
    }

    void logEra(feed::Position before, std::size_t changedRows)
    {
        LogLine line("store_era");
        line.text("table", m_name);
        addPosition(line, "version", "era", m_watch.copy().position());
        addPosition(line, "former_version", "former_era", before);
        line.number("rows_changed", static_cast<std::int64_t>(changedRows)).number("rows_kept", static_cast<std::int64_t>(m_watch.copy().kept()));
        m_core.log.write(line, http::now(), true);
        m_core.metrics.increment("trefoilstile_store_eras_begun_total", {{"table", m_name}});
    }

    boost::asio::awaitable<void> catchUp(std::string address)
    {
        const feed::Position known = m_watch.copy().position();
        std::optional<StoreResult> result = co_await m_router.readOnce(address, m_name, known);
        const bool fromInstance = result.has_value();
        if (!result) {
            result = checkedEra(co_await m_store.readChanges(m_name, known, base::Duration::zero()), known);
        }
        LogLine line("caught_up");
        line.text("table", m_name)
            .text("source", fromInstance ? address : "store")
            .flag("succeeded", result->status == StoreStatus::Ok)
            .number("rows", static_cast<std::int64_t>(result->rows.size()));
        addPosition(line, "known_version", "known_era", known);
        addPosition(line, "heard_version", "heard_era", m_lag.highest());
        m_core.log.write(line, http::now());
        m_core.metrics.increment("trefoilstile_catch_ups_total", {{"table", m_name}, {"source", fromInstance ? "instance" : "store"}});
        if (!result->rows.empty() && !m_caughtUpAt) {
            m_caughtUpAt = http::now();
        }
        m_watch.merge(std::move(*result));
    }

    EntryCore &m_core;
    Store &m_store;
    std::string m_name;
    Observer m_observer;
    FeedRouter<Store> m_router;
    TableWatch<FeedRouter<Store>, Observer> m_watch;
    feed::LagMonitor m_lag;
    std::optional<base::TimePoint> m_caughtUpAt; ///< changes came from elsewhere while a read of changes at the store was pending
    feed::Position m_reportedChange;
    std::string m_loggedSource; ///< in the last log event about the source
};

} // namespace trefoilstile::proxy
