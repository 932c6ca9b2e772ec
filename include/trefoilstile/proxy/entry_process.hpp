// The entry process: one event loop that follows the store, takes part in membership and serves callers.
//
// A platform adapter provides access to the store and decodes its rows; all decisions are made in this class and in the
// libraries that it uses.
#pragma once

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <functional>
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
#include "trefoilstile/ingress/entry_list.hpp"
#include "trefoilstile/proxy/activity.hpp"
#include "trefoilstile/proxy/caller_listener.hpp"
#include "trefoilstile/proxy/capacity_meter.hpp"
#include "trefoilstile/proxy/fleet_join.hpp"
#include "trefoilstile/proxy/followed_table.hpp"
#include "trefoilstile/proxy/load_reports.hpp"
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
        , m_join(m_core, m_store)
        , m_operator(m_core, m_store, OperatorRows<Platform>(m_core), Platform::operatorTable(), feedCall(), operatorWatchOptions())
        , m_upstreams(
              m_core, m_store, UpstreamRows<Platform>(m_core), Platform::upstreamTable(), feedCall(), upstreamWatchOptions(m_core.settings.leavingBound))
        , m_incarnation{m_core.random.next()}
        , m_quotaLink(m_core, m_incarnation)
        , m_timer(context)
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
        m_join.start([this](const JoinedFleet &joined) {
            join(joined);
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
    /// After the join, readers are chosen from the registered instances until this share of them is known to run, or the time is
    /// over. Otherwise every instance would consider itself a reader while all start.
    static constexpr double s_settledShare = 0.6;
    static constexpr base::Duration s_settleTime = std::chrono::seconds(3); ///< members are known within two seconds of a start
    static constexpr base::Duration s_requestTimeout = std::chrono::seconds(10);
    static constexpr std::size_t s_lookupConnections = 512; ///< for each of the lookup, readiness and metrics servers

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
        const ingress::EntryCaller caller{
            request.region, request.failureDomain, m_core.routes ? m_core.routes->homes(request.host) : ingress::HomeRegions::none()};
        std::vector<std::string> addresses;
        if (m_members) {
            ingress::EntryListOptions options;
            options.membersKnown = http::now() >= m_joinedAt + s_settleTime;
            addresses = ingress::sampleEntryAddresses(ingress::entryCandidates(m_members->members(), caller, options), m_core.random, options);
        } else if (ready() && caller.mayUse(m_core.settings.region)) {
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
        m_core.setGauges();
        forEachTable([](auto &table) {
            table.setGauges();
        });
        m_quotaLink.setGauges(http::now());
        m_capacityMeter.setGauges();
        m_core.metrics.set("trefoilstile_feed_requests_waiting", {}, static_cast<double>(m_feedServer.waiting()));
    }

    /// Takes part in the membership from now on.
    void join(const JoinedFleet &joined)
    {
        const base::TimePoint now = http::now();
        const std::vector<std::string> seeds = otherAddresses(joined.registered, m_core.settings.peerAddress);
        m_registered.clear();
        for (const RegisteredInstance &instance : joined.registered) {
            if (instance.registration.failureDomain == m_core.settings.failureDomain) {
                m_registered.push_back({instance.name, instance.registration.peerAddress});
            }
        }
        // Until members have been contacted, all registered instances are assumed to be running.
        m_core.members.observe(seeds.size() + 1, now);
        m_core.domainMembers.observe(std::max<std::size_t>(1, m_registered.size()), now);
        m_joinedAt = now;
        m_members = std::make_unique<MemberLink>(m_core.context, m_core.settings, joined.peerKey, m_incarnation, seeds, m_core.random.next());
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
        line.number("registered", static_cast<std::int64_t>(joined.registered.size()));
        m_core.log.write(line, now, true);
    }

    void applyReport(const FleetReport &report)
    {
        const base::TimePoint now = http::now();
        applyLoadReport(m_core, report, now);
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
        FleetReport report = takeLoadReport(m_core, now);
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
        m_readerRank = readers.self ? std::optional(readers.rank) : std::nullopt;
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
            m_join.searchWhileFew(*m_members, now);
            m_join.restoreInEra(*m_members, std::max(m_operator.era(), m_upstreams.era()), m_readerRank, now);
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
    FleetJoin<typename Platform::Store> m_join;
    std::unique_ptr<MemberLink> m_members; ///< null until joined
    FollowedTable<typename Platform::Store, OperatorRows<Platform>> m_operator;
    FollowedTable<typename Platform::Store, UpstreamRows<Platform>> m_upstreams;
    FeedServer m_feedServer;
    base::IncarnationId m_incarnation;
    QuotaLink m_quotaLink;
    boost::asio::steady_timer m_timer;
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
    std::optional<std::size_t> m_readerRank; ///< of this instance among the readers of its failure domain
    bool m_settled = false; ///< the members are known well enough to choose readers from them
};

} // namespace trefoilstile::proxy
