// Model of a fleet that follows a table of the store, in virtual time: the store, readers, followers, reports between instances, silent
// cuts from the store and frozen instances.
//
// Checked for each instance at each step: its version never decreases; no row returns to an older version; an instance that has neither
// been cut off nor frozen recently has every change that is older than the bound. Small fleets are tried with every set of up to two
// faulty instances, as many as must be borne at once; large ones on random walks.

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "trefoilstile/base/random.hpp"
#include "trefoilstile/feed/lag_monitor.hpp"
#include "trefoilstile/feed/readers.hpp"
#include "trefoilstile/feed/source_policy.hpp"
#include "trefoilstile/feed/table_copy.hpp"

namespace trefoilstile::feed
{

namespace
{

using namespace std::chrono_literals;

constexpr base::Duration s_step = 50ms;
constexpr base::Duration s_bound = 3s; ///< time until a change must be in effect
constexpr base::Duration s_contact = 4s; ///< an instance counts again this long after its last fault
constexpr base::Duration s_poll = s_bound / 5; ///< as `proxy::FeedTimes`
constexpr base::Duration s_grace = s_bound / 6;
constexpr base::Duration s_coalesce = s_bound * 35 / 100; ///< longest pause of a reader between two calls
constexpr base::Duration s_silence = 9s; ///< until a call on a silent path fails
constexpr base::Duration s_reportPeriod = 300ms;
constexpr std::size_t s_fanout = 8;

struct Node {
    explicit Node(std::uint64_t number)
        : name("entry-" + std::to_string(number))
        , policy(number)
        , lag(lagOptions(s_bound))
    {
    }

    std::string name;
    std::string address; ///< position in the fleet
    std::size_t domain{};
    TableCopy copy;
    SourcePolicy policy;
    LagMonitor lag;
    std::map<std::string, std::uint64_t> rowVersions; ///< of the rows applied, to detect a step back
    bool cut = false; ///< calls to the store get no answer
    bool frozen = false;
    base::TimePoint faultyUntil; ///< end of the last fault
    base::TimePoint nextAction;
    std::optional<std::string> pendingReader; ///< asked, and will not answer
    std::string followed;
    std::uint64_t reported{};
    base::TimePoint nextReport;
};

class Model
{
public:
    Model(std::size_t domains, std::size_t perDomain, std::uint64_t seed)
        : m_random(seed)
    {
        for (std::size_t i = 0; i < domains * perDomain; ++i) {
            nodes.push_back(std::make_unique<Node>(seed * 10'000 + i));
            nodes.back()->domain = i % domains;
            nodes.back()->address = std::to_string(i);
        }
        for (const auto &node : nodes) {
            updateReaders(*node);
        }
        for (int i = 0; i < 20; ++i) {
            change();
        }
        run(3s);
    }

    /// Changes or removes a random row in the store.
    void change()
    {
        const std::string key = "row-" + std::to_string(base::uniformBelow(m_random, 30));
        const std::uint64_t version = m_store.version() + 1 + base::uniformBelow(m_random, 3);
        const bool remove = base::uniformUnit(m_random) < 0.3;
        m_store.apply({{key, remove ? "" : std::to_string(version), version, remove}}, version, false);
        m_changes.emplace_back(version, m_now);
    }

    void run(base::Duration span)
    {
        for (const base::TimePoint end = m_now + span; m_now < end; m_now += s_step) {
            for (const auto &node : nodes) {
                if (!node->frozen) {
                    act(*node);
                    report(*node);
                    catchUp(*node);
                }
                if (node->cut || node->frozen) {
                    node->faultyUntil = m_now;
                }
            }
            check();
            ++states;
        }
    }

    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<std::string> violations;
    std::size_t states{}; ///< steps of the whole fleet
    std::size_t storeCalls{};

private:
    void updateReaders(Node &node)
    {
        std::vector<ReaderCandidate> members;
        for (const auto &other : nodes) {
            if (other->domain == node.domain) {
                members.push_back({other->name, other->address});
            }
        }
        const Readers readers = chooseReaders(members, node.name);
        node.policy.setReaders(readers.self, readers.others);
    }

    void apply(Node &node, const Changes &changes, bool complete)
    {
        const std::uint64_t before = node.copy.version();
        for (const Row &row : node.copy.apply(changes.rows, changes.version, complete)) {
            if (row.version < node.rowVersions[row.key]) {
                violations.push_back("row " + row.key + " went back at " + node.address);
            }
            node.rowVersions[row.key] = row.version;
        }
        if (node.copy.version() < before) {
            violations.push_back("version went back at " + node.address);
        }
    }

    void act(Node &node)
    {
        if (m_now < node.nextAction) {
            return;
        }
        if (node.pendingReader) {
            node.policy.failed(*node.pendingReader, m_now);
            node.pendingReader.reset();
        }
        const bool complete = !node.copy.complete();
        const Source source = node.policy.next(m_now);
        if (source.kind == Source::Kind::Wait) {
            node.nextAction = m_now + source.pause;
        } else if (source.kind == Source::Kind::Store) {
            node.followed.clear();
            if (node.cut) {
                node.nextAction = m_now + s_silence;
                return;
            }
            const Changes changes = m_store.changesAfter(node.copy.version(), complete);
            storeCalls += changes.rows.empty() ? 0 : 1;
            apply(node, changes, complete);
            node.nextAction = m_now + (changes.rows.empty() ? s_step : s_coalesce);
        } else {
            Node &reader = *nodes[std::stoul(source.address)];
            const bool first = node.followed != source.address;
            node.followed = source.address;
            if (reader.frozen) {
                node.pendingReader = source.address;
                node.nextAction = m_now + (first ? s_grace : s_poll + s_grace);
            } else if (!reader.copy.complete() || (!first && !reader.policy.readsStore())) {
                node.policy.failed(source.address, m_now);
            } else {
                apply(node, reader.copy.changesAfter(node.copy.version(), complete), complete);
                node.policy.succeeded(source.address);
                node.nextAction = m_now + s_step;
            }
        }
    }

    void report(Node &node)
    {
        const std::uint64_t lastChange = node.copy.lastChange();
        if (m_now < node.nextReport && lastChange == node.reported) {
            return;
        }
        const bool news = lastChange != node.reported;
        node.reported = lastChange;
        node.nextReport = m_now + s_reportPeriod;
        for (std::size_t i = 0; i < s_fanout; ++i) {
            tell(node, *nodes[base::uniformBelow(m_random, nodes.size())], true);
        }
        for (std::size_t i = 0; news && node.policy.readsStore() && i < 4; ++i) {
            tell(node, *nodes[base::uniformBelow(m_random, nodes.size())], false);
        }
    }

    void tell(const Node &from, Node &to, bool withinDomain)
    {
        if (!to.frozen && (from.domain == to.domain) == withinDomain) {
            to.lag.heard(from.copy.lastChange(), from.address, to.copy.version(), m_now);
        }
    }

    void catchUp(Node &node)
    {
        const auto address = node.copy.complete() ? node.lag.due(node.copy.version(), m_now) : std::nullopt;
        if (!address) {
            return;
        }
        const Node &other = *nodes[std::stoul(*address)];
        if (!other.frozen) {
            apply(node, other.copy.changesAfter(node.copy.version(), false), false);
        } else if (!node.cut) {
            ++storeCalls;
            apply(node, m_store.changesAfter(node.copy.version(), false), false);
        }
    }

    void check()
    {
        std::uint64_t due = 0; // every change up to this version is older than the bound
        for (const auto &[version, at] : m_changes) {
            if (at + s_bound < m_now) {
                due = std::max(due, version);
            }
        }
        for (const auto &node : nodes) {
            const bool counts = !node->cut && !node->frozen && node->faultyUntil + s_contact < m_now && m_now > base::TimePoint(100s + 2s);
            if (counts && node->copy.version() < due) {
                violations.push_back("instance " + node->address + " is behind: " + std::to_string(node->copy.version()) + " of " + std::to_string(due));
            }
        }
    }

    base::SplitMix64 m_random;
    TableCopy m_store;
    std::vector<std::pair<std::uint64_t, base::TimePoint>> m_changes; ///< version and time
    base::TimePoint m_now{100s};
};

void expectNoViolations(const Model &model)
{
    BOOST_TEST(model.violations.empty(), (model.violations.empty() ? std::string() : model.violations.front()));
}

} // namespace

BOOST_AUTO_TEST_SUITE(FeedModel)

// Guards against an instance that misses a change for longer than the bound because instances that it depends on are cut off from the
// store or frozen, for every choice of up to two of them and of their faults.
BOOST_AUTO_TEST_CASE(everyPairOfFaultsInASmallFleet)
{
    std::size_t states = 0;
    for (const std::size_t size : {3U, 5U, 6U, 7U, 9U}) {
        for (std::size_t first = 0; first < size; ++first) {
            for (std::size_t second = first; second < size; ++second) {
                for (int faults = 0; faults < 4; ++faults) {
                    Model model(1, size, size);
                    Node &a = *model.nodes[first];
                    Node &b = *model.nodes[second];
                    ((faults & 1) != 0 ? a.cut : a.frozen) = true;
                    ((faults & 2) != 0 ? b.cut : b.frozen) = true;
                    for (int i = 0; i < 4; ++i) {
                        model.change();
                        model.run(700ms);
                    }
                    model.run(s_bound);
                    BOOST_TEST_CONTEXT("size " << size << ", instances " << first << " and " << second << ", faults " << faults)
                    {
                        expectNoViolations(model);
                    }
                    states += model.states;
                }
            }
        }
    }
    BOOST_TEST_MESSAGE(states << " states of small fleets");
}

// Guards against the same in a failure domain all of whose readers are cut off, as long as other domains reach the store.
BOOST_AUTO_TEST_CASE(readersOfOneDomainCutOff)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Model model(3, 12, seed);
        for (const auto &node : model.nodes) {
            node->cut = node->domain == 0 && node->policy.isReader();
        }
        for (int i = 0; i < 6; ++i) {
            model.change();
            model.run(500ms);
        }
        model.run(s_bound);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            expectNoViolations(model);
        }
    }
}

// Guards against the same in a large fleet with random faults, and against calls to the store that grow with the number of instances.
BOOST_AUTO_TEST_CASE(randomWalksOfALargeFleet)
{
    std::size_t states = 0;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        Model model(9, 33, seed);
        base::SplitMix64 random(seed);
        const std::size_t before = model.storeCalls;
        const int rounds = 60;
        for (int i = 0; i < rounds; ++i) {
            Node &node = *model.nodes[base::uniformBelow(random, model.nodes.size())];
            const double kind = base::uniformUnit(random);
            node.cut = kind < 0.4;
            node.frozen = kind >= 0.4 && kind < 0.6;
            if (!node.cut) {
                node.nextAction = {}; // the healed path delivers what was pending
            }
            model.change();
            model.run(250ms);
        }
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            expectNoViolations(model);
            // 27 readers, each with at most one call a second and a half as long as changes continue; no calls of 270 followers.
            BOOST_TEST(model.storeCalls - before < 27U * 15U * 2U);
        }
        states += model.states;
    }
    BOOST_TEST_MESSAGE(states << " states of large fleets");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::feed
