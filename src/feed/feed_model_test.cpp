// Model of a fleet that follows a table of the store, in virtual time: the store, readers, followers, reports between instances, silent
// cuts from the store, frozen instances, and drills in which the store comes back from an older copy.
//
// Checked for each instance at each step: its position never decreases; no row returns to an older position or to an older value; an
// instance that has neither been cut off nor frozen recently has every change that is older than the bound. Small fleets are tried with every set of up to two
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
constexpr base::Duration s_backoff = 400ms; ///< of a reader while the store is away
constexpr base::Duration s_reportPeriod = 300ms;
constexpr std::size_t s_fanout = 8;

std::string textOf(Position position)
{
    return std::to_string(position.era) + '/' + std::to_string(position.version);
}

struct Node {
    explicit Node(std::uint64_t number)
        : name("entry-" + std::to_string(number))
        , copy(copyOptions())
        , policy(number)
        , lag(lagOptions(s_bound))
    {
    }

    static TableCopyOptions copyOptions()
    {
        TableCopyOptions options;
        options.keepMissing = true;
        options.distinctValues = false;
        return options;
    }

    std::string name;
    std::string address; ///< position in the fleet
    std::size_t domain{};
    TableCopy copy;
    SourcePolicy policy;
    LagMonitor lag;
    std::map<std::string, Position> rowPositions; ///< of the rows applied, to detect a step back
    std::map<std::string, std::uint64_t> rowValues; ///< likewise; later values are higher
    bool cut = false; ///< calls to the store get no answer
    bool frozen = false;
    base::TimePoint faultyUntil; ///< end of the last fault
    base::TimePoint nextAction;
    std::optional<std::string> pendingReader; ///< asked, and will not answer
    std::string followed;
    Position reported;
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
        const bool remove = base::uniformUnit(m_random) < 0.3;
        write(key, remove ? "" : std::to_string(++m_lastValue));
    }

    /// Takes the copy from which the store will come back.
    void takeCopy()
    {
        m_storeCopy = m_store;
        m_written.clear();
    }

    /// The store is away for a span and comes back from its copy in a new era. The writers write again what it has lost, as soon as it is back
    /// or some time later.
    void drill(base::Duration away)
    {
        m_away = true;
        run(away);
        std::vector<Row> rows = m_storeCopy.changesAfter({}, true).rows;
        const Position position{m_store.position().era + 1, m_storeCopy.position().version};
        for (Row &row : rows) {
            row.position.era = position.era;
        }
        m_store = TableCopy();
        m_store.apply(std::move(rows), position, true);
        m_changes.clear();
        m_changes.emplace_back(position, m_now);
        m_away = false;
        for (const auto &[key, value] : std::map<std::string, std::string>(m_written)) {
            if (base::uniformUnit(m_random) < 0.5) {
                run(s_step);
            }
            write(key, value);
        }
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
    std::size_t completeReads{}; ///< of the table by readers; contained in `storeCalls`
    std::size_t rowsRead{}; ///< from the store
    std::size_t rowsPassedOn{}; ///< from instances to others

private:
    void write(const std::string &key, const std::string &value)
    {
        const Position position{m_store.position().era, m_store.position().version + 1 + base::uniformBelow(m_random, 3)};
        m_store.apply({{key, value, position, value.empty()}}, position, false);
        m_changes.emplace_back(position, m_now);
        m_written[key] = value;
    }

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
        const Position before = node.copy.position();
        for (const Row &row : node.copy.apply(changes.rows, changes.position, complete)) {
            if (row.position < node.rowPositions[row.key]) {
                violations.push_back("row " + row.key + " went back at " + node.address);
            }
            node.rowPositions[row.key] = row.position;
            if (row.removed) {
                continue;
            }
            std::uint64_t &highest = node.rowValues[row.key];
            const std::uint64_t value = std::stoull(row.value);
            if (value < highest) {
                violations.push_back("row " + row.key + " returned to value " + row.value + " at " + node.address);
            }
            highest = std::max(highest, value);
        }
        if (node.copy.position() < before) {
            violations.push_back("position went back at " + node.address);
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
            if (m_away) {
                node.policy.storeFailed(m_now);
                node.nextAction = m_now + base::jittered(s_backoff, 0.3, m_random);
                return;
            }
            const bool again = complete || node.copy.position().era != m_store.position().era; // as `proxy::checkedEra`
            const Changes changes = m_store.changesAfter(again ? Position() : node.copy.position(), again);
            storeCalls += again ? 2 : changes.rows.empty() ? 0 : 1; // the call that shows the era, and the complete read
            completeReads += again ? 1 : 0;
            rowsRead += changes.rows.size();
            apply(node, changes, again);
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
                Changes changes = reader.copy.changesAfter(node.copy.position(), complete);
                const bool again = changes.historyLost;
                if (again) {
                    changes = reader.copy.changesAfter({}, true);
                }
                rowsPassedOn += changes.rows.size();
                const bool behind = reader.copy.position().era < node.copy.position().era;
                apply(node, changes, complete || again);
                if (behind) {
                    node.policy.withoutStore(source.address, m_now);
                } else {
                    node.policy.succeeded(source.address);
                }
                node.nextAction = m_now + s_step;
            }
        }
    }

    void report(Node &node)
    {
        const Position lastChange = node.copy.lastChange();
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
            to.lag.heard(from.copy.lastChange(), from.address, to.copy.position(), m_now);
        }
    }

    void catchUp(Node &node)
    {
        const auto address = node.copy.complete() ? node.lag.due(node.copy.position(), m_now) : std::nullopt;
        if (!address) {
            return;
        }
        const Node &other = *nodes[std::stoul(*address)];
        if (!other.frozen) {
            const Changes changes = other.copy.changesAfter(node.copy.position(), false);
            if (!changes.historyLost) {
                rowsPassedOn += changes.rows.size();
                apply(node, changes, false);
            }
        } else if (!node.cut && !m_away && node.copy.position().era == m_store.position().era) {
            ++storeCalls;
            apply(node, m_store.changesAfter(node.copy.position(), false), false);
        }
    }

    void check()
    {
        Position due; // every change up to this position is older than the bound
        for (const auto &[position, at] : m_changes) {
            if (at + s_bound < m_now) {
                due = std::max(due, position);
            }
        }
        for (const auto &node : nodes) {
            const bool counts = !node->cut && !node->frozen && node->faultyUntil + s_contact < m_now && m_now > base::TimePoint(100s + 2s);
            if (counts && node->copy.position() < due) {
                violations.push_back("instance " + node->address + " is behind: " + textOf(node->copy.position()) + " of " + textOf(due));
            }
        }
    }

    base::SplitMix64 m_random;
    TableCopy m_store;
    TableCopy m_storeCopy; ///< from which the store will come back
    bool m_away = false; ///< the store answers nothing
    std::map<std::string, std::string> m_written; ///< by key, the last value since the copy; empty for a removal
    std::uint64_t m_lastValue{};
    std::vector<std::pair<Position, base::TimePoint>> m_changes; ///< position and time
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

/// Changes, a drill that takes some of them back, and changes after it.
void playDrill(Model &model, base::SplitMix64 &random)
{
    for (int i = 0; i < 4; ++i) {
        model.change();
        model.run(700ms);
    }
    model.takeCopy();
    const std::uint64_t lost = 1 + base::uniformBelow(random, 8);
    for (std::uint64_t i = 0; i < lost; ++i) {
        model.change();
        model.run(400ms);
    }
    model.drill(base::Duration(400ms + 100ms * base::uniformBelow(random, 8)));
    for (int i = 0; i < 3; ++i) {
        model.change();
        model.run(700ms);
    }
}

// Guards against instances that stay in the earlier era of the store, or return to what its copy has, while up to two instances are cut
// off from it or frozen.
BOOST_AUTO_TEST_CASE(everyPairOfFaultsInADrill)
{
    for (const std::size_t size : {3U, 6U, 12U}) {
        for (std::size_t first = 0; first < size; ++first) {
            for (std::size_t second = first; second < size; ++second) {
                for (int faults = 0; faults < 4; ++faults) {
                    Model model(1, size, size);
                    base::SplitMix64 random(first * 100 + second);
                    Node &a = *model.nodes[first];
                    Node &b = *model.nodes[second];
                    ((faults & 1) != 0 ? a.cut : a.frozen) = true;
                    ((faults & 2) != 0 ? b.cut : b.frozen) = true;
                    playDrill(model, random);
                    for (Node *node : {&a, &b}) {
                        node->cut = false;
                        node->frozen = false;
                        node->nextAction = {};
                    }
                    model.run(s_contact + s_bound);
                    BOOST_TEST_CONTEXT("size " << size << ", instances " << first << " and " << second << ", faults " << faults)
                    {
                        expectNoViolations(model);
                    }
                }
            }
        }
    }
}

// Guards against a drill that makes all instances read the store, at 12, 300 and 1,900 instances, also if two drills follow each other
// within 4 s.
BOOST_AUTO_TEST_CASE(readersReadOnceForEachEra)
{
    struct Size {
        std::size_t domains;
        std::size_t perDomain;
        std::size_t readers;
    };
    for (const Size &size : {Size{6, 2, 12}, Size{6, 50, 18}, Size{38, 50, 114}}) {
        Model model(size.domains, size.perDomain, 7);
        model.takeCopy();
        for (int i = 0; i < 5; ++i) {
            model.change();
            model.run(400ms);
        }
        const std::size_t reads = model.completeReads;
        const std::size_t rows = model.rowsRead;
        const std::size_t passedOn = model.rowsPassedOn;
        model.drill(1s);
        model.run(3s);
        model.drill(400ms); // from the same copy
        model.run(s_bound + s_contact);
        BOOST_TEST_CONTEXT(size.domains * size.perDomain << " instances")
        {
            expectNoViolations(model);
            BOOST_TEST(model.completeReads - reads <= 2 * size.readers);
            BOOST_TEST_MESSAGE(size.domains * size.perDomain << " instances, two drills: " << model.completeReads - reads << " complete reads, "
                                                             << model.rowsRead - rows << " rows of the store, " << model.rowsPassedOn - passedOn
                                                             << " rows between instances");
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::feed
