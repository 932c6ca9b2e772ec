// Tests of the choice of readers.

#include "trefoilstile/feed/readers.hpp"

#include <algorithm>
#include <map>

#include <boost/test/unit_test.hpp>

namespace trefoilstile::feed
{

namespace
{

std::vector<ReaderCandidate> members(std::size_t count)
{
    std::vector<ReaderCandidate> result;
    for (std::size_t i = 1; i <= count; ++i) {
        result.push_back({"entry-" + std::to_string(i), "10.0.0.1:" + std::to_string(i)});
    }
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReadersSuite)

// Guards against calls to the store that grow with the number of instances, and against readers that instances with the same view
// choose differently.
BOOST_AUTO_TEST_CASE(aDomainHasThreeReadersWhateverItsSize)
{
    for (const std::size_t count : {5U, 33U, 63U}) {
        const auto all = members(count);
        std::size_t readers = 0;
        std::map<std::string, std::size_t> first; // followers by the reader that they prefer
        for (const ReaderCandidate &self : all) {
            const Readers chosen = chooseReaders(all, self.name);
            readers += chosen.self ? 1 : 0;
            BOOST_TEST(chosen.others.size() == (chosen.self ? 2U : 3U));
            if (!chosen.self) {
                ++first[chosen.others.front()];
            }
        }
        BOOST_TEST(readers == 3U);
        if (count > 30) {
            for (const auto &[reader, followers] : first) {
                BOOST_TEST(followers > count / 8);
            }
        }
    }
}

// Guards against a small failure domain in which most instances depend on one reader to save a few calls.
BOOST_AUTO_TEST_CASE(allInstancesOfASmallDomainAreReaders)
{
    const auto all = members(4);
    for (const ReaderCandidate &self : all) {
        BOOST_TEST(chooseReaders(all, self.name).self);
    }
    BOOST_TEST(chooseReaders({}, "entry-1").self);
}

// Guards against a domain that changes all readers when one instance leaves.
BOOST_AUTO_TEST_CASE(theLossOfOneMemberMovesAtMostOneReader)
{
    const auto all = members(20);
    const ReaderCandidate follower = *std::find_if(all.begin(), all.end(), [&all](const ReaderCandidate &member) {
        return !chooseReaders(all, member.name).self;
    });
    const Readers before = chooseReaders(all, follower.name);
    for (const ReaderCandidate &lost : all) {
        if (lost == follower) {
            continue;
        }
        auto rest = all;
        std::erase(rest, lost);
        const Readers after = chooseReaders(rest, follower.name);
        const auto kept = std::count_if(before.others.begin(), before.others.end(), [&after](const std::string &reader) {
            return std::find(after.others.begin(), after.others.end(), reader) != after.others.end();
        });
        BOOST_TEST(kept >= 2);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::feed
