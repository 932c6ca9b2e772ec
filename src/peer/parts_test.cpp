// Tests of splitting and reassembling document bodies and key tables.

#include "trefoilstile/peer/parts.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "trefoilstile/peer/envelope_codec.hpp"

using namespace trefoilstile::peer;

BOOST_AUTO_TEST_SUITE(Parts)

// Guards against wrong part boundaries, by which bytes are lost or a part with its envelope exceeds the frame limit.
BOOST_AUTO_TEST_CASE(reassemblesPartsThatFitAFrame)
{
    EnvelopeCodec codec({"a key of the trial environment", std::string(64, 'e'), std::string(64, 'n'), {~0ULL}});
    for (const std::size_t size : {std::size_t{0}, std::size_t{1}, s_maximumPartBytes, s_maximumPartBytes + 1, 3 * s_maximumPartBytes}) {
        const std::string whole(size, 'w');
        PartAssembler assembler(7, 3 * s_maximumPartBytes);
        const std::uint32_t count = partCount(size);
        for (std::uint32_t index = 0; index < count; ++index) {
            const Part part = partOf(7, whole, index);
            const FetchDocumentResponse response{FetchStatus::Found, {{~0ULL}, std::string(64, 'a')}, part};
            BOOST_TEST(codec.encode(response).size() <= s_maximumFrameBytes);
            BOOST_TEST(assembler.add(part) == (index + 1 == count));
            BOOST_TEST(assembler.add(part) == (index + 1 == count), "a repeated part is ignored");
        }
        BOOST_TEST((assembler.take() == whole));
    }
}

// Guards against a wrong result or unlimited memory if a sender mixes transfers, changes sizes or exceeds the limit.
BOOST_AUTO_TEST_CASE(inconsistentPartsAreRejected)
{
    const std::string whole(2 * s_maximumPartBytes, 'w');
    const auto rejects = [&whole](std::uint32_t index, auto change) {
        PartAssembler assembler(7, whole.size());
        if (index > 0) {
            assembler.add(partOf(7, whole, 0));
        }
        Part part = partOf(7, whole, index);
        change(part);
        BOOST_CHECK_THROW(assembler.add(part), PartError);
    };
    BOOST_CHECK_THROW(PartAssembler(7, whole.size() - 1).add(partOf(7, whole, 0)), PartError);
    BOOST_CHECK_THROW(PartAssembler(8, whole.size()).add(partOf(7, whole, 0)), PartError);
    BOOST_CHECK_THROW(PartAssembler(7, whole.size()).add(partOf(7, whole, 1)), PartError);
    rejects(0, [](Part &part) {
        part.count = 3;
    });
    rejects(0, [](Part &part) {
        part.bytes.pop_back();
    });
    rejects(1, [](Part &part) {
        part.totalBytes += 1;
    });
    rejects(1, [](Part &part) {
        part.transfer = 9;
    });
    rejects(1, [](Part &part) {
        part.bytes.pop_back();
    });
}

BOOST_AUTO_TEST_SUITE_END()
