// Tests of the entry choice: no caller may be sent to another region without a commitment, and callers must be spread over
// the entries.

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
    std::map<std::string, int> remaining; // by target region

    bool take(std::string_view, std::string_view to) override
    {
        int &count = remaining[std::string(to)];
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

// Callers that all get the same first entry overload it. Callers that leave their failure domain without need depend on a
// second one.
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

// When the home region has no entries, responses without commitments would exceed the shift caps. Callers must be split in
// proportion to the caps, or one region gets too many of them.
BOOST_AUTO_TEST_CASE(otherRegionsNeedCommitmentsAndAreSplitByShiftCap)
{
    const EntryTable table = makeTable(s_others);
    FakeCommitments none;
    BOOST_TEST(table.choose(caller(1), none).entries.empty());

    FakeCommitments sufficient;
    sufficient.remaining = {{"south", 10'000}, {"east", 10'000}};
    for (unsigned i = 0; i < 1000; ++i) {
        BOOST_TEST(table.choose(caller(i), sufficient).committed);
    }
    const int south = 10'000 - sufficient.remaining["south"];
    BOOST_TEST(south > 700);
    BOOST_TEST(south < 800);
}

// When the first other region has no commitments left, a caller must get entries of the next one instead of none.
BOOST_AUTO_TEST_CASE(regionWithoutCommitmentsIsSkipped)
{
    const EntryTable table = makeTable(s_others);
    FakeCommitments eastOnly;
    eastOnly.remaining = {{"east", 100}};
    for (unsigned i = 0; i < 100; ++i) {
        const EntryChoice choice = table.choose(caller(i), eastOnly);
        BOOST_TEST_REQUIRE(choice.entries.size() == 1U);
        BOOST_TEST(choice.entries[0]->name == "e1");
    }
    BOOST_TEST(table.choose(caller(1), eastOnly).entries.empty());
}

BOOST_AUTO_TEST_SUITE_END()
