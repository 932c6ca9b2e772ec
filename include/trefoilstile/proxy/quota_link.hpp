// Exchanges the use of quotas between this instance, the aggregators of its failure domain and those of the other failure domains.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "trefoilstile/feed/readers.hpp"
#include "trefoilstile/proxy/entry_core.hpp"
#include "trefoilstile/proxy/member_link.hpp"
#include "trefoilstile/quota/usage_aggregator.hpp"

namespace trefoilstile::proxy
{

class QuotaLink
{
public:
    QuotaLink(EntryCore &core, base::IncarnationId incarnation);

    /// Periodic work: sends reports and sums when they are due, and logs which accounts are limited. Call several times per second.
    void tick(MemberLink &members, base::TimePoint now);

    /// Sends a report if the gate asks for one; call after an admission.
    void reportIfUrgent(MemberLink &members, base::TimePoint now);

    /// Handles a message of another instance.
    void receive(MemberLink &members, const quota::UsageMessage &message, base::TimePoint now);

    /// Metrics of the largest accounts, and of the others together.
    void setGauges(base::TimePoint now);

private:
    quota::UsageMessage message(quota::UsageKind kind, std::uint64_t number) const;
    void updateAccounts();
    void updateAggregators(const MemberLink &members, base::TimePoint now);
    void exchangeNews(MemberLink &members, base::TimePoint now);
    void sendReport(MemberLink &members, base::TimePoint now);
    void sendSums(MemberLink &members, base::TimePoint now);
    void reply(MemberLink &members, const quota::UsageMessage &report, base::TimePoint now);
    /// Tells the members and the other failure domains at once when much has changed.
    void push(MemberLink &members, base::TimePoint now);
    static void send(MemberLink &members, const std::string &address, const quota::UsageMessage &message);
    void logChanges(base::TimePoint now);

    EntryCore &m_core;
    base::IncarnationId m_incarnation;
    quota::UsageAggregator m_aggregator;
    std::uint64_t m_configurationVersion{}; ///< whose quotas are in effect
    std::vector<feed::ReaderCandidate> m_aggregators; ///< of this failure domain: by rank
    std::map<std::string, std::vector<feed::ReaderCandidate>> m_otherAggregators; ///< by failure domain
    base::TimePoint m_nextUpdate; ///< of the aggregators
    base::TimePoint m_nextReport;
    base::TimePoint m_reportedAt;
    base::TimePoint m_nextPush;
    std::uint64_t m_round{};
    std::uint64_t m_sumsNumber{};
    std::set<std::string> m_named; ///< accounts with metrics of their own
};

} // namespace trefoilstile::proxy
