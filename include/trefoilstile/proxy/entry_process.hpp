// The entry process: one event loop that follows the store, takes part in membership and serves callers.
//
// A platform adapter provides access to the store and decodes its rows; all decisions are made in this class and in the
// libraries that it uses.
#pragma once

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <exception>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/http/clock.hpp"
#include "trefoilstile/http/query.hpp"
#include "trefoilstile/ingress/entry_list.hpp"
#include "trefoilstile/proxy/caller_listener.hpp"
#include "trefoilstile/proxy/member_link.hpp"
#include "trefoilstile/proxy/table_watch.hpp"

namespace trefoilstile::proxy
{

/// Request of a caller for the addresses of entry instances; the fields are the caller's location.
struct EntryLookup {
    std::string region;
    std::string failureDomain;
};

/// Interface of a platform adapter.
// clang-format off
template<typename T>
concept PlatformAdapter = RowStore<typename T::Store> && requires(std::string_view text, const StoreRow &row, const std::vector<std::string> &addresses, base::Duration lifetime)
{
    { T::headerNames() } -> std::same_as<HeaderNames>;
    { T::operatorTable() } -> std::convertible_to<std::string>;
    { T::upstreamTable() } -> std::convertible_to<std::string>;
    { T::lookupPath() } -> std::convertible_to<std::string>;
    { T::readinessPath() } -> std::convertible_to<std::string>;
    { T::isConfiguration(text) } -> std::same_as<bool>; ///< whether an operator row with this key holds the configuration
    { T::evacuatedDomain(text) } -> std::same_as<std::optional<std::string>>; ///< failure domain that an operator row with this key evacuates
    { T::decodeConfiguration(text) } -> std::same_as<ingress::Configuration>; ///< throws `base::Error`
    { T::decodeUpstream(row) } -> std::same_as<ingress::UpstreamReport>; ///< throws `base::Error`
    { T::decodeLookup(text) } -> std::same_as<EntryLookup>; ///< from the query string of a lookup
    { T::encodeEntries(addresses, lifetime) } -> std::same_as<std::string>; ///< body of the response to a lookup
};
// clang-format on

template<PlatformAdapter Platform>
class EntryProcess
{
public:
    EntryProcess(boost::asio::io_context &context, Settings settings)
        : m_seed(std::random_device{}() + (static_cast<std::uint64_t>(std::random_device{}()) << 32U))
        , m_core(context, std::move(settings), Platform::headerNames(), m_seed)
        , m_store(context, m_core.settings.storeAddress)
        , m_operatorObserver{*this}
        , m_upstreamObserver{*this}
        , m_operatorWatch(context, m_store, m_operatorObserver, Platform::operatorTable(), m_core.random.next())
        , m_upstreamWatch(context, m_store, m_upstreamObserver, Platform::upstreamTable(), m_core.random.next(), watchOptions(m_core.settings.leavingBound))
        , m_incarnation{m_core.random.next()}
        , m_timer(context)
        , m_joinTimer(context)
        , m_signals(context, SIGTERM, SIGHUP)
        , m_lookups(context, {m_core.settings.lookupAddress, s_lookupConnections, s_requestTimeout})
        , m_readiness(context, {m_core.settings.readinessAddress, s_lookupConnections, s_requestTimeout})
        , m_metrics(context, {m_core.settings.metricsAddress, s_lookupConnections, s_requestTimeout})
        , m_callers(m_core)
    {
        setHandlers();
    }

    /// Starts all activities. The event loop is stopped when the stop that SIGTERM requests has completed.
    void start()
    {
        LogLine line("start");
        line.text("name", m_core.settings.name)
            .text("region", m_core.settings.region)
            .text("failure_domain", m_core.settings.failureDomain)
            .text("incarnation", base::toHex(m_incarnation))
            .text("store", m_core.settings.storeAddress);
        m_core.log.write(line, http::now(), true);
        spawn([this]() {
            return m_operatorWatch.run();
        });
        spawn([this]() {
            return m_upstreamWatch.run();
        });
        spawn([this]() {
            return join();
        });
        awaitSignal();
        tick();
    }

    /// Reads the settings again; called on SIGHUP. Set before `start`. Errors derive from `base::Error`.
    std::function<Settings()> reload;

private:
    static constexpr base::Duration s_tickPeriod = std::chrono::milliseconds(100);
    static constexpr base::Duration s_loadReportPeriod = std::chrono::milliseconds(300); ///< shorter than the time constant of the loads
    static constexpr std::size_t s_maximumLoadsPerReport = 50; ///< number of loads that fit into one datagram
    static constexpr base::Duration s_joinPause = std::chrono::milliseconds(500);
    static constexpr base::Duration s_requestTimeout = std::chrono::seconds(10);
    static constexpr std::size_t s_lookupConnections = 512; ///< for each of the lookup, readiness and metrics servers

    /// Tables that the entry processes maintain themselves. The peer key authenticates messages between instances; any process
    /// that may write to the store can join.
    static constexpr const char *s_keyTable = "trefoilstile-keys";
    static constexpr const char *s_keyRow = "peer-key";
    static constexpr const char *s_memberTable = "trefoilstile-members";

    /// Row of an instance in the member table: the peer address and the failure domain, separated by a space.
    struct Registration {
        std::string peerAddress;
        std::string failureDomain;

        std::string text() const
        {
            return peerAddress + ' ' + failureDomain;
        }
        static Registration fromText(const std::string &text)
        {
            const auto space = std::min(text.find(' '), text.size());
            return {text.substr(0, space), text.substr(std::min(space + 1, text.size()))};
        }
    };

    struct OperatorObserver {
        EntryProcess &process;
        void rowChanged(const StoreRow &row)
        {
            process.applyOperatorRow(row);
        }
        void tableRead()
        {
        }
        void storeLost(std::string_view detail)
        {
            process.logDependency("store_lost", Platform::operatorTable(), detail);
        }
        void storeRegained()
        {
            process.logDependency("store_regained", Platform::operatorTable(), {});
        }
    };

    struct UpstreamObserver {
        EntryProcess &process;
        void rowChanged(const StoreRow &row)
        {
            process.applyUpstreamRow(row);
        }
        void tableRead()
        {
            process.m_core.upstreamsKnown = true;
        }
        void storeLost(std::string_view detail)
        {
            process.m_core.upstreamTable.setSourceAvailable(false, http::now());
            process.logDependency("store_lost", Platform::upstreamTable(), detail);
        }
        void storeRegained()
        {
            process.m_core.upstreamTable.setSourceAvailable(true, http::now());
            process.logDependency("store_regained", Platform::upstreamTable(), {});
        }
    };

    template<typename Function>
    void spawn(Function function)
    {
        boost::asio::co_spawn(m_core.context, std::move(function), boost::asio::detached);
    }

    void setHandlers()
    {
        m_lookups.handle(Platform::lookupPath(), [this](std::string_view query) {
            return lookup(query);
        });
        m_readiness.handle(Platform::readinessPath(), [this](std::string_view) {
            return http::OperatorResponse{static_cast<std::uint16_t>(ready() ? 200 : 503), "text/plain", ready() ? "ready\n" : "not ready\n"};
        });
        m_metrics.handle("/metrics", [this](std::string_view) {
            setGauges();
            return http::OperatorResponse{200, "text/plain; version=0.0.4", m_core.metrics.prometheusText()};
        });
    }

    bool ready() const
    {
        return m_core.routes && m_core.upstreamsKnown && !m_core.stop.begun();
    }

    http::OperatorResponse lookup(std::string_view query)
    {
        const EntryLookup request = Platform::decodeLookup(query);
        std::vector<std::string> addresses;
        if (m_members) {
            addresses = ingress::sampleEntryAddresses(ingress::entryCandidates(m_members->members(), request.region, request.failureDomain), m_core.random);
        } else if (ready()) {
            addresses.push_back(m_core.settings.callerAddress); // before joining, this is the only known instance
        }
        m_core.metrics.increment("trefoilstile_lookups_total", {{"answered", addresses.empty() ? "no" : "yes"}});
        if (addresses.empty()) {
            return {503, "text/plain", "no entry instance is known\n"};
        }
        return {200, "application/json", Platform::encodeEntries(addresses, m_core.settings.lookupLifetime)};
    }

    void setGauges()
    {
        m_core.metrics.set("trefoilstile_configuration_version", {}, static_cast<double>(m_core.configuration.version));
        m_core.metrics.set("trefoilstile_upstreams", {}, static_cast<double>(m_core.upstreamTable.size()));
        m_core.metrics.set("trefoilstile_members", {}, static_cast<double>(m_core.members.value()));
        m_core.metrics.set("trefoilstile_caller_connections", {}, static_cast<double>(m_core.sessions));
        m_core.metrics.set("trefoilstile_requests_in_service", {}, static_cast<double>(m_core.requests));
        m_core.metrics.set("trefoilstile_log_lines_dropped", {}, static_cast<double>(m_core.log.dropped()));
    }

    void logDependency(std::string_view event, std::string_view table, std::string_view detail)
    {
        LogLine line(event);
        line.text("table", table).text("detail", detail).number("configuration", static_cast<std::int64_t>(m_core.configuration.version));
        m_core.log.write(line, http::now(), true);
    }

    void applyOperatorRow(const StoreRow &row)
    {
        const base::TimePoint now = http::now();
        if (const auto domain = Platform::evacuatedDomain(row.key)) {
            if (row.removed) {
                m_evacuated.erase(*domain);
            } else {
                m_evacuated.insert(*domain);
            }
            m_core.upstreamTable.setEvacuated(m_evacuated, now);
            LogLine line("evacuation");
            line.text("failure_domain", *domain).flag("evacuated", !row.removed).number("store_version", static_cast<std::int64_t>(row.version));
            m_core.log.write(line, now, true);
            return;
        }
        if (!Platform::isConfiguration(row.key) || row.removed) {
            return; // after the removal of the row the last configuration stays in effect
        }
        LogLine line("configuration");
        line.number("store_version", static_cast<std::int64_t>(row.version));
        try {
            ingress::Configuration configuration = Platform::decodeConfiguration(row.value);
            const std::uint64_t version = configuration.version;
            const std::size_t routes = configuration.routes.size();
            const bool applied = m_core.applyConfiguration(std::move(configuration), now);
            line.number("version", static_cast<std::int64_t>(version)).number("routes", static_cast<std::int64_t>(routes)).flag("applied", applied);
        } catch (const base::Error &error) {
            line.flag("applied", false).text("error", error.what()).number("kept", static_cast<std::int64_t>(m_core.configuration.version));
        }
        m_core.log.write(line, now, true);
    }

    void applyUpstreamRow(const StoreRow &row)
    {
        const base::TimePoint now = http::now();
        LogLine line("upstream");
        line.text("upstream", row.key).number("store_version", static_cast<std::int64_t>(row.version));
        if (row.removed) {
            m_core.upstreamTable.remove(row.key, now);
            line.text("state", "removed");
        } else {
            try {
                const ingress::UpstreamReport report = Platform::decodeUpstream(row);
                m_core.upstreamTable.report(report, now);
                line.text("state", report.draining ? "draining" : "ready")
                    .text("service", report.service)
                    .text("address", report.address)
                    .text("failure_domain", report.failureDomain)
                    .milliseconds("warm_up_ms", report.warmUpLeft);
            } catch (const base::Error &error) {
                // A row that cannot be decoded describes no usable upstream.
                m_core.upstreamTable.remove(row.key, now);
                line.text("state", "unreadable").text("error", error.what());
            }
        }
        m_core.log.write(line, now);
    }

    /// Joins the membership: creates or reads the peer key in the store, registers this instance and contacts the registered
    /// ones. Retries until that succeeds.
    boost::asio::awaitable<void> join()
    {
        while (!m_members && !m_core.stop.begun()) {
            const bool joined = co_await tryJoin();
            if (!joined) {
                boost::system::error_code ignored;
                m_joinTimer.expires_after(base::jittered(s_joinPause, 0.5, m_core.random));
                co_await m_joinTimer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
            }
        }
    }

    boost::asio::awaitable<bool> tryJoin()
    {
        StoreResult keys = co_await m_store.readAll(s_keyTable);
        if (keys.status == StoreStatus::Ok && keys.rows.empty()) {
            const std::string newKey = base::toHex({m_core.random.next()}) + base::toHex({m_core.random.next()});
            co_await m_store.writeIf(s_keyTable, s_keyRow, newKey, 0); // fails if another instance has created the key meanwhile
            keys = co_await m_store.readAll(s_keyTable);
        }
        if (keys.status != StoreStatus::Ok || keys.rows.empty()) {
            co_return false;
        }
        const Registration own{m_core.settings.peerAddress, m_core.settings.failureDomain};
        const StoreResult written = co_await m_store.write(s_memberTable, m_core.settings.name, own.text());
        if (written.status != StoreStatus::Ok) {
            co_return false;
        }
        const StoreResult rows = co_await m_store.readAll(s_memberTable);
        if (rows.status != StoreStatus::Ok) {
            co_return false;
        }
        std::vector<std::string> seeds;
        std::size_t inDomain = 0;
        for (const StoreRow &row : rows.rows) {
            const Registration other = Registration::fromText(row.value);
            inDomain += other.failureDomain == own.failureDomain ? 1 : 0;
            if (other.peerAddress != own.peerAddress) {
                seeds.push_back(other.peerAddress);
            }
        }
        // Until members have been contacted, all registered instances are assumed to be running.
        m_core.members.observe(rows.rows.size(), http::now());
        m_core.domainMembers.observe(inDomain, http::now());
        m_members = std::make_unique<MemberLink>(m_core.context, m_core.settings, keys.rows.front().value, m_incarnation, seeds, m_core.random.next());
        m_members->loadReported = [this](const ingress::LoadObservation &observation) {
            m_core.upstreamTable.applyLoadObservation(observation, http::now());
        };
        LogLine line("joined");
        line.number("registered", static_cast<std::int64_t>(rows.rows.size()));
        m_core.log.write(line, http::now(), true);
        co_return true;
    }

    void tick()
    {
        const base::TimePoint now = http::now();
        m_core.advance(now);
        if (m_members) {
            m_members->reportSpareCapacity(ingress::spareCapacity(ingress::instanceCapacity(m_core.settings.resources), m_core.requestRate.perSecond()));
            m_members->tick(now);
            observeMembers(now);
            if (now >= m_nextLoadReport) {
                m_nextLoadReport = now + s_loadReportPeriod;
                m_members->reportLoads(m_core.upstreamTable.takeLoadObservations(s_maximumLoadsPerReport, now));
            }
        }
        const bool idle = m_core.sessions == 0 && m_core.requests == 0 && m_stopSince && now - *m_stopSince > m_core.settings.lookupLifetime;
        if (m_core.stop.expired(now) || idle) {
            LogLine line("stop");
            line.number("requests_left", static_cast<std::int64_t>(m_core.requests));
            m_core.log.write(line, now, true);
            m_core.log.flush();
            m_core.context.stop();
            return;
        }
        m_timer.expires_after(s_tickPeriod);
        m_timer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                tick();
            }
        });
    }

    void observeMembers(base::TimePoint now)
    {
        m_core.members.observe(m_members->memberCount(now), now);
        m_core.domainMembers.observe(m_members->domainMemberCount(), now);
        if (m_members->members().version() == m_membersVersion) {
            return;
        }
        m_membersVersion = m_members->members().version();
        std::vector<std::uint64_t> others;
        for (const auto &[incarnation, member] : m_members->members().entries()) {
            if (incarnation != m_incarnation && member.isAlive() && member.info.failureDomain == m_core.settings.failureDomain) {
                others.push_back(base::stableHash(member.info.name));
            }
            LoggedMember &logged = m_loggedMembers[incarnation];
            const LoggedMember current{member.status.state, member.isLeaving()};
            if (logged != current) {
                logged = current;
                LogLine line("member");
                line.text("name", member.info.name)
                    .text("failure_domain", member.info.failureDomain)
                    .text("state",
                        current.state == membership::MemberState::Alive         ? "alive"
                            : current.state == membership::MemberState::Suspect ? "suspect"
                                                                                : "dead")
                    .flag("leaving", current.leaving);
                m_core.log.write(line, now);
            }
        }
        std::erase_if(m_loggedMembers, [this](const auto &entry) {
            return m_members->members().find(entry.first) == nullptr;
        });
        m_core.placement.setMembers(std::move(others), m_core.domainMembers.value());
    }

    void awaitSignal()
    {
        m_signals.async_wait([this](const boost::system::error_code &error, int signal) {
            if (error) {
                return;
            }
            if (signal == SIGTERM) {
                beginStop();
            } else {
                reloadSettings();
            }
            awaitSignal();
        });
    }

    void beginStop()
    {
        const base::TimePoint now = http::now();
        if (m_core.stop.begun()) {
            return;
        }
        m_core.stop.begin(now, m_core.settings.stopGrace);
        m_stopSince = now;
        LogLine line("stopping");
        line.milliseconds("grace_ms", m_core.settings.stopGrace).number("requests", static_cast<std::int64_t>(m_core.requests));
        m_core.log.write(line, now, true);
        if (m_members) {
            m_members->announceLeaving(now);
        }
        m_callers.closeIdleSessions();
    }

    void reloadSettings()
    {
        LogLine line("reload");
        try {
            const Settings settings = reload();
            // Only these settings are reloaded; the others, such as names and addresses, stay unchanged while the process runs.
            m_core.settings.stopGrace = settings.stopGrace;
            m_core.settings.lookupLifetime = settings.lookupLifetime;
            m_core.settings.regions = settings.regions;
            m_core.upstreamTable.setRegions(settings.regions);
            line.flag("applied", true).milliseconds("grace_ms", settings.stopGrace);
        } catch (const base::Error &error) {
            line.flag("applied", false).text("error", error.what());
        }
        m_core.log.write(line, http::now(), true);
    }

    /// Membership state in the last log event about a member.
    struct LoggedMember {
        membership::MemberState state = membership::MemberState::Dead;
        bool leaving = false;

        friend bool operator==(const LoggedMember &, const LoggedMember &) = default;
    };

    std::uint64_t m_seed;
    EntryCore m_core;
    typename Platform::Store m_store;
    OperatorObserver m_operatorObserver;
    UpstreamObserver m_upstreamObserver;
    TableWatch<typename Platform::Store, OperatorObserver> m_operatorWatch;
    TableWatch<typename Platform::Store, UpstreamObserver> m_upstreamWatch;
    base::IncarnationId m_incarnation;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_joinTimer;
    boost::asio::signal_set m_signals;
    http::OperatorServer m_lookups;
    http::OperatorServer m_readiness;
    http::OperatorServer m_metrics;
    CallerListener m_callers;
    std::unique_ptr<MemberLink> m_members; ///< null until joined
    std::set<std::string, std::less<>> m_evacuated; ///< failure domains
    std::map<base::IncarnationId, LoggedMember> m_loggedMembers;
    std::uint64_t m_membersVersion = ~0ULL; ///< version of the member table that `observeMembers` last handled
    std::optional<base::TimePoint> m_stopSince; ///< time of SIGTERM
    base::TimePoint m_nextLoadReport;
};

} // namespace trefoilstile::proxy
