// Tests of the block table, including a comparison with a linear search: a wrong site steers callers to the wrong entries.

#include "trefoilstile/routing/block_table.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace trefoilstile;
using document::ClientBlock;
using routing::BlockTable;

namespace
{

constexpr std::uint16_t s_defaultSite = 999;

std::uint16_t linearSearch(const std::vector<ClientBlock> &blocks, const base::IpAddress &address)
{
    std::uint16_t site = s_defaultSite;
    int longest = -1;
    for (const ClientBlock &block : blocks) {
        if (block.block.contains(address) && block.block.prefixLength > longest) {
            longest = block.block.prefixLength;
            site = block.site;
        }
    }
    return site;
}

/// Generates blocks in a small part of the address space, so that many are nested or adjacent.
std::vector<ClientBlock> generateBlocks()
{
    std::vector<ClientBlock> blocks;
    const auto count = *rc::gen::inRange(0, 40);
    for (int i = 0; i < count; ++i) {
        const bool v4 = *rc::gen::arbitrary<bool>();
        const auto bits = *rc::gen::inRange<std::uint64_t>(0, 4096);
        const unsigned length = *rc::gen::inRange(v4 ? 96 : 0, 129);
        const base::IpAddress address = v4 ? base::IpAddress{0, 0x0000ffff00000000ULL | (bits << 20U) | bits} : base::IpAddress{bits << 52U, bits};
        const ClientBlock block{{base::masked(address, length), static_cast<std::uint8_t>(length)}, static_cast<std::uint16_t>(i)};
        const bool duplicate = std::any_of(blocks.begin(), blocks.end(), [&block](const ClientBlock &other) {
            return other.block == block.block;
        });
        if (!duplicate) {
            blocks.push_back(block);
        }
    }
    return blocks;
}

} // namespace

BOOST_AUTO_TEST_SUITE(BlockTableTests)

// A lookup reads the range before the found position. Without an initial range, an empty table would be read out of bounds.
BOOST_AUTO_TEST_CASE(emptyTableGivesTheDefaultSite)
{
    const BlockTable table(s_defaultSite);
    BOOST_TEST(table.site(base::parseIpAddress("255.255.255.255").value()) == s_defaultSite);
    BOOST_TEST(table.site(base::parseIpAddress("ffff::1").value()) == s_defaultSite);
}

// The address after the last block overflows to zero. A table that stored it as a range would map wrong addresses.
BOOST_AUTO_TEST_CASE(coversBothEndsOfTheAddressSpace)
{
    const std::vector<ClientBlock> blocks{{base::parseIpBlock("255.255.255.255/32").value(), 1},
        {base::parseIpBlock("0.0.0.0/32").value(), 2},
        {base::parseIpBlock("ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff/128").value(), 3}};
    const BlockTable table(blocks, s_defaultSite);
    BOOST_TEST(table.site(base::parseIpAddress("255.255.255.255").value()) == 1U);
    BOOST_TEST(table.site(base::parseIpAddress("255.255.255.254").value()) == s_defaultSite);
    BOOST_TEST(table.site(base::parseIpAddress("0.0.0.0").value()) == 2U);
    BOOST_TEST(table.site(base::parseIpAddress("ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff").value()) == 3U);
}

// Errors in flattening show up only for certain nestings of blocks, so random nested blocks are compared with a linear search.
RC_BOOST_PROP(agreesWithLinearSearch, ())
{
    const std::vector<ClientBlock> blocks = generateBlocks();
    const BlockTable table(blocks, s_defaultSite);
    for (int i = 0; i < 50; ++i) {
        const auto bits = *rc::gen::inRange<std::uint64_t>(0, 4096);
        const auto low = *rc::gen::arbitrary<std::uint32_t>();
        const base::IpAddress v4{0, 0x0000ffff00000000ULL | ((bits << 20U) & 0xffffffffULL) | (low & 0xfffffU)};
        const base::IpAddress v6{bits << 52U, low};
        RC_ASSERT(table.site(v4) == linearSearch(blocks, v4));
        RC_ASSERT(table.site(v6) == linearSearch(blocks, v6));
    }
    for (const ClientBlock &block : blocks) {
        RC_ASSERT(table.site(block.block.first) == linearSearch(blocks, block.block.first));
    }
}

BOOST_AUTO_TEST_SUITE_END()
