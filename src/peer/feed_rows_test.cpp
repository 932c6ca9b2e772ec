// Tests of the encoding of feed rows.

#include "trefoilstile/peer/feed_rows.hpp"

#include <boost/test/unit_test.hpp>

namespace trefoilstile::peer
{

BOOST_AUTO_TEST_SUITE(FeedRowsSuite)

// Guards against rows that change on the way, and against large entries that travel at their full size.
BOOST_AUTO_TEST_CASE(rowsAreDecodedUnchanged)
{
    for (const std::size_t count : {0U, 1U, 2'000U}) {
        std::vector<FeedRow> rows;
        for (std::size_t i = 0; i < count; ++i) {
            rows.push_back({"key-" + std::to_string(i), i % 7 == 0 ? "" : "{\"service\":\"ledger\",\"slots\":" + std::to_string(i) + "}", i + 1, i % 7 == 0});
            if (i % 5 == 0) {
                rows.back().era = i;
            }
        }
        const FeedRows encoded = encodeFeedRows(rows);
        const auto decoded = decodeFeedRows(encoded);
        BOOST_REQUIRE(decoded.has_value());
        BOOST_TEST((*decoded == rows));
        if (count > 100) {
            BOOST_TEST(encoded.bytes.size() < static_cast<std::size_t>(encoded.size) / 2);
        }
    }
}

// Guards against an exception, or memory without limit, for bytes that are no rows.
BOOST_AUTO_TEST_CASE(malformedRowsAreRejected)
{
    const std::vector<FeedRow> rows(200, {"key", "value", 3, false});
    const FeedRows encoded = encodeFeedRows(rows);
    BOOST_TEST(!decodeFeedRows({encoded.bytes.substr(0, encoded.bytes.size() / 2), encoded.size}).has_value());
    for (const std::int32_t size : {-1, 0, 1, encoded.size - 1, encoded.size + 1, 2'000'000'000}) {
        BOOST_TEST(!decodeFeedRows({encoded.bytes, size}).has_value());
    }
    BOOST_TEST(!decodeFeedRows({"x", 0}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::peer
