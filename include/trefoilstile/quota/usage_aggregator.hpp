// Sums the use of accounts over the instances of a failure domain and over the other failure domains, and computes shares.
//
// Every instance has one. Members report to the one that ranks first and, less often, to the second, which can take over at once.
#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "trefoilstile/quota/usage.hpp"
#include "trefoilstile/quota/usage_window.hpp"

namespace trefoilstile::quota
{

class UsageAggregator
{
public:
    UsageAggregator(QuotaOptions options, std::string failureDomain);

    void setAccounts(std::span<const AccountQuota> accounts);

    /// Sets the numbers of instances in all failure domains and in this one, and of other failure domains.
    void setFleet(std::size_t members, std::size_t domainMembers, std::size_t otherDomains)
    {
        m_members = std::max<std::size_t>(1, members);
        m_domainMembers = domainMembers;
        m_otherDomains = otherDomains;
    }

    /// Applies a report of a member of this failure domain, or the sums of another failure domain. Messages that are older than one
    /// already applied are ignored.
    void apply(const UsageMessage &message, base::TimePoint now);

    /// Sums without those of the member itself: of the accounts in its report, if one is given, of all accounts that are limited, and of
    /// those whose use has changed much since the member was told.
    std::vector<AccountUsage> usagesFor(const std::string &member, const UsageMessage *report, base::TimePoint now);

    /// Sums of this failure domain for the other ones: of all accounts with much use, and of the others at longer intervals. Call once per
    /// report period, and when `changedMuch` returns true.
    std::vector<AccountUsage> domainUsages(base::TimePoint now);

    /// True if the use of an account in this failure domain has changed much since `domainUsages` was called.
    bool changedMuch(base::TimePoint now);

    /// Calls `visit` with the address, the incarnation and the last report number of each member that has reported lately.
    template<typename Visit>
    void forEachMember(base::TimePoint now, Visit visit) const
    {
        for (const auto &[name, source] : m_sources) {
            if (now - source.heardAt <= m_options.newsLifetime) {
                visit(name, source.peerAddress, source.incarnation, source.number);
            }
        }
    }

    /// False until all senders had time to report after the first message, and unless half of this failure domain reports. Replies would
    /// miss their use, as those of an instance that is cut off and considers itself the only member.
    bool ready(base::TimePoint now) const;

private:
    /// Use of one account at one member, or in one other failure domain.
    struct Record {
        SlotCounts slots;
        double demand{};
        SlotCounts kept; ///< of a failure domain: counts when another aggregator of it took over
        SlotCounts missing; ///< attempts in `kept` that the present aggregator of the failure domain does not contain
        SlotCounts summed; ///< as contained in the present sums
        double announcedDemand{}; ///< of a member: as last announced to the other failure domains; of a failure domain: as continued to that time
        double share{}; ///< of the quota; reserved when the sender falls silent
        double reserved{}; ///< by the sender, for silent members of its failure domain
        double demandGrowth{}; ///< per second, between the last two messages
        SlotCounts former; ///< attempts of former incarnations
        double formerDemand{}; ///< of the former incarnation, whose share passes to the new one
        base::TimePoint formerUntil; ///< until when `formerDemand` counts
        std::uint64_t number{};
        base::TimePoint receivedAt;
    };

    struct Source {
        base::IncarnationId incarnation;
        std::string sender;
        std::string peerAddress;
        std::uint64_t number{};
        base::TimePoint heardAt;
        std::unordered_map<AccountId, Record> records;
        std::unordered_map<AccountId, double> told; ///< use of all instances that the member was told last
    };

    struct Sum {
        double target{}; ///< of the account
        SlotCounts slots; ///< members of this failure domain that report
        double demand{}; ///< members of this failure domain
        double reserved{}; ///< for silent members of this failure domain
        double announcedDemand{}; ///< as last sent to the other failure domains
        double announcedUse{}; ///< likewise
        SlotCounts otherSlots;
        double otherDemand{};
        double otherReserved{};
        double missing{}; ///< attempts of lost instances that no sender reports any more
        base::TimePoint announcedAt;
    };

    using Sources = std::map<std::string, Source, std::less<>>;

    void applyTo(Source &source, const UsageMessage &message, base::TimePoint now) const;
    double currentDemand(const Source &source, const Record &record, base::TimePoint now) const;
    void addSource(Source &source, bool member, base::TimePoint now);
    void refresh(base::TimePoint now);
    void updateShares(base::TimePoint now);
    /// Part of the target that attempts of lost instances leave to the shares.
    static double remainingPart(const Sum &sum, double target);
    /// Share of a member of this failure domain.
    double shareOf(const Source &source, const Record *record, const Sum &sum, double target, base::TimePoint now) const;
    bool announced(const Sum &sum, base::TimePoint now) const
    {
        return sum.announcedDemand > 0 && now - sum.announcedAt <= m_options.newsLifetime;
    }
    /// Share of another failure domain.
    double domainShareOf(double demand, const Sum &sum, double target, base::TimePoint now) const;
    /// Part of the quota that is kept for failure domains that have never been heard of.
    double reservedForUnknown(double target) const;
    bool hearsHalf(base::TimePoint now) const;
    bool hasChanged(const Sum &sum, double target) const;
    bool watched(const Sum &sum, double target) const;
    void forgetSilent(Sources &sources, base::TimePoint now) const;

    QuotaOptions m_options;
    std::string m_domain;
    base::Duration m_slotTime;
    std::size_t m_members = 1;
    std::size_t m_domainMembers{};
    std::size_t m_otherDomains{};
    std::unordered_map<AccountId, WindowLimits> m_limits;
    Sources m_sources; ///< members of this failure domain, by name
    Sources m_domains; ///< other failure domains, by name
    std::unordered_map<AccountId, Sum> m_sums;
    std::optional<base::TimePoint> m_refreshedAt;
    std::optional<base::TimePoint> m_firstMessageAt; ///< since the start, or since no message arrived for a while
    std::optional<base::TimePoint> m_lastMessageAt;
};

} // namespace trefoilstile::quota
