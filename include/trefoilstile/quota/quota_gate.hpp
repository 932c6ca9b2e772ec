// Decides at one instance whether an attempt of an account may run within the quota that all instances keep together.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "trefoilstile/base/random.hpp"
#include "trefoilstile/quota/usage.hpp"
#include "trefoilstile/quota/usage_window.hpp"

namespace trefoilstile::quota
{

struct Decision {
    bool admitted = true;
    base::Duration retryAfter{}; ///< of a refusal: when quota is expected to be free, with jitter
};

/// Start or end of the time in which a quota limits an account at this instance.
struct LimitChange {
    std::string account;
    bool limited = false;
    double used{}; ///< attempts of all instances in the window, as known here
    double demand{}; ///< requests of all instances in the window, as known here
    double granted{};
};

/// State of one account for metrics.
struct AccountFigures {
    std::string account;
    std::uint64_t admitted{}; ///< since the start
    std::uint64_t refused{}; ///< since the start
    double used{}; ///< attempts of all instances in the window, as known here
    double granted{}; ///< requests per window that are to be served
    double share{}; ///< part of the quota that this instance may use while the account is limited
};

class QuotaGate
{
public:
    QuotaGate(QuotaOptions options, std::uint64_t seed);

    /// Replaces the quotas. Counts of accounts that stay are kept.
    void setAccounts(std::span<const AccountQuota> accounts);

    /// True if any account has a quota; nothing is counted or sent otherwise.
    bool active() const
    {
        return !m_accounts.empty();
    }

    /// Sets the number of instances, by which quotas are divided without other news.
    void setMembers(std::size_t members)
    {
        m_members = std::max<std::size_t>(1, members);
    }

    /// Decides about the first attempt of a request and counts it if admitted. Accounts without a quota are always admitted.
    Decision admit(AccountId account, base::TimePoint now);

    /// Decides about another attempt of an admitted request, such as a retry, and counts it if admitted.
    bool admitFurther(AccountId account, base::TimePoint now);

    /// Decides again about an attempt that was admitted at `admittedAt` and can start only now; its count moves to `now`, or is taken
    /// back if the attempt is refused. The request does not count as demand again.
    Decision renew(AccountId account, base::TimePoint admittedAt, base::TimePoint now);

    /// Takes back the count of an attempt that was admitted at `admittedAt` and has not run and will not run.
    void returned(AccountId account, base::TimePoint admittedAt, base::TimePoint now);

    /// Use of the active accounts whose use is due to be reported; call once per report period.
    std::vector<AccountUsage> report(base::TimePoint now);

    /// True if an account is used up much faster than the others know; a report is then due at once.
    bool urgent() const
    {
        return m_urgent;
    }

    /// Number of the report that the last call of `report` made; replies repeat it.
    std::uint64_t reportNumber() const
    {
        return m_reportNumber;
    }

    /// Applies a reply to a report of this incarnation.
    void apply(const UsageMessage &reply, base::TimePoint now);

    /// Changes since the last call.
    std::vector<LimitChange> takeChanges(base::TimePoint now);

    /// The accounts with requests since the start, those first whose use is highest in relation to their quota.
    std::vector<AccountFigures> figures(base::TimePoint now);

    /// Time since the last reply; nothing before the first.
    std::optional<base::Duration> newsAge(base::TimePoint now) const;

private:
    struct Account {
        explicit Account(base::Duration window)
            : own(window)
            , ownDemand(window)
        {
        }

        std::string name;
        WindowLimits limits;
        UsageWindow own; ///< attempts
        UsageWindow ownDemand;
        SlotCounts others; ///< as told, and what only the former aggregator contained
        SlotCounts kept; ///< `others` when another aggregator took over
        double keptReserved{}; ///< `reserved` at that time
        double missing{}; ///< attempts in `kept` that the present aggregator does not contain
        std::uint64_t toldBy{}; ///< hash of the name of the aggregator
        base::TimePoint resumedAt; ///< of the first news after a time without
        double ownWhenResumed{}; ///< attempts of this instance in the window at `resumedAt`
        double ownWhenTold{}; ///< attempts of this instance in the window at `toldAt`
        double reserved{};
        double demand{}; ///< of all instances
        double share = -1; ///< negative: never told
        double earlierDemand{}; ///< `demand` as told at `earlierAt`
        double demandGrowth{}; ///< per second
        base::TimePoint earlierAt;
        base::TimePoint arrivedAt; ///< of the last request
        base::TimePoint toldAt;
        std::uint64_t toldNumber{};
        base::TimePoint reportedAt;
        base::TimePoint refusedAt;
        std::uint64_t unreported{}; ///< requests since the last report
        std::uint64_t reportedNumber{}; ///< of the last report with this account
        std::uint64_t admitted{};
        std::uint64_t refused{};
        bool active = false; ///< listed in `m_active`
        bool urgent = false; ///< due to be reported at once
        bool limited = false;
        bool limitLogged = false;
    };

    Account *find(AccountId account);
    bool informed(base::TimePoint now) const;
    bool hot(const Account &account, base::TimePoint now) const;
    /// Takes over the counts of a reply, without forgetting those that only the former aggregator knew.
    void applyCounts(Account &account, const AccountUsage &usage, std::uint64_t sender, base::TimePoint now) const;
    /// Attempts that the own share allows.
    static double sharedLimit(const Account &account);
    /// Attempts/s of the other instances when the last news were sent.
    double othersRate(const Account &account, base::TimePoint now) const;
    /// Fraction in [0, 1) that differs between instances, by which shares are rounded so that their sum is right.
    double fixedFraction(AccountId id) const;
    double othersUse(const Account &account, base::TimePoint now) const;
    /// Attempts in the window that this instance allows itself without news.
    double isolatedLimit(const Account &account, AccountId id, base::TimePoint now) const;
    /// Attempts beyond its share that this instance may admit without exceeding the bound if all do.
    double isolatedTolerance(const Account &account) const;
    double tolerance(const Account &account) const;
    bool withinLimits(Account &account, AccountId id, base::TimePoint now);
    bool drawnByLot(Account &account, base::TimePoint now);
    /// True if the request at `now` follows the one before so soon that the other instances should know at once.
    bool needsReport(const Account &account, base::TimePoint now) const;
    base::Duration expectedWait(Account &account, base::TimePoint now);
    void activate(Account &account, AccountId id);

    QuotaOptions m_options;
    base::Duration m_slotTime;
    base::SplitMix64 m_random;
    std::uint64_t m_seed;
    std::size_t m_members = 1;
    std::unordered_map<AccountId, Account> m_accounts;
    std::vector<AccountId> m_active; ///< accounts with requests at this instance in the last window
    bool m_urgent = false;
    std::uint64_t m_reportNumber{};
    std::array<base::TimePoint, 32> m_reportTimes{}; ///< of the last reports, by number
    std::optional<base::TimePoint> m_repliedAt;
    std::uint64_t m_repliedNumber{};
    std::optional<base::TimePoint> m_startedAt; ///< first decision or report
};

} // namespace trefoilstile::quota
