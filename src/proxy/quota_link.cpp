// Messages, log lines and metrics of quotas.

#include "trefoilstile/proxy/quota_link.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>

#include "trefoilstile/base/random.hpp"

namespace trefoilstile::proxy
{

namespace
{

/// Time between two reports. Requests that are admitted in the meantime are not known to other instances.
constexpr base::Duration s_reportPeriod = std::chrono::milliseconds(300);

/// The second aggregator gets every third report only, and the third every fifth: they have to know the use of quotas when they take over,
/// also for two at a time.
constexpr std::uint64_t s_intervalPerRank = 2;

bool isDue(std::uint64_t round, std::size_t rank)
{
    return round % (s_intervalPerRank * rank + 1) == 0;
}

/// An instance without news of its own sends every second report only, to show that it runs and to get news.
constexpr std::uint64_t s_quietInterval = 2;

/// Without a reply for this long, the second aggregator is asked as well, and after twice this time the third: those before may be lost
/// or may just have started.
constexpr base::Duration s_replyTime = std::chrono::milliseconds(700);

/// Shortest time between two messages about large changes of use.
constexpr base::Duration s_pushPause = std::chrono::milliseconds(50);

/// Shortest time between two reports, also if requests arrive much faster than the other instances know.
constexpr base::Duration s_urgentPause = std::chrono::milliseconds(50);

/// Members are ranked anew at this interval.
constexpr base::Duration s_updatePeriod = std::chrono::milliseconds(500);

constexpr std::size_t s_aggregators = 3;

/// Accounts with metrics of their own. An account keeps its series, so up to twice as many may appear over time.
constexpr std::size_t s_namedAccounts = 20;

/// Members that rank first as aggregators. The rank depends on the name, so that an instance that starts anew keeps it.
std::vector<feed::ReaderCandidate> rank(std::vector<feed::ReaderCandidate> candidates)
{
    constexpr std::uint64_t role = 0x71756f7461ULL; // "quota", so that readers of the store are others
    const auto weight = [](const feed::ReaderCandidate &candidate) {
        return base::mixBits(base::stableHash(candidate.name) ^ role);
    };
    std::sort(candidates.begin(), candidates.end(), [&weight](const auto &left, const auto &right) {
        return std::make_pair(weight(left), left.address) > std::make_pair(weight(right), right.address);
    });
    candidates.resize(std::min(candidates.size(), s_aggregators));
    return candidates;
}

} // namespace

QuotaLink::QuotaLink(EntryCore &core, base::IncarnationId incarnation)
    : m_core(core)
    , m_incarnation(incarnation)
    , m_aggregator(quotaOptions(core.settings), core.settings.failureDomain)
{
}

quota::UsageMessage QuotaLink::message(quota::UsageKind kind, std::uint64_t number) const
{
    quota::UsageMessage result;
    result.kind = kind;
    result.sender = m_core.settings.name;
    result.failureDomain = m_core.settings.failureDomain;
    result.peerAddress = m_core.settings.peerAddress;
    result.incarnation = m_incarnation;
    result.number = number;
    return result;
}

void QuotaLink::updateAccounts()
{
    if (m_configurationVersion != m_core.configuration.version) {
        m_configurationVersion = m_core.configuration.version;
        m_aggregator.setAccounts(accountQuotas(m_core.configuration));
    }
}

void QuotaLink::updateAggregators(const MemberLink &members, base::TimePoint now)
{
    if (now < m_nextUpdate) {
        return;
    }
    m_nextUpdate = now + s_updatePeriod;
    std::vector<feed::ReaderCandidate> candidates = members.readerCandidates();
    const bool self = std::any_of(candidates.begin(), candidates.end(), [this](const auto &candidate) {
        return candidate.name == m_core.settings.name;
    });
    if (!self && !m_core.stop.begun()) {
        candidates.push_back({m_core.settings.name, m_core.settings.peerAddress});
    }
    m_aggregators = rank(std::move(candidates));
    m_otherAggregators.clear();
    for (auto &[domain, contacts] : members.otherDomains(now)) {
        const bool named = std::any_of(contacts.begin(), contacts.end(), [](const auto &contact) {
            return !contact.name.empty();
        });
        if (named) {
            std::erase_if(contacts, [](const auto &contact) {
                return contact.name.empty();
            });
            m_otherAggregators[domain] = rank(std::move(contacts));
        } else {
            m_otherAggregators[domain] = membership::sample(std::move(contacts), 1, m_core.random);
        }
    }
}

void QuotaLink::tick(MemberLink &members, base::TimePoint now)
{
    m_core.quota.setMembers(m_core.members.value());
    std::set<std::string_view> domains;
    for (const auto &[domain, region] : m_core.settings.regions) {
        domains.insert(domain);
    }
    domains.insert(m_core.settings.failureDomain);
    m_aggregator.setFleet(m_core.members.value(), m_core.domainMembers.value(), domains.size() - 1);
    updateAccounts();
    logChanges(now);
    if (m_core.quota.active() && now >= m_nextReport) {
        exchangeNews(members, now);
    } else {
        reportIfUrgent(members, now);
    }
}

void QuotaLink::reportIfUrgent(MemberLink &members, base::TimePoint now)
{
    if (m_core.quota.urgent() && now >= m_reportedAt + s_urgentPause) {
        exchangeNews(members, now);
    }
}

void QuotaLink::exchangeNews(MemberLink &members, base::TimePoint now)
{
    m_reportedAt = now;
    m_nextReport = now + s_reportPeriod;
    ++m_round;
    updateAggregators(members, now);
    sendReport(members, now);
    sendSums(members, now);
}

void QuotaLink::sendReport(MemberLink &members, base::TimePoint now)
{
    quota::UsageMessage report = message(quota::UsageKind::Member, 0);
    report.usages = m_core.quota.report(now);
    report.number = m_core.quota.reportNumber();
    const auto newsAge = m_core.quota.newsAge(now);
    const auto unanswered = [&newsAge](std::size_t rank) {
        return newsAge ? *newsAge > rank * s_replyTime : rank == 1;
    };
    for (std::size_t rank = 0; rank < m_aggregators.size(); ++rank) {
        report.replyWanted = rank == 0 || unanswered(rank);
        const bool quiet = report.usages.empty() && !unanswered(1) && m_round % s_quietInterval != 0;
        if ((rank == 0 && quiet) || (!report.replyWanted && !isDue(m_round, rank))) {
            continue;
        }
        if (m_aggregators[rank].address == m_core.settings.peerAddress) {
            receive(members, report, now);
        } else {
            send(members, m_aggregators[rank].address, report);
        }
    }
}

void QuotaLink::sendSums(MemberLink &members, base::TimePoint now)
{
    // The sums of an aggregator that has just started are incomplete, and the other failure domains would use what is missing.
    if (m_aggregators.empty() || m_aggregators.front().address != m_core.settings.peerAddress || !m_aggregator.ready(now)) {
        return;
    }
    quota::UsageMessage sums = message(quota::UsageKind::Domain, ++m_sumsNumber);
    sums.usages = m_aggregator.domainUsages(now);
    sums.replyWanted = true; // may be passed on to the aggregator
    for (const auto &[domain, aggregators] : m_otherAggregators) {
        for (std::size_t rank = 0; rank < aggregators.size(); ++rank) {
            if (isDue(m_round, rank)) {
                send(members, aggregators[rank].address, sums);
            }
        }
    }
}

void QuotaLink::receive(MemberLink &members, const quota::UsageMessage &message, base::TimePoint now)
{
    if (!m_core.quota.active()) {
        return;
    }
    updateAccounts();
    if (message.kind == quota::UsageKind::Reply) {
        if (message.incarnation == m_incarnation) {
            m_core.quota.apply(message, now);
        }
        return;
    }
    m_aggregator.apply(message, now);
    push(members, now);
    if (message.kind == quota::UsageKind::Member) {
        if (message.replyWanted) {
            reply(members, message, now);
        }
        return;
    }
    const bool first = m_aggregators.empty() || m_aggregators.front().address == m_core.settings.peerAddress;
    if (message.replyWanted && !first) {
        quota::UsageMessage passed = message;
        passed.replyWanted = false;
        send(members, m_aggregators.front().address, passed);
    }
}

void QuotaLink::reply(MemberLink &members, const quota::UsageMessage &report, base::TimePoint now)
{
    if (!m_aggregator.ready(now)) {
        return;
    }
    quota::UsageMessage answer = message(quota::UsageKind::Reply, report.number);
    answer.incarnation = report.incarnation;
    answer.usages = m_aggregator.usagesFor(report.sender, &report, now);
    if (report.peerAddress == m_core.settings.peerAddress) {
        m_core.quota.apply(answer, now);
    } else {
        send(members, report.peerAddress, answer);
    }
}

void QuotaLink::push(MemberLink &members, base::TimePoint now)
{
    if (now < m_nextPush || m_aggregators.empty() || m_aggregators.front().address != m_core.settings.peerAddress || !m_aggregator.ready(now)) {
        return;
    }
    m_nextPush = now + s_pushPause;
    if (m_aggregator.changedMuch(now)) {
        sendSums(members, now);
    }
    struct News {
        std::string name;
        std::string address;
        quota::UsageMessage message;
    };
    std::vector<News> news;
    m_aggregator.forEachMember(now, [&](const std::string &name, const std::string &address, base::IncarnationId incarnation, std::uint64_t number) {
        news.push_back({name, address, message(quota::UsageKind::Reply, number)});
        news.back().message.incarnation = incarnation;
    });
    for (News &entry : news) {
        entry.message.usages = m_aggregator.usagesFor(entry.name, nullptr, now);
        if (entry.message.usages.empty()) {
            continue;
        }
        if (entry.address == m_core.settings.peerAddress) {
            m_core.quota.apply(entry.message, now);
        } else {
            send(members, entry.address, entry.message);
        }
    }
}

void QuotaLink::send(MemberLink &members, const std::string &address, const quota::UsageMessage &message)
{
    for (const quota::UsageMessage &part : quota::splitMessage(message)) {
        members.sendUsage(address, part);
    }
}

void QuotaLink::logChanges(base::TimePoint now)
{
    for (const quota::LimitChange &change : m_core.quota.takeChanges(now)) {
        LogLine line("quota");
        line.text("account", change.account)
            .flag("limited", change.limited)
            .real("used", change.used)
            .real("demand", change.demand)
            .real("granted", change.granted)
            .number("members", static_cast<std::int64_t>(m_core.members.value()));
        m_core.log.write(line, now);
    }
}

void QuotaLink::setGauges(base::TimePoint now)
{
    if (!m_core.quota.active()) {
        return;
    }
    const auto newsAge = m_core.quota.newsAge(now);
    m_core.metrics.set("trefoilstile_quota_news_age_seconds", {}, newsAge ? base::toSeconds(*newsAge) : -1);
    std::size_t rank = 0;
    double otherAdmitted = 0;
    double otherRefused = 0;
    for (const quota::AccountFigures &account : m_core.quota.figures(now)) {
        if (rank++ < s_namedAccounts && m_named.size() < 2 * s_namedAccounts) {
            m_named.insert(account.account);
        }
        const auto admitted = static_cast<double>(account.admitted);
        const auto refused = static_cast<double>(account.refused);
        if (!m_named.contains(account.account)) {
            otherAdmitted += admitted;
            otherRefused += refused;
            continue;
        }
        const metrics::Labels labels{{"account", account.account}};
        m_core.metrics.set("trefoilstile_quota_used", labels, account.used);
        m_core.metrics.set("trefoilstile_quota_granted", labels, account.granted);
        m_core.metrics.set("trefoilstile_quota_share", labels, account.share);
        m_core.metrics.set("trefoilstile_quota_admitted", labels, admitted);
        m_core.metrics.set("trefoilstile_quota_refused", labels, refused);
    }
    m_core.metrics.set("trefoilstile_quota_others_admitted", {}, otherAdmitted);
    m_core.metrics.set("trefoilstile_quota_others_refused", {}, otherRefused);
}

} // namespace trefoilstile::proxy
