// What the rows of the two platform tables change in the entry process: the configuration, the evacuations and the upstreams.
//
// A row that cannot be decoded is logged. The last configuration then stays in effect, and the entry describes no usable upstream.
#pragma once

#include <cstdint>
#include <exception>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "trefoilstile/http/clock.hpp"
#include "trefoilstile/proxy/entry_core.hpp"
#include "trefoilstile/proxy/platform_adapter.hpp"
#include "trefoilstile/proxy/row_store.hpp"

namespace trefoilstile::proxy
{

/// Logs that the store became unavailable or available for a table.
inline void logStoreAvailability(EntryCore &core, std::string_view event, std::string_view table, std::string_view detail)
{
    LogLine line(event);
    line.text("table", table).text("detail", detail).number("configuration", static_cast<std::int64_t>(core.configuration.version));
    core.log.write(line, http::now(), true);
}

/// Observer of the operator's table.
template<PlatformAdapter Platform>
class OperatorRows
{
public:
    explicit OperatorRows(EntryCore &core)
        : m_core(core)
    {
    }

    void rowChanged(const StoreRow &row)
    {
        if (const auto domain = Platform::evacuatedDomain(row.key)) {
            applyEvacuation(*domain, row);
        } else if (Platform::isConfiguration(row.key) && !row.removed) {
            applyConfiguration(row); // after the removal of the row the last configuration stays in effect
        }
    }

    void tableRead()
    {
    }

    void storeLost(std::string_view detail)
    {
        logStoreAvailability(m_core, "store_lost", Platform::operatorTable(), detail);
    }

    void storeRegained()
    {
        logStoreAvailability(m_core, "store_regained", Platform::operatorTable(), {});
    }

private:
    void applyEvacuation(const std::string &domain, const StoreRow &row)
    {
        const base::TimePoint now = http::now();
        if (row.removed) {
            m_evacuated.erase(domain);
        } else {
            m_evacuated.insert(domain);
        }
        m_core.upstreamTable.setEvacuated(m_evacuated, now);
        LogLine line("evacuation");
        line.text("failure_domain", domain).flag("evacuated", !row.removed).number("store_version", static_cast<std::int64_t>(row.position.version));
        m_core.log.write(line, now, true);
    }

    void applyConfiguration(const StoreRow &row)
    {
        const base::TimePoint now = http::now();
        LogLine line("configuration");
        line.number("store_version", static_cast<std::int64_t>(row.position.version));
        try {
            ingress::Configuration configuration = Platform::decodeConfiguration(row.value);
            const std::uint64_t version = configuration.version;
            const std::size_t routes = configuration.routes.size();
            const std::size_t accounts = configuration.accounts.size();
            const std::vector<std::string> unreadable = configuration.unreadable;
            const bool applied = m_core.applyConfiguration(std::move(configuration), now);
            line.number("version", static_cast<std::int64_t>(version)).number("routes", static_cast<std::int64_t>(routes));
            line.number("accounts", static_cast<std::int64_t>(accounts)).flag("applied", applied);
            if (applied) {
                logUnreadable(unreadable, version, now);
            }
        } catch (const std::exception &error) {
            line.flag("applied", false).text("error", error.what()).number("kept", static_cast<std::int64_t>(m_core.configuration.version));
        }
        m_core.log.write(line, now, true);
    }

    void logUnreadable(std::span<const std::string> entries, std::uint64_t version, base::TimePoint now)
    {
        m_core.metrics.set("trefoilstile_configuration_unreadable_entries", {}, static_cast<double>(entries.size()));
        for (const std::string &entry : entries) {
            LogLine line("configuration_entry");
            line.number("version", static_cast<std::int64_t>(version)).text("error", entry);
            m_core.log.write(line, now, true);
        }
    }

    EntryCore &m_core;
    std::set<std::string, std::less<>> m_evacuated; ///< failure domains
};

/// Observer of the table of upstreams.
template<PlatformAdapter Platform>
class UpstreamRows
{
public:
    explicit UpstreamRows(EntryCore &core)
        : m_core(core)
    {
    }

    void rowChanged(const StoreRow &row)
    {
        const base::TimePoint now = http::now();
        LogLine line("upstream");
        line.text("upstream", row.key).number("store_version", static_cast<std::int64_t>(row.position.version));
        if (row.removed) {
            m_core.upstreamTable.remove(row.key, now);
            line.text("state", "removed");
        } else {
            applyEntry(row, line, now);
        }
        m_core.log.write(line, now);
    }

    void tableRead()
    {
        m_core.upstreamsKnown = true;
    }

    void storeLost(std::string_view detail)
    {
        m_core.upstreamTable.setSourceAvailable(false, http::now());
        logStoreAvailability(m_core, "store_lost", Platform::upstreamTable(), detail);
    }

    void storeRegained()
    {
        m_core.upstreamTable.setSourceAvailable(true, http::now());
        logStoreAvailability(m_core, "store_regained", Platform::upstreamTable(), {});
    }

private:
    void applyEntry(const StoreRow &row, LogLine &line, base::TimePoint now)
    {
        try {
            const ingress::UpstreamReport report = Platform::decodeUpstream(row);
            m_core.upstreamTable.report(report, now);
            line.text("state", report.draining ? "draining" : "ready")
                .text("service", report.service)
                .text("address", report.address)
                .text("failure_domain", report.failureDomain)
                .milliseconds("warm_up_ms", report.warmUpLeft);
        } catch (const std::exception &error) {
            m_core.upstreamTable.remove(row.key, now);
            line.text("state", "unreadable").text("error", error.what());
        }
    }

    EntryCore &m_core;
};

} // namespace trefoilstile::proxy
