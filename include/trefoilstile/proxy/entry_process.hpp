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
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/http/clock.hpp"
#include "trefoilstile/http/query.hpp"
#include "trefoilstile/ingress/entry_list.hpp"
#include "trefoilstile/proxy/activity.hpp"
#include "trefoilstile/proxy/caller_listener.hpp"
#include "trefoilstile/proxy/capacity_meter.hpp"
#include "trefoilstile/proxy/fleet_register.hpp"
#include "trefoilstile/proxy/followed_table.hpp"
#include "trefoilstile/proxy/member_link.hpp"
#include "trefoilstile/proxy/member_log.hpp"
#include "trefoilstile/proxy/platform_adapter.hpp"
#include "trefoilstile/proxy/quota_link.hpp"
#include "trefoilstile/proxy/request_explainer.hpp"
#include "trefoilstile/proxy/table_rows.hpp"

namespace trefoilstile::proxy
{

template<PlatformAdapter Platform>
class EntryProcess
{
public:
    EntryProcess(boost::asio::io_context &context, Settings settings)
        : m_seed(std::random_device{}() + (static_cast<std::uint64_t>(std::random_device{}()) << 32U))
        , m_core(context, std::move(settings), Platform::headerNames(), m_seed)
        , m_store(context, m_core.settings.storeAddress)
        , m_register(m_core, m_store)
        , m_operator(m_core, m_store, OperatorRows<Platform>(m_core), Platform::operatorTable(), feedCall(), TableWatchOptions())
        , m_upstreams(m_core, m_store, UpstreamRows<Platform>(m_core), Platform::upstreamTable(), feedCall(), watchOptions(m_core.settings.leavingBound))
        , m_incarnation{m_core.random.next()}
        , m_quotaLink(m_core, m_incarnation)
        , m_timer(context)
        , m_joinTimer(context)
        , m_signals(context, SIGTERM, SIGHUP)
        , m_lookups(context, {m_core.settings.lookupAddress, s_lookupConnections, s_requestTimeout})
        , m_readiness(context, {m_core.settings.readinessAddress, s_lookupConnections, s_requestTimeout})
        , m_metrics(context, {m_core.settings.metricsAddress, s_lookupConnections, s_requestTimeout})
        , m_callers(m_core)
        , m_capacityMeter(m_core)
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
        forEachTable([](auto &table) {
            table.start();
        });
        spawnSupervised(m_core, "join", [this]() {
            return join();
        });
        awaitSignal();
        tick();
    }

    /// Logs an exception that left a handler of the event loop. The loop may run again.
    void handlerFailed(std::string_view error)
    {
        logActivityFailure(m_core, "event_loop", error);
    }

    /// Reads the settings again; called on SIGHUP. Set before `start`. Errors derive from `base::Error`.
    std::function<Settings()> reload;

private:
    static constexpr base::Duration s_tickPeriod = std::chrono::milliseconds(100);
    static constexpr base::Duration s_reportPeriod = std::chrono::milliseconds(300); ///< shorter than the time constant of the loads
    static constexpr std::size_t s_tables = 2; ///< that `forEachTable` visits
    static constexpr std::size_t s_maximumLoadsPerReport = 45; ///< fits into one datagram together with `s_maximumLeavingPerReport`
    static constexpr std::size_t s_maximumLoadsWithSpeed = 36; ///< the same where upstreams report their speed
    static constexpr std::size_t s_maximumLeavingPerReport = 25;
    static constexpr std::size_t s_maximumLimitsPerReport = 2; ///< services; deployments have one or two
    /// After the join, readers are chosen from the registered instances until this share of them is known to run, or the time is
    /// over. Otherwise every instance would consider itself a reader while all start.
    static constexpr double s_settledShare = 0.6;
    static constexpr base::Duration s_settleTime = std::chrono::seconds(3); ///< members are known within two seconds of a start
    /// When the whole system starts for the first time, all instances register within a second, and no caller waits for them.
    static constexpr base::Duration s_firstStartPause = std::chrono::seconds(1);
    static constexpr base::Duration s_joinPause = std::chrono::milliseconds(500);
    static constexpr base::Duration s_requestTimeout = std::chrono::seconds(10);
    static constexpr std::size_t s_lookupConnections = 512; ///< for each of the lookup, readiness and metrics servers

    /// Pause between two searches of the register by an instance that knows no other, the shortest and the longest.
    static constexpr base::Duration s_searchPause = std::chrono::seconds(3);
    static constexpr base::Duration s_maximumSearchPause = std::chrono::minutes(1);

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
        m_metrics.handle("/v1/explain-request", [this](std::string_view query) {
            const auto request = parseExplainedRequest(query);
            return request ? http::OperatorResponse{200, "application/json", explainRequest(m_core, *request, http::now())}
                           : http::OperatorResponse{400, "application/json", R"({"error":"host, path and well-formed values are needed"})"};
        });
        forEachTable([this](auto &table) {
            m_feedServer.addTable(table.name(), table.served([this] {
                return m_core.stop.begun();
            }));
            table.setChangeHandler([this, &table] {
                m_feedServer.tableChanged(table.name());
                m_nextReport = std::min(m_nextReport, http::now());
            });
        });
    }

    template<typename Function>
    void forEachTable(Function function)
    {
        function(m_operator);
        function(m_upstreams);
    }

    FeedCall feedCall()
    {
        return [this](std::string address, peer::FeedRequest request, base::Duration timeout) {
            return requestFeed(std::move(address), std::move(request), timeout);
        };
    }

    boost::asio::awaitable<std::optional<peer::FeedResponse>> requestFeed(std::string address, peer::FeedRequest request, base::Duration timeout)
    {
        if (!m_members) {
            co_return std::nullopt;
        }
        co_return co_await m_members->requestFeed(std::move(address), std::move(request), timeout);
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
        forEachTable([](auto &table) {
            table.setGauges();
        });
        m_quotaLink.setGauges(http::now());
        m_capacityMeter.setGauges();
        m_core.metrics.set("trefoilstile_feed_requests_waiting", {}, static_cast<double>(m_feedServer.waiting()));
        m_core.metrics.set("trefoilstile_response_bytes_held", {}, static_cast<double>(m_core.responseBudget->held));
        m_core.metrics.set("trefoilstile_log_lines_dropped", {}, static_cast<double>(m_core.log.dropped()));
    }

    /// Joins the membership: creates or reads the peer key in the store, registers this instance and contacts the registered
    /// ones. Retries until that succeeds.
    boost::asio::awaitable<void> join()
    {
        while (!m_members && !m_core.stop.begun()) {
            const bool joined = co_await tryJoin();
            if (!joined) {
                co_await sleep(base::jittered(s_joinPause, 0.5, m_core.random));
            }
        }
    }

    boost::asio::awaitable<bool> tryJoin()
    {
        const std::optional<std::string> key = co_await m_register.readKey();
        if (!key) {
            co_return false;
        }
        std::optional<std::vector<RegisteredInstance>> registered;
        if (m_core.settings.firstStart) {
            const bool written = co_await m_register.write();
            if (!written) {
                co_return false;
            }
            co_await sleep(s_firstStartPause);
            registered = co_await m_register.read();
        } else {
            registered = co_await m_register.join();
        }
        if (!registered) {
            co_return false;
        }
        const std::vector<std::string> seeds = otherAddresses(*registered, m_core.settings.peerAddress);
        m_registered.clear();
        for (const RegisteredInstance &instance : *registered) {
            if (instance.registration.failureDomain == m_core.settings.failureDomain) {
                m_registered.push_back({instance.name, instance.registration.peerAddress});
            }
        }
        // Until members have been contacted, all registered instances are assumed to be running.
        m_core.members.observe(seeds.size() + 1, http::now());
        m_core.domainMembers.observe(std::max<std::size_t>(1, m_registered.size()), http::now());
        m_joinedAt = http::now();
        m_nextSearch = m_joinedAt + s_searchPause;
        m_members = std::make_unique<MemberLink>(m_core.context, m_core.settings, *key, m_incarnation, seeds, m_core.random.next());
        m_members->reportReceived = [this](const FleetReport &report) {
            applyReport(report);
        };
        m_core.reportQuota = [this] {
            m_quotaLink.reportIfUrgent(*m_members, http::now());
        };
        m_members->usageReceived = [this](const quota::UsageMessage &message) {
            m_quotaLink.receive(*m_members, message, http::now());
        };
        m_members->feedRequested = [this](peer::FeedRequest request, FeedServer::Reply reply) {
            m_feedServer.handle(std::move(request), std::move(reply), http::now());
        };
        updateReaders();
        LogLine line("joined");
        line.number("registered", static_cast<std::int64_t>(registered->size()));
        m_core.log.write(line, http::now(), true);
        co_return true;
    }

    /// Looks for instances that have registered since the join, while no other member is known.
    boost::asio::awaitable<void> searchMembers()
    {
        const std::optional<std::vector<RegisteredInstance>> registered = co_await m_register.read();
        if (registered) {
            for (const std::string &address : otherAddresses(*registered, m_core.settings.peerAddress)) {
                m_members->addSeed(address);
            }
        }
    }

    void searchMembersWhileAlone(base::TimePoint now)
    {
        if (m_members->memberCount(now) > 1) {
            m_nextSearch = now + s_searchPause;
            m_searchPause = s_searchPause;
        } else if (now >= m_nextSearch) {
            m_searchPause = std::min(m_searchPause * 2, s_maximumSearchPause);
            m_nextSearch = now + base::jittered(m_searchPause, 0.5, m_core.random);
            spawnOnce(
                m_core,
                "search_members",
                [this]() {
                    return searchMembers();
                },
                [] {});
        }
    }

    boost::asio::awaitable<void> sleep(base::Duration duration)
    {
        boost::system::error_code ignored; // the timer is not cancelled
        m_joinTimer.expires_after(duration);
        co_await m_joinTimer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }

    void applyReport(const FleetReport &report)
    {
        const base::TimePoint now = http::now();
        for (const ingress::LoadObservation &load : report.loads) {
            m_core.upstreamTable.applyLoadObservation(load, now);
        }
        for (const std::uint64_t run : report.leavingRuns) {
            m_core.upstreamTable.applyLeavingNotice(run, now);
        }
        for (const ingress::ConnectionLoadLimit &limit : report.connectionLimits) {
            m_core.upstreamTable.applyConnectionLoadLimit(limit, now);
        }
        for (const KnownTable &known : report.tables) {
            forEachTable([&](auto &table) {
                table.heard(known, report.peerAddress, now);
            });
        }
    }

    void sendReports(base::TimePoint now)
    {
        if (now < m_nextReport) {
            return;
        }
        m_nextReport = now + s_reportPeriod;
        FleetReport report;
        report.loads =
            m_core.upstreamTable.takeLoadObservations(m_core.upstreamTable.speedsReported() ? s_maximumLoadsWithSpeed : s_maximumLoadsPerReport, now);
        report.leavingRuns = m_core.upstreamTable.leavingNotices(s_maximumLeavingPerReport, now);
        report.connectionLimits = m_core.upstreamTable.connectionLoadLimits(s_maximumLimitsPerReport, now);
        bool news = !report.leavingRuns.empty();
        bool reader = false;
        forEachTable([&](auto &table) {
            report.tables.push_back(table.known());
            news = table.takeNews() || news;
            reader = reader || table.readsStore();
        });
        if (!report.loads.empty() || news) {
            m_members->sendReport(report);
        }
        if (reader && news) {
            report.loads.clear(); // only instances of one failure domain share loads
            m_members->sendReportToOtherDomains(report, now);
        }
    }

    /// Chooses the readers of this failure domain: from the members, or from the register until the members are known.
    void updateReaders()
    {
        const std::vector<feed::ReaderCandidate> members = m_members->readerCandidates();
        const bool known = static_cast<double>(members.size()) >= s_settledShare * static_cast<double>(m_registered.size());
        m_settled = m_settled || known || http::now() >= m_joinedAt + s_settleTime;
        const feed::Readers readers = feed::chooseReaders(m_settled ? members : m_registered, m_core.settings.name);
        std::size_t number = 0;
        forEachTable([&](auto &table) {
            table.setReaders(readers, number++, s_tables);
        });
    }

    /// Periodic work. The next call is scheduled first, so that an exception does not end the series.
    void tick()
    {
        const base::TimePoint now = http::now();
        m_timer.expires_after(s_tickPeriod);
        m_timer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                tick();
            }
        });
        m_core.advance(now);
        m_feedServer.advance(now);
        m_capacityMeter.tick(m_callers.bodyBudget(), now);
        if (m_members) {
            m_members->reportSpareCapacity(ingress::spareCapacity(m_core.measuredRequests.capacity(), m_core.requestRate.perSecond()));
            m_members->tick(now);
            observeMembers(now);
            if (!m_settled) {
                updateReaders();
            }
            searchMembersWhileAlone(now);
            sendReports(now);
            m_quotaLink.tick(*m_members, now);
            forEachTable([now](auto &table) {
                table.checkLag(now);
                table.logSource(now);
            });
        }
        const bool idle = m_core.sessions == 0 && m_core.requests == 0 && m_stopSince && now - *m_stopSince > m_core.settings.lookupLifetime;
        if (m_core.stop.expired(now) || idle) {
            LogLine line("stop");
            line.number("requests_left", static_cast<std::int64_t>(m_core.requests));
            m_core.log.write(line, now, true);
            m_core.log.flush();
            m_core.context.stop();
        }
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
        }
        m_memberLog.observe(m_members->members(), m_core.log, now);
        m_core.placement.setMembers(std::move(others), m_core.domainMembers.value());
        updateReaders();
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

    std::uint64_t m_seed;
    EntryCore m_core;
    typename Platform::Store m_store;
    FleetRegister<typename Platform::Store> m_register;
    std::unique_ptr<MemberLink> m_members; ///< null until joined
    FollowedTable<typename Platform::Store, OperatorRows<Platform>> m_operator;
    FollowedTable<typename Platform::Store, UpstreamRows<Platform>> m_upstreams;
    FeedServer m_feedServer;
    base::IncarnationId m_incarnation;
    QuotaLink m_quotaLink;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_joinTimer;
    boost::asio::signal_set m_signals;
    http::OperatorServer m_lookups;
    http::OperatorServer m_readiness;
    http::OperatorServer m_metrics;
    CallerListener m_callers;
    CapacityMeter m_capacityMeter;
    MemberLog m_memberLog;
    std::uint64_t m_membersVersion = ~0ULL; ///< version of the member table that `observeMembers` last handled
    std::optional<base::TimePoint> m_stopSince; ///< time of SIGTERM
    base::TimePoint m_nextReport;
    std::vector<feed::ReaderCandidate> m_registered; ///< instances of this failure domain in the register at the join
    base::TimePoint m_joinedAt;
    base::TimePoint m_nextSearch; ///< earliest next search of the register while no other member is known
    base::Duration m_searchPause = s_searchPause;
    bool m_settled = false; ///< the members are known well enough to choose readers from them
};

} // namespace trefoilstile::proxy
