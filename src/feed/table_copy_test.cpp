// Tests of merging rows from several sources, and of the changes for receivers.

#include "trefoilstile/feed/table_copy.hpp"

#include <boost/test/unit_test.hpp>

namespace trefoilstile::feed
{

namespace
{

Row present(std::string key, std::string value, std::uint64_t version)
{
    return {std::move(key), std::move(value), {1, version}, false};
}

Row removed(std::string key, std::uint64_t version)
{
    return {std::move(key), {}, {1, version}, true};
}

std::vector<std::string> keysOf(const std::vector<Row> &rows)
{
    std::vector<std::string> keys;
    for (const Row &row : rows) {
        keys.push_back((row.removed ? "-" : "+") + row.key);
    }
    return keys;
}

/// The row as it is known in an era.
Row inEra(std::uint64_t era, Row row)
{
    row.position.era = era;
    return row;
}

using Keys = std::vector<std::string>;

} // namespace

BOOST_AUTO_TEST_SUITE(TableCopySuite)

// Guards against a source at an older version that takes a change back or brings a removed row back.
BOOST_AUTO_TEST_CASE(olderSourceChangesNothing)
{
    TableCopy copy;
    copy.apply({present("a", "1", 3), present("b", "1", 4)}, {1, 5}, true);
    copy.apply({present("a", "2", 8), removed("b", 9)}, {1, 9}, false);
    BOOST_TEST(copy.apply({present("a", "1", 3), present("b", "1", 4)}, {1, 5}, false).empty());
    BOOST_TEST(copy.apply({present("a", "1", 3), present("b", "1", 4)}, {1, 5}, true).empty());
    BOOST_TEST((copy.position() == Position{1, 9}));
    BOOST_TEST(copy.size() == 1U);
}

// Guards against handling a row again that has not changed, and against missing one that returns with its former value.
BOOST_AUTO_TEST_CASE(unchangedRowsAreFiltered)
{
    TableCopy copy;
    copy.apply({present("a", "1", 3)}, {1, 3}, true);
    BOOST_TEST(copy.apply({present("a", "1", 4)}, {1, 4}, false).empty());
    BOOST_TEST((keysOf(copy.apply({removed("a", 5)}, {1, 5}, false)) == Keys{"-a"}));
    BOOST_TEST((keysOf(copy.apply({present("a", "1", 6)}, {1, 6}, false)) == Keys{"+a"}));
}

// Guards against rows that stay although they are missing in a complete read, and against a complete read from an older source that
// removes rows which are newer than it.
BOOST_AUTO_TEST_CASE(completeReadRemovesMissingRowsUpToItsVersion)
{
    TableCopy copy;
    copy.apply({present("a", "1", 3), present("b", "1", 4)}, {1, 5}, true);
    copy.apply({present("c", "1", 9)}, {1, 9}, false);
    BOOST_TEST((keysOf(copy.apply({present("a", "1", 3)}, {1, 7}, true)) == Keys{"-b"}));
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
    copy.apply(rows, {1, 30}, true);
    TableCopy receiver;
    Position after;
    std::vector<Row> received;
    int pages = 0;
    bool more = true;
    while (more) {
        Changes changes = copy.changesAfter(after, true);
        BOOST_TEST(changes.rows.size() % 2 == 0U);
        received.insert(received.end(), changes.rows.begin(), changes.rows.end());
        after = changes.position;
        more = changes.more;
        ++pages;
    }
    BOOST_TEST(pages > 3);
    BOOST_TEST((after == Position{1, 30}));
    receiver.apply(received, after, true);
    BOOST_TEST(receiver.size() == 20U);
}

// Guards against a row that is removed while a receiver reads the table in pages and stays there.
BOOST_AUTO_TEST_CASE(removalBetweenTwoPagesIsSeen)
{
    TableCopyOptions options;
    options.pageRows = 1;
    TableCopy copy(options);
    copy.apply({present("a", "1", 3), present("b", "1", 4)}, {1, 5}, true);
    Changes first = copy.changesAfter({}, true);
    BOOST_REQUIRE(first.more);
    copy.apply({removed("a", 6)}, {1, 6}, false);
    std::vector<Row> rows = first.rows;
    Position after = first.position;
    for (bool more = true; more;) {
        Changes next = copy.changesAfter(after, true);
        rows.insert(rows.end(), next.rows.begin(), next.rows.end());
        after = next.position;
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
    copy.apply({present("a", "1", 1), present("b", "1", 2), present("c", "1", 3), present("d", "1", 4)}, {1, 4}, true);
    copy.apply({removed("a", 5), removed("b", 6), removed("c", 7)}, {1, 7}, false);
    BOOST_TEST(copy.changesAfter({1, 4}, false).historyLost);
    BOOST_TEST(!copy.changesAfter({1, 5}, false).historyLost);
    BOOST_TEST(!copy.changesAfter({}, true).historyLost);
    BOOST_TEST((keysOf(copy.changesAfter({}, true).rows) == Keys{"+d"}));
    // The removed row must not return from an older source either, although its removal is forgotten.
    BOOST_TEST(copy.apply({present("a", "1", 1)}, {1, 4}, false).empty());
}

// Guards against rows of a new era that are taken for known ones because their versions are lower, and the other way round.
BOOST_AUTO_TEST_CASE(newEraReplacesTheEarlierOne)
{
    TableCopy copy;
    copy.apply({present("a", "1", 3), present("b", "1", 40)}, {1, 50}, true);
    BOOST_TEST((keysOf(copy.apply({inEra(2, present("a", "1", 3)), inEra(2, present("b", "2", 7))}, {2, 9}, true)) == Keys{"+b"}));
    BOOST_TEST((copy.position() == Position{2, 9}));
    BOOST_TEST((copy.lastChange() == Position{2, 7}));
    // Late answers of the earlier era change nothing.
    BOOST_TEST(copy.apply({present("b", "3", 60)}, {1, 60}, false).empty());
    BOOST_TEST(copy.apply({present("c", "1", 60)}, {1, 60}, true).empty());
    BOOST_TEST((copy.position() == Position{2, 9}));
    BOOST_TEST((keysOf(copy.apply({inEra(2, present("b", "3", 10))}, {2, 10}, false)) == Keys{"+b"}));
}

// Guards against a row that falls back to what the store's copy has, until its writer has written again.
BOOST_AUTO_TEST_CASE(supersededRowOfTheStoreCopyIsNotUsed)
{
    TableCopy copy;
    copy.apply({present("a", "ready", 3), present("b", "1", 4)}, {1, 5}, true);
    copy.apply({present("a", "draining", 8)}, {1, 8}, false);
    BOOST_TEST(copy.apply({inEra(2, present("a", "ready", 3)), inEra(2, present("b", "1", 4))}, {2, 5}, true).empty());
    BOOST_TEST(copy.kept() == 1U);
    // A receiver gets the row that is kept.
    TableCopy receiver;
    receiver.apply({present("a", "ready", 3), present("b", "1", 4)}, {1, 5}, true);
    BOOST_TEST((keysOf(receiver.apply(copy.changesAfter({1, 5}, false).rows, {2, 5}, false)) == Keys{"+a"}));
    BOOST_TEST((keysOf(copy.apply({inEra(2, present("a", "ready", 6))}, {2, 6}, false)) == Keys{"+a"}));
    BOOST_TEST(copy.settle().empty());
}

// Guards against the same for a row that this instance has not seen itself, and against one that is taken for old although it is new: what
// the copy includes is known from rows that have not changed.
BOOST_AUTO_TEST_CASE(unchangedRowsShowWhatTheStoreCopyIncludes)
{
    TableCopy copy;
    copy.apply({present("a", "3", 30), present("b", "1", 12)}, {1, 40}, true);
    const auto rows = [](std::uint64_t version) {
        return std::vector<Row>{inEra(2, present("a", "other", version)), inEra(2, present("b", "1", 12))};
    };
    TableCopy written = copy;
    BOOST_TEST(copy.apply(rows(11), {2, 14}, true).empty());
    BOOST_TEST((keysOf(written.apply(rows(13), {2, 14}, true)) == Keys{"+a"}));
}

// Guards against a row that has been written again, by chance with its former version, and that is taken for proof that the store's copy
// includes what it has lost.
BOOST_AUTO_TEST_CASE(rowWrittenAgainWithItsVersionProvesNothing)
{
    TableCopy copy;
    copy.apply({present("a", "1", 3)}, {1, 5}, true);
    copy.apply({present("a", "2", 8), present("b", "1", 9)}, {1, 9}, false);
    // The copy is of version 5; "b" has been written again and has got version 9 once more.
    BOOST_TEST(copy.apply({inEra(2, present("a", "1", 3)), inEra(2, present("b", "1", 9))}, {2, 9}, true).empty());
    BOOST_TEST(copy.kept() == 1U);
}

// Guards against a row that the store's copy lacks and that is lost before its writer has written again, and against one that stays for good.
BOOST_AUTO_TEST_CASE(missingRowsAreKeptUntilTheyAreSettled)
{
    TableCopyOptions options;
    options.keepMissing = true;
    TableCopy copy(options);
    copy.apply({present("old", "1", 3), present("dropped", "1", 2)}, {1, 5}, true);
    copy.apply({present("lost", "1", 8), present("again", "1", 9)}, {1, 9}, false);
    // "dropped" is older than a row that has not changed, so the store has removed it.
    BOOST_TEST((keysOf(copy.apply({inEra(2, present("old", "1", 3))}, {2, 5}, true)) == Keys{"-dropped"}));
    BOOST_TEST(copy.kept() == 2U);
    BOOST_TEST(copy.apply({inEra(2, present("again", "1", 6))}, {2, 6}, false).empty());
    BOOST_TEST((keysOf(copy.settle()) == Keys{"-lost"}));
    BOOST_TEST(copy.kept() == 0U);
    BOOST_TEST(copy.size() == 2U);

    TableCopy removing;
    removing.apply({present("old", "1", 3), present("lost", "1", 8)}, {1, 9}, true);
    BOOST_TEST((keysOf(removing.apply({inEra(2, present("old", "1", 3))}, {2, 5}, true)) == Keys{"-lost"}));
}

// Guards against a removed row that returns with the store's copy, and against one that never returns although it exists.
BOOST_AUTO_TEST_CASE(removedRowReturnsWhenItIsWrittenAgainOrSettled)
{
    TableCopyOptions options;
    TableCopy kept(options);
    options.keepRemoved = false;
    TableCopy returned(options);
    for (TableCopy *copy : {&kept, &returned}) {
        copy->apply({present("a", "1", 3)}, {1, 5}, true);
        copy->apply({removed("a", 8)}, {1, 8}, false);
    }
    BOOST_TEST((keysOf(returned.apply({inEra(2, present("a", "1", 3))}, {2, 5}, true)) == Keys{"+a"}));
    BOOST_TEST(kept.apply({inEra(2, present("a", "1", 3))}, {2, 5}, true).empty());
    BOOST_TEST(kept.size() == 0U);
    TableCopy written = kept;
    BOOST_TEST((keysOf(written.apply({inEra(2, present("a", "1", 6))}, {2, 6}, false)) == Keys{"+a"}));
    BOOST_TEST((keysOf(kept.settle()) == Keys{"+a"}));
}

// Guards against what is kept in one drill and lost in the next, whose copy is from before the first.
BOOST_AUTO_TEST_CASE(secondEraKeepsWhatTheFirstKept)
{
    TableCopy copy;
    copy.apply({present("a", "1", 3)}, {1, 5}, true);
    copy.apply({present("a", "2", 8)}, {1, 8}, false);
    BOOST_TEST(copy.apply({inEra(2, present("a", "1", 3))}, {2, 5}, true).empty());
    BOOST_TEST(copy.apply({inEra(3, present("a", "1", 3))}, {3, 4}, true).empty());
    BOOST_TEST((copy.position() == Position{3, 4}));
    BOOST_TEST((keysOf(copy.apply({inEra(3, present("a", "3", 5))}, {3, 5}, false)) == Keys{"+a"}));
}

// Guards against a receiver of the same era that misses a removal because its source has read the table completely at a later position.
BOOST_AUTO_TEST_CASE(removalsBeforeTheReadOfAnEraRequireACompleteRead)
{
    TableCopy copy;
    copy.apply({present("a", "1", 3)}, {1, 5}, true);
    copy.apply({inEra(2, present("a", "1", 3))}, {2, 9}, true);
    BOOST_TEST(copy.changesAfter({2, 6}, false).historyLost);
    BOOST_TEST(!copy.changesAfter({2, 9}, false).historyLost);
    BOOST_TEST(!copy.changesAfter({1, 5}, false).historyLost);
}

// Guards against a copy that forgets versions of eras that a peer without eras sends, or takes them for newer ones.
BOOST_AUTO_TEST_CASE(sourceWithoutErasIsBelowAllEras)
{
    TableCopy copy;
    copy.apply({inEra(0, present("a", "1", 3))}, {0, 50}, true); // all that is known at the start
    BOOST_TEST((keysOf(copy.apply({present("a", "2", 4)}, {1, 9}, true)) == Keys{"+a"}));
    BOOST_TEST(copy.apply({inEra(0, present("a", "1", 60))}, {0, 60}, false).empty());
    BOOST_TEST((copy.position() == Position{1, 9}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::feed
