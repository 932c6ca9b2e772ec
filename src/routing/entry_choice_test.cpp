// Guards against lookup responses that send callers to a region without a commitment, or all to one instance.

#include "trefoilstile/routing/entry_choice.hpp"

#include <map>

#include <boost/test/unit_test.hpp>

using namespace trefoilstile;
using routing::EntryCandidate;
using routing::EntryChoice;
using routing::EntryTable;

namespace
{

struct FakeCommitments : routing::CommitmentSource {
    std::map<std::string, int> left; // by target region

    bool take(std::string_view, std::string_view to) override
    {
        int &count = left[std::string(to)];
        return count > 0 && count-- > 0;
    }
};

EntryTable makeTable(std::vector<EntryCandidate> candidates)
{
    auto document = std::make_shared<document::SteeringDocument>();
    document->regions = {{"north", 1, {{"north-a", 1}, {"north-b", 1}}}, {"south", 1, {{"south-a", 1}}}, {"east", 1, {{"east-a", 1}}}};
    document->sites = {{"home", "north-a"}};
    document->shiftCaps = {{"north", "south", 30, 1}, {"north", "east", 10, 1}, {"south", "north", 10, 1}};
    return {document, std::make_shared<routing::BlockTable>(), base::Generation{1}, std::move(candidates)};
}

base::IpAddress caller(unsigned number)
{
    return base::parseIpAddress("10.0." + std::to_string(number / 256) + "." + std::to_string(number % 256)).value();
}

const std::vector<EntryCandidate> s_north{{"a1", "", "north", "north-a"}, {"a2", "", "north", "north-a"}, {"b1", "", "north", "north-b"}};
const std::vector<EntryCandidate> s_others{{"s1", "", "south", "south-a"}, {"e1", "", "east", "east-a"}};

} // namespace

BOOST_AUTO_TEST_SUITE(EntryChoiceTests)

BOOST_AUTO_TEST_CASE(prefersTheHomeFailureDomainAndSpreadsCallers)
{
    std::vector<EntryCandidate> all = s_north;
    all.insert(all.end(), s_others.begin(), s_others.end());
    const EntryTable table = makeTable(all);
    FakeCommitments commitments;
    std::map<std::string, int> first;
    for (unsigned i = 0; i < 1000; ++i) {
        const EntryChoice choice = table.choose(caller(i), commitments);
        BOOST_TEST_REQUIRE(choice.entries.size() == 3U);
        BOOST_TEST(choice.entries[2]->name == "b1");
        BOOST_TEST(!choice.committed);
        ++first[choice.entries[0]->name];
    }
    BOOST_TEST(first["a1"] > 400);
    BOOST_TEST(first["a2"] > 400);
}

BOOST_AUTO_TEST_CASE(lostRegionNeedsCommitmentsAndDividesByCap)
{
    const EntryTable table = makeTable(s_others);
    FakeCommitments none;
    BOOST_TEST(table.choose(caller(1), none).entries.empty());

    FakeCommitments plenty;
    plenty.left = {{"south", 10'000}, {"east", 10'000}};
    for (unsigned i = 0; i < 1000; ++i) {
        BOOST_TEST(table.choose(caller(i), plenty).committed);
    }
    const int south = 10'000 - plenty.left["south"];
    BOOST_TEST(south > 700);
    BOOST_TEST(south < 800);
}

BOOST_AUTO_TEST_CASE(fullRegionFallsThroughToTheNext)
{
    const EntryTable table = makeTable(s_others);
    FakeCommitments eastOnly;
    eastOnly.left = {{"east", 100}};
    for (unsigned i = 0; i < 100; ++i) {
        const EntryChoice choice = table.choose(caller(i), eastOnly);
        BOOST_TEST_REQUIRE(choice.entries.size() == 1U);
        BOOST_TEST(choice.entries[0]->name == "e1");
    }
    BOOST_TEST(table.choose(caller(1), eastOnly).entries.empty());
}

BOOST_AUTO_TEST_SUITE_END()
