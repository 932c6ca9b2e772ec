// Tests of merging rows from several sources, and of the changes for receivers.

#include "trefoilstile/feed/table_copy.hpp"

#include <boost/test/unit_test.hpp>

namespace trefoilstile::feed
{

namespace
{

Row present(std::string key, std::string value, std::uint64_t version)
{
    return {std::move(key), std::move(value), version, false};
}

Row removed(std::string key, std::uint64_t version)
{
    return {std::move(key), {}, version, true};
}

std::vector<std::string> keysOf(const std::vector<Row> &rows)
{
    std::vector<std::string> keys;
    for (const Row &row : rows) {
        keys.push_back((row.removed ? "-" : "+") + row.key);
    }
    return keys;
}

using Keys = std::vector<std::string>;

} // namespace

BOOST_AUTO_TEST_SUITE(TableCopySuite)

// Guards against a source at an older version that takes a change back or brings a removed row back.
BOOST_AUTO_TEST_CASE(olderSourceChangesNothing)
{
    TableCopy copy;
    copy.apply({present("a", "1", 3), present("b", "1", 4)}, 5, true);
    copy.apply({present("a", "2", 8), removed("b", 9)}, 9, false);
    BOOST_TEST(copy.apply({present("a", "1", 3), present("b", "1", 4)}, 5, false).empty());
    BOOST_TEST(copy.apply({present("a", "1", 3), present("b", "1", 4)}, 5, true).empty());
    BOOST_TEST(copy.version() == 9U);
    BOOST_TEST(copy.size() == 1U);
}

// Guards against handling a row again that has not changed, and against missing one that returns with its former value.
BOOST_AUTO_TEST_CASE(unchangedRowsAreFiltered)
{
    TableCopy copy;
    copy.apply({present("a", "1", 3)}, 3, true);
    BOOST_TEST(copy.apply({present("a", "1", 4)}, 4, false).empty());
    BOOST_TEST((keysOf(copy.apply({removed("a", 5)}, 5, false)) == Keys{"-a"}));
    BOOST_TEST((keysOf(copy.apply({present("a", "1", 6)}, 6, false)) == Keys{"+a"}));
}

// Guards against rows that stay although they are missing in a complete read, and against a complete read from an older source that
// removes rows which are newer than it.
BOOST_AUTO_TEST_CASE(completeReadRemovesMissingRowsUpToItsVersion)
{
    TableCopy copy;
    copy.apply({present("a", "1", 3), present("b", "1", 4)}, 5, true);
    copy.apply({present("c", "1", 9)}, 9, false);
    BOOST_TEST((keysOf(copy.apply({present("a", "1", 3)}, 7, true)) == Keys{"-b"}));
    BOOST_TEST(copy.size() == 2U);
}

// Guards against changes that a receiver misses between two answers, and against rows of one transaction that are split.
BOOST_AUTO_TEST_CASE(pagesCoverAllChanges)
{
    TableCopyOptions options;
    options.pageRows = 3;
    TableCopy copy(options);
    std::vector<Row> rows;
    for (std::uint64_t i = 0; i < 20; ++i) {
        rows.push_back(present("k" + std::to_string(i), "v", 10 + i / 2)); // two rows of each version
    }
    copy.apply(rows, 30, true);
    TableCopy receiver;
    std::uint64_t after = 0;
    std::vector<Row> received;
    int pages = 0;
    bool more = true;
    while (more) {
        Changes changes = copy.changesAfter(after, true);
        BOOST_TEST(changes.rows.size() % 2 == 0U);
        received.insert(received.end(), changes.rows.begin(), changes.rows.end());
        after = changes.version;
        more = changes.more;
        ++pages;
    }
    BOOST_TEST(pages > 3);
    BOOST_TEST(after == 30U);
    receiver.apply(received, after, true);
    BOOST_TEST(receiver.size() == 20U);
}

// Guards against a row that is removed while a receiver reads the table in pages and stays there.
BOOST_AUTO_TEST_CASE(removalBetweenTwoPagesIsSeen)
{
    TableCopyOptions options;
    options.pageRows = 1;
    TableCopy copy(options);
    copy.apply({present("a", "1", 3), present("b", "1", 4)}, 5, true);
    Changes first = copy.changesAfter(0, true);
    BOOST_REQUIRE(first.more);
    copy.apply({removed("a", 6)}, 6, false);
    std::vector<Row> rows = first.rows;
    std::uint64_t after = first.version;
    for (bool more = true; more;) {
        Changes next = copy.changesAfter(after, true);
        rows.insert(rows.end(), next.rows.begin(), next.rows.end());
        after = next.version;
        more = next.more;
    }
    TableCopy receiver;
    receiver.apply(rows, after, true);
    BOOST_TEST(receiver.size() == 1U);
}

// Guards against a receiver that misses a removal because it is no longer remembered.
BOOST_AUTO_TEST_CASE(forgottenRemovalsRequireACompleteRead)
{
    TableCopyOptions options;
    options.maximumTombstones = 2;
    TableCopy copy(options);
    copy.apply({present("a", "1", 1), present("b", "1", 2), present("c", "1", 3), present("d", "1", 4)}, 4, true);
    copy.apply({removed("a", 5), removed("b", 6), removed("c", 7)}, 7, false);
    BOOST_TEST(copy.changesAfter(4, false).historyLost);
    BOOST_TEST(!copy.changesAfter(5, false).historyLost);
    BOOST_TEST(!copy.changesAfter(0, true).historyLost);
    BOOST_TEST((keysOf(copy.changesAfter(0, true).rows) == Keys{"+d"}));
    // The removed row must not return from an older source either, although its removal is forgotten.
    BOOST_TEST(copy.apply({present("a", "1", 1)}, 4, false).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::feed
