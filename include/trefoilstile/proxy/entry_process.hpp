// The entry process: one event loop that follows the store, takes part in membership and serves callers.
//
// A platform adapter gives the store's calls and the decoding of what is stored; all decisions are made here and below.
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
#include "trefoilstile/proxy/entry_servers.hpp"
#include "trefoilstile/proxy/member_link.hpp"
#include "trefoilstile/proxy/table_watch.hpp"

namespace trefoilstile::proxy
{

/// A caller's question for entry instances.
struct EntryLookup {
    std::string region;
    std::string failureDomain;
};

/// What an adapter to a platform provides.
// clang-format off
template<typename T>
concept PlatformAdapter = RowStore<typename T::Store> && requires(std::string_view text, const StoreRow &row, const std::vector<std::string> &addresses, base::Duration span)
{
    { T::headerNames() } -> std::same_as<HeaderNames>;
    { T::operatorTable() } -> std::convertible_to<std::string>;
    { T::upstreamTable() } -> std::convertible_to<std::string>;
    { T::lookupPath() } -> std::convertible_to<std::string>;
    { T::readinessPath() } -> std::convertible_to<std::string>;
    { T::isConfiguration(text) } -> std::same_as<bool>; ///< by the key of an operator's row
    { T::evacuatedDomain(text) } -> std::same_as<std::optional<std::string>>; ///< by the key of an operator's row
    { T::decodeConfiguration(text) } -> std::same_as<ingress::Configuration>; ///< throws `base::Error`
    { T::decodeUpstream(row) } -> std::same_as<ingress::UpstreamReport>; ///< throws `base::Error`
    { T::decodeLookup(text) } -> std::same_as<EntryLookup>; ///< from the query of a lookup
    { T::encodeEntries(addresses, span) } -> std::same_as<std::string>;
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

    /// Starts everything; the event loop then runs until the process is asked to stop.
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

    /// Asks for the settings to be read again.
    std::function<Settings()> reload;

private:
    static constexpr base::Duration s_tickPeriod = std::chrono::milliseconds(100);
    static constexpr base::Duration s_loadReportPeriod = std::chrono::milliseconds(300); ///< below the time constant of loads
    static constexpr std::size_t s_mostLoadsReported = 50; ///< what a datagram holds
    static constexpr base::Duration s_joinPause = std::chrono::milliseconds(500);
    static constexpr base::Duration s_requestTimeout = std::chrono::seconds(10);
    static constexpr std::size_t s_lookupConnections = 512; ///< of each small server

    /// Tables of the system's own. The key authenticates messages between instances; whoever may write to the store may
    /// take part.
    static constexpr const char *s_keyTable = "trefoilstile-keys";
    static constexpr const char *s_keyRow = "peer-key";
    static constexpr const char *s_memberTable = "trefoilstile-members";

    /// Row of an instance in the register: the peer address and the failure domain, separated by a space.
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
            process.takeOperatorRow(row);
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
            process.takeUpstreamRow(row);
        }
        void tableRead()
        {
            process.m_core.upstreamsKnown = true;
        }
        void storeLost(std::string_view detail)
        {
            process.m_core.book.setSourceAvailable(false, http::now());
            process.logDependency("store_lost", Platform::upstreamTable(), detail);
        }
        void storeRegained()
        {
            process.m_core.book.setSourceAvailable(true, http::now());
            process.logDependency("store_regained", Platform::upstreamTable(), {});
        }
    };

    template<typename Start>
    void spawn(Start start)
    {
        boost::asio::co_spawn(m_core.context, std::move(start), boost::asio::detached);
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
        const EntryLookup question = Platform::decodeLookup(query);
        std::vector<std::string> addresses;
        if (m_members) {
            addresses = ingress::sampleEntryAddresses(ingress::entryCandidates(m_members->members(), question.region, question.failureDomain), m_core.random);
        } else if (ready()) {
            addresses.push_back(m_core.settings.callerAddress); // the other instances are not known yet
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
        m_core.metrics.set("trefoilstile_upstreams", {}, static_cast<double>(m_core.book.size()));
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

    void takeOperatorRow(const StoreRow &row)
    {
        const base::TimePoint now = http::now();
        if (const auto domain = Platform::evacuatedDomain(row.key)) {
            if (row.removed) {
                m_evacuated.erase(*domain);
            } else {
                m_evacuated.insert(*domain);
            }
            m_core.book.setEvacuated(m_evacuated, now);
            LogLine line("evacuation");
            line.text("failure_domain", *domain).flag("evacuated", !row.removed).number("store_version", static_cast<std::int64_t>(row.version));
            m_core.log.write(line, now, true);
            return;
        }
        if (!Platform::isConfiguration(row.key) || row.removed) {
            return; // a configuration that is taken away leaves the last one in effect
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

    void takeUpstreamRow(const StoreRow &row)
    {
        const base::TimePoint now = http::now();
        LogLine line("upstream");
        line.text("upstream", row.key).number("store_version", static_cast<std::int64_t>(row.version));
        if (row.removed) {
            m_core.book.remove(row.key, now);
            line.text("state", "removed");
        } else {
            try {
                const ingress::UpstreamReport report = Platform::decodeUpstream(row);
                m_core.book.report(report, now);
                line.text("state", report.draining ? "draining" : "ready")
                    .text("service", report.service)
                    .text("address", report.address)
                    .text("failure_domain", report.failureDomain)
                    .milliseconds("warm_up_ms", report.warmUpLeft);
            } catch (const base::Error &error) {
                // An entry that cannot be read names no upstream to use.
                m_core.book.remove(row.key, now);
                line.text("state", "unreadable").text("error", error.what());
            }
        }
        m_core.log.write(line, now);
    }

    /// Takes part in membership: agrees on the key through the store, registers, and contacts the others.
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
            const std::string fresh = base::toHex({m_core.random.next()}) + base::toHex({m_core.random.next()});
            co_await m_store.writeIf(s_keyTable, s_keyRow, fresh, 0); // another instance may have been first
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
        // Until the others are heard of, all that are registered may run.
        m_core.members.observe(rows.rows.size(), http::now());
        m_core.domainMembers.observe(inDomain, http::now());
        m_members = std::make_unique<MemberLink>(m_core.context, m_core.settings, keys.rows.front().value, m_incarnation, seeds, m_core.random.next());
        m_members->loadHeard = [this](const ingress::LoadObservation &news) {
            m_core.book.applyLoadObservation(news, http::now());
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
                m_members->reportLoads(m_core.book.takeLoadObservations(s_mostLoadsReported, now));
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
            MemberView &known = m_memberViews[incarnation];
            const MemberView view{member.status.state, member.isLeaving()};
            if (known != view) {
                known = view;
                LogLine line("member");
                line.text("name", member.info.name)
                    .text("failure_domain", member.info.failureDomain)
                    .text("state",
                        view.state == membership::MemberState::Alive         ? "alive"
                            : view.state == membership::MemberState::Suspect ? "suspect"
                                                                             : "dead")
                    .flag("leaving", view.leaving);
                m_core.log.write(line, now);
            }
        }
        std::erase_if(m_memberViews, [this](const auto &entry) {
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
        m_callers.windDown();
    }

    void reloadSettings()
    {
        LogLine line("reload");
        try {
            const Settings settings = reload();
            // Addresses and names hold for the life of the process; the rest takes effect at once.
            m_core.settings.stopGrace = settings.stopGrace;
            m_core.settings.lookupLifetime = settings.lookupLifetime;
            m_core.settings.regions = settings.regions;
            m_core.book.setRegions(settings.regions);
            line.flag("applied", true).milliseconds("grace_ms", settings.stopGrace);
        } catch (const base::Error &error) {
            line.flag("applied", false).text("error", error.what());
        }
        m_core.log.write(line, http::now(), true);
    }

    struct MemberView {
        membership::MemberState state = membership::MemberState::Dead;
        bool leaving = false;

        friend bool operator==(const MemberView &, const MemberView &) = default;
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
    std::set<std::string, std::less<>> m_evacuated;
    std::map<base::IncarnationId, MemberView> m_memberViews;
    std::uint64_t m_membersVersion = ~0ULL;
    std::optional<base::TimePoint> m_stopSince;
    base::TimePoint m_nextLoadReport;
};

} // namespace trefoilstile::proxy
