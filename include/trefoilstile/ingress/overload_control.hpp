// Decides which requests to a service are refused while its capacity is short, so that the refusals cost callers least.
//
// Each instance decides alone from what it sees at once (its own arrivals, and its requests that find no room) and from load
// reports that are 0.3 to 3 s old. It holds the fraction of the work offered that has to be refused, and refuses the work of the
// lowest value per slot time: the value of the last work refused is the price of the service. docs/design/overload-control.md
// describes the alternatives.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "trefoilstile/base/time.hpp"
#include "trefoilstile/ingress/request_cost.hpp"

namespace trefoilstile::ingress
{

struct OverloadOptions {
    RequestCostOptions cost;
    /// Load per slot that the refused fraction aims at. Above 1, because a slot whose upstream has no queue stays idle until the next
    /// request arrives; every request that waits beyond this adds delay without throughput.
    double targetLoad = 1.5;
    double freeLoad = 1.1; ///< load per slot below which slots are free and the refused fraction falls fast
    /// Change per second of the refused fraction for each unit of load per slot above or below `targetLoad`, and its immediate part.
    /// Both are low because load reports are 0.3 to 3 s old; the limits of queues bound the load in the meantime.
    double loadGain = 0.15;
    double loadProportion = 0.2;
    double risePerSecond = 1; ///< bound on the rise of the refused fraction
    double fallPerSecond = 2; ///< bound on its fall; lets it fall to 0 within a second after a burst, with the average of the load
    double maximumRefused = 0.95; ///< some requests must be admitted for the load to be known
    base::Duration loadTimeConstant = std::chrono::milliseconds(300); ///< of the average over the requests of this instance
    base::Duration updateInterval = std::chrono::milliseconds(100);
    base::Duration mixTimeConstant = std::chrono::seconds(3); ///< of the recent work by kind and account
    /// Least fraction of the requests of a kind that is admitted, relative to all. The requirement is a quarter; the rest allows
    /// for requests that are admitted and find no room.
    double minimumShare = 0.45;
    /// Maximum excess of the fraction served of a less urgent kind over that of a more urgent one. The requirement is 0.05.
    double maximumInversion = 0.03;
    /// Weight of work beyond the share of its account. Below the quotient of the densities of the most and the least urgent kind of
    /// one account, so that the excess of one account is refused before the work of others.
    double beyondShareFactor = 0.05;
    /// Work of an account that may arrive at once within its share: in seconds of that share, and at least in requests.
    double accountBurstSeconds = 3;
    double accountBurstRequests = 2;
    double defaultAccountRate = 10; ///< weight of an account without a quota, in requests per second
    std::size_t maximumKinds = 64; ///< kinds beyond this number are decided as one
    std::size_t maximumAccounts = 512; ///< accounts beyond this number have no share of their own and compete by kind only
    std::size_t maximumReturns = 8'192; ///< refused requests remembered until their deadline; 320 KB, used from the first refusal on
    /// Difference of the deadlines by which a returning request is recognised; covers the network and the caller's own delay.
    base::Duration returnTolerance = std::chrono::milliseconds(50);
    /// Fraction of a route's requests that must allow the same time while nothing is refused, so that a shorter time shows how long ago
    /// the first try was, also one at another instance. Below it, callers of the route choose different deadlines.
    double commonAllowance = 0.8;
    double waitMargin = 0.7; ///< part of the time up to the objective that the expected wait may take, because waits vary
    /// Requests per slot that may wait at an upstream in any case, so that slots do not run idle between two requests, and at most.
    double minimumQueuePerSlot = 0.7;
    double maximumQueuePerSlot = 1.6;
    /// The same as `minimumQueuePerSlot` for what is worth more than the price, so that it still fits into the queue.
    double urgentQueuePerSlot = 1.4;
    /// Fraction of the slots up to which an upstream gets work that is cold there, in place of that of `PlacementOptions`. In the
    /// emulated heavy days of docs/measurements/overload.md, 0.4 served more than 0.75: less cold work leaves more slots for warm work.
    double coldUtilizationLimit = 0.4;
    double deadlineShare = 0.9; ///< maximum fraction of the time left for wait and work
    double unrepeatableDeadlineShare = 0.75; ///< the same if it must not be repeated: an abandoned attempt would leave its outcome unknown
    base::Duration minimumRetryAfter = std::chrono::milliseconds(300);
    double retryAfterShare = 0.22; ///< maximum as a fraction of the time left; callers honour a third, and jitter adds up to half
};

enum class RefusalReason : std::uint8_t {
    None,
    Price, ///< its value per slot time is below the price of the service
    Early, ///< it returned before the time that its refusal stated
    NoRoom, ///< no upstream could answer it in time
};

/// Queue that a request may join at an upstream.
struct QueueLimit {
    base::Duration wait{}; ///< maximum expected wait of a queue between `minimumPerSlot` and `maximumPerSlot`
    base::Duration deadlineWait{}; ///< maximum expected wait in any case
    double minimumPerSlot{}; ///< requests waiting per slot
    double maximumPerSlot{};

    /// @param load requests at the upstream, without this one
    bool allows(double load, double slots, base::Duration expectedWait) const
    {
        const double perSlot = (load + 1) / slots - 1;
        return expectedWait <= deadlineWait && (perSlot <= minimumPerSlot || (perSlot <= maximumPerSlot && expectedWait <= wait));
    }
};

/// Overload control of one service at one instance.
class OverloadControl
{
public:
    /// One request, as seen by the control.
    struct Request {
        const Route &route;
        const Account *account = nullptr; ///< null without an account
        std::uint64_t key{}; ///< hash of the object
        RequestCost cost;
    };

    /// Decision about a request that arrived.
    struct Admission {
        RefusalReason refusal = RefusalReason::None;
        std::size_t kind{}; ///< for `placed` and `retryAfter`, until the next arrival
    };

    explicit OverloadControl(OverloadOptions options = {})
        : m_options(options)
    {
    }

    /// Decides about a request that arrives.
    /// @param loadPerSlot mean over the upstreams considered for it
    Admission arrived(const Request &request, double loadPerSlot, base::TimePoint now);

    /// Ends the control's effect after a second without requests. Call at least once per second.
    void advance(base::TimePoint now);

    /// Queue that the request may join while the price is above 0.
    /// @param cold the object is not known to be warm at the upstream
    QueueLimit queueLimit(const RequestCost &cost, bool cold) const;

    /// Records that an upstream was found for a request that `arrived` admitted.
    void placed(const Request &request, const Admission &admission);

    /// Time after which room for a refused request is expected. Remembers the request until then.
    base::Duration refused(const Request &request, const Admission &admission, base::TimePoint now);

    /// Value per second of slot time up to which work is refused; 0 if nothing has to be refused.
    double price() const
    {
        return m_price;
    }

    /// Fraction of the work offered that has to be refused.
    double refusedFraction() const
    {
        return m_refused;
    }

private:
    /// Requests that compete with others of their kind as equals.
    enum class Tier : std::uint8_t {
        InShare, ///< within the share of the account, or without an account
        BeyondShare, ///< beyond the share of the account
        Late, ///< tried before, and late whenever it is served now, or back without having waited
    };

    struct Kind {
        std::string route;
        std::uint32_t priority{};
        std::uint32_t routePriority{};
        Tier tier{};
        double density{}; ///< value per second of slot time
        double work{}; ///< recent work offered, in seconds of slot time, decayed
        double arrived{}; ///< recent requests, decayed
        double placed{}; ///< those that were placed
        double admitted = 1; ///< fraction to admit
        double credit = 1; ///< a request is admitted for each whole unit
    };

    struct AccountShare {
        double weight{};
        double credit{}; ///< slot time available within the share, in seconds
        base::TimePoint updatedAt;
    };

    /// A refused request. It is recognised by its object, route and deadline.
    struct Return {
        std::uint64_t identity{};
        base::TimePoint deadline;
        base::TimePoint dueAt; ///< earlier tries are refused
        base::TimePoint latestAt; ///< latest time at which a caller that honours `Retry-After` returns
        base::TimePoint firstArrival;
    };

    /// Time that callers of a route allow for a request.
    struct Allowance {
        base::Duration longest{};
        double common{}; ///< moving average of the fraction of requests with that time
    };

    void update(double loadPerSlot, base::TimePoint now);
    void moveRefusedFraction(double seconds);
    void decay(base::Duration elapsed, base::TimePoint now);
    void assignFractions();
    void limitInversions();
    bool withinShare(const Request &request, base::TimePoint now);
    base::Duration timeSinceFirstTry(const Request &request);
    std::size_t kindOf(const Request &request, Tier tier);
    static std::uint64_t identity(const Request &request);
    Return &returnSlot(const Request &request, base::TimePoint deadline);
    Return *earlierTry(const Request &request, base::TimePoint now);

    OverloadOptions m_options;
    double m_refused{};
    double m_integral{}; ///< part of `m_refused` that does not depend on the latest load
    double m_price{};
    double m_minimumAdmitted = 1; ///< fraction of each kind that is admitted at least
    double m_load{}; ///< moving average of the load per slot
    double m_offered{}; ///< recent work offered, in seconds of slot time, decayed
    base::TimePoint m_loadAt;
    base::TimePoint m_updatedAt;
    std::vector<Kind> m_kinds; ///< by ascending density after an update
    std::map<std::string, AccountShare, std::less<>> m_accounts; ///< accounts seen recently
    std::map<std::string, Allowance, std::less<>> m_allowances; ///< by route, learned while nothing is refused
    double m_accountWeights{}; ///< sum over `m_accounts`
    std::vector<Return> m_returns; ///< by hash of identity and deadline; a collision forgets the older one
};

} // namespace trefoilstile::ingress
