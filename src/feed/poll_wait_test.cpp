// Model of the readers of a fleet while the store is silent, in virtual time: polls with their waits, lost ones, and the reports of
// versions between instances.
//
// All polls start at the same time, after a change that every reader got. Then the store is silent for 1 s: it loses the polls that are
// pending and the calls that arrive.

#include "trefoilstile/feed/poll_wait.hpp"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "trefoilstile/feed/lag_monitor.hpp"

namespace trefoilstile::feed
{

namespace
{

using namespace std::chrono_literals;

constexpr base::Duration s_step = 10ms;
constexpr base::Duration s_bound = 2s; ///< time until an acknowledged change must be in effect
constexpr base::Duration s_contact = 3s; ///< instances count as connected this long after the end of the silence
constexpr base::Duration s_silence = 1s;
constexpr base::Duration s_margin = 1s; ///< of a poll after its wait, as in `platform::StoreClient`; also the limit of a probe
constexpr base::Duration s_storeDelay = 400ms; ///< a slow store, the network and a busy instance
constexpr base::Duration s_retryPause = 325ms; ///< longest pause after a failure
constexpr base::Duration s_coalesce = 700ms; ///< longest pause after changes, 35% of the bound
constexpr base::Duration s_reportPeriod = 300ms;
constexpr std::size_t s_tables = 2;
constexpr base::TimePoint s_start{100s}; ///< of all polls

struct Poll {
    Poll(std::uint64_t seed, PollSlot slot)
        : wait(seed)
    {
        wait.setSlot(slot);
    }

    PollWait wait;
    LagMonitor lag{lagOptions(s_bound)};
    bool knows = false; ///< the change that follows the silence
    bool lost = false; ///< the pending call gets no response
    bool probing = false;
    base::TimePoint sent = s_start;
    base::Duration waiting{};
    base::TimePoint nextCall = s_start; ///< none is pending until then
    bool pending = false;
};

struct Reader {
    std::string address;
    std::size_t domain{};
    std::vector<Poll> polls;
    base::TimePoint nextReport = s_start;
};

struct Scenario {
    std::size_t domains = 1;
    std::size_t readers = 3;
    base::Duration silenceAfter{}; ///< from the start of the polls
    base::Duration changeAfter{}; ///< from the end of the silence
    bool spread = true; ///< false: all polls wait for the whole poll time
    std::uint64_t seed = 1;
};

class Model
{
public:
    explicit Model(const Scenario &scenario)
        : m_random(scenario.seed)
        , m_silent(s_start + scenario.silenceAfter)
        , m_change(m_silent + s_silence + scenario.changeAfter)
        , m_spread(scenario.spread)
    {
        for (std::size_t domain = 0; domain < scenario.domains; ++domain) {
            for (std::size_t rank = 0; rank < scenario.readers; ++rank) {
                Reader reader{std::to_string(m_readers.size()), domain, {}, s_start};
                for (std::size_t table = 0; table < s_tables; ++table) {
                    reader.polls.emplace_back(m_random.next(), PollSlot{rank * s_tables + table, scenario.readers * s_tables});
                }
                m_readers.push_back(std::move(reader));
            }
        }
    }

    /// Time from which the change must be in effect until the last reader knows it, for both tables.
    base::Duration delay()
    {
        const base::TimePoint due = std::max(m_change, m_silent + s_silence + s_contact);
        for (m_now = s_start; !allKnow(); m_now += s_step) {
            for (Reader &reader : m_readers) {
                for (std::size_t table = 0; table < s_tables; ++table) {
                    advance(reader, table);
                }
                report(reader);
            }
        }
        return m_now - due;
    }

private:
    bool allKnow() const
    {
        return std::all_of(m_readers.begin(), m_readers.end(), [](const Reader &reader) {
            return std::all_of(reader.polls.begin(), reader.polls.end(), [](const Poll &poll) {
                return poll.knows;
            });
        });
    }

    bool silent() const
    {
        return m_now >= m_silent && m_now < m_silent + s_silence;
    }

    void advance(Reader &reader, std::size_t table)
    {
        Poll &poll = reader.polls[table];
        if (poll.lag.due({1, poll.knows ? 1U : 0U}, m_now)) {
            poll.knows = true;
        }
        if (!poll.pending) {
            if (m_now >= poll.nextCall) {
                send(poll);
            }
            return;
        }
        poll.lost = poll.lost || silent();
        const base::TimePoint end = poll.sent + poll.waiting;
        if (poll.lost && m_now >= end + s_margin) {
            fail(poll);
            for (Poll &other : reader.polls) {
                if (other.pending && !other.probing) {
                    fail(other);
                }
            }
        } else if (!poll.lost && ((!poll.knows && m_now >= m_change + s_storeDelay) || m_now >= end + s_storeDelay)) {
            poll.pending = false;
            const bool news = !poll.knows && m_now >= m_change;
            poll.knows = poll.knows || news;
            if ((news || poll.probing) && m_spread) {
                poll.wait.aligned();
            }
            poll.probing = false;
            poll.nextCall = m_now + (news ? s_coalesce : base::Duration::zero());
        }
    }

    void send(Poll &poll)
    {
        poll.pending = true;
        poll.lost = silent();
        poll.sent = m_now;
        poll.waiting = poll.probing ? base::Duration::zero() : m_spread ? poll.wait.next() : PollWaitOptions().longest;
    }

    void fail(Poll &poll)
    {
        poll.pending = false;
        poll.probing = true;
        poll.nextCall = m_now + s_retryPause;
    }

    void report(Reader &reader)
    {
        if (m_now < reader.nextReport) {
            return;
        }
        reader.nextReport = m_now + s_reportPeriod;
        for (Reader &other : m_readers) {
            // Within the failure domain to 8 members; to one instance of each other failure domain.
            if (&other != &reader && (other.domain == reader.domain || base::uniformBelow(m_random, readersPerDomain(other.domain)) == 0)) {
                for (std::size_t table = 0; table < s_tables; ++table) {
                    Poll &poll = other.polls[table];
                    poll.lag.heard({1, reader.polls[table].knows ? 1U : 0U}, reader.address, {1, poll.knows ? 1U : 0U}, m_now);
                }
            }
        }
    }

    std::uint64_t readersPerDomain(std::size_t domain) const
    {
        return static_cast<std::uint64_t>(std::count_if(m_readers.begin(), m_readers.end(), [domain](const Reader &reader) {
            return reader.domain == domain;
        }));
    }

    base::SplitMix64 m_random;
    std::vector<Reader> m_readers;
    base::TimePoint m_now;
    base::TimePoint m_silent;
    base::TimePoint m_change;
    bool m_spread;
};

/// Longest delay over silences and changes at different times, and several seeds.
base::Duration longestDelay(std::size_t domains, std::size_t readers, bool spread)
{
    base::Duration longest{};
    for (const base::Duration silenceAfter : {-500ms, 0ms, 10ms, 800ms, 3'000ms, 6'500ms}) {
        for (const base::Duration changeAfter : {0ms, 1'000ms, 2'500ms, 3'100ms, 4'500ms}) {
            for (std::uint64_t seed = 1; seed <= 5; ++seed) {
                longest = std::max(longest, Model({domains, readers, silenceAfter, changeAfter, spread, seed}).delay());
            }
        }
    }
    return longest;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PollWaitSuite)

// Guards against a fleet all of whose polls are lost in a short silence of the store and end at the same time, so that no instance has
// news for the others until then.
BOOST_AUTO_TEST_CASE(changeAfterASilenceIsKnownWithinTheBound)
{
    for (const auto &[domains, readers] : {std::pair<std::size_t, std::size_t>{1, 3}, {3, 2}, {9, 1}, {9, 3}, {30, 3}}) {
        const base::Duration longest = longestDelay(domains, readers, true);
        BOOST_TEST((longest <= s_bound), domains << " failure domains with " << readers << " readers: " << base::toMilliseconds(longest) << " ms");
    }
}

// The check above must be able to fail: with the same wait for all polls it does.
BOOST_AUTO_TEST_CASE(equalWaitsExceedTheBound)
{
    BOOST_TEST((longestDelay(9, 3, false) > s_bound));
}

// Guards against polls that are short for longer than needed: the platform charges for each.
BOOST_AUTO_TEST_CASE(onlyTheFirstPollAfterAnEventIsShortened)
{
    PollWait wait(1);
    for (std::size_t index = 0; index < 6; ++index) {
        wait.setSlot({index, 6});
        wait.aligned();
        const base::Duration first = wait.next();
        const base::Duration width = (PollWaitOptions().longest - PollWaitOptions().shortest) / 6;
        BOOST_TEST((first >= PollWaitOptions().shortest + width * static_cast<int>(index)));
        BOOST_TEST((first <= PollWaitOptions().shortest + width * static_cast<int>(index + 1)));
        BOOST_TEST((wait.next() == PollWaitOptions().longest));
        BOOST_TEST((wait.next() == PollWaitOptions().longest));
    }
}

// Guards against calls to the store that rise by more than half while the table changes at random times: 27 readers, two tables.
BOOST_AUTO_TEST_CASE(callsRiseByLessThanHalf)
{
    for (const double meanInterval : {0.5, 2.0, 5.0, 7.0, 10.0, 20.0, 60.0}) {
        base::SplitMix64 random(1);
        const auto callsPerSecond = [&](bool spread) {
            double calls = 0;
            const double span = 20'000;
            PollWait wait(1);
            double change = 0;
            for (double now = 0; now < span; ++calls) {
                change = change > now ? change : now - meanInterval * std::log(1 - base::uniformUnit(random));
                const double end = now + (spread ? base::toSeconds(wait.next()) : 7.0);
                wait.setSlot({base::uniformBelow(random, 6), 6});
                if (change <= end) {
                    wait.aligned();
                }
                now = std::min(change, end) + (change <= end ? 0.15 : 0);
            }
            return 54 * calls / span;
        };
        const double before = callsPerSecond(false);
        const double after = callsPerSecond(true);
        BOOST_TEST(after <= 1.5 * before);
        BOOST_TEST_MESSAGE("a change every " << meanInterval << " s: " << before << " calls a second before, " << after << " after");
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::feed
