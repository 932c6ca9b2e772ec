// Guards against document bodies and key tables that are put together wrongly or without bound.

#include "trefoilstile/peer/parts.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "trefoilstile/peer/envelope_codec.hpp"

using namespace trefoilstile::peer;

BOOST_AUTO_TEST_SUITE(Parts)

BOOST_AUTO_TEST_CASE(wholeComesBackAndEachPartFitsAFrame)
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

BOOST_AUTO_TEST_CASE(contradictingPartsAreRefused)
{
    const std::string whole(2 * s_maximumPartBytes, 'w');
    const auto refuses = [&whole](std::uint32_t index, auto change) {
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
    refuses(0, [](Part &part) {
        part.count = 3;
    });
    refuses(0, [](Part &part) {
        part.bytes.pop_back();
    });
    refuses(1, [](Part &part) {
        part.totalBytes += 1;
    });
    refuses(1, [](Part &part) {
        part.transfer = 9;
    });
    refuses(1, [](Part &part) {
        part.bytes.pop_back();
    });
}

BOOST_AUTO_TEST_SUITE_END()
