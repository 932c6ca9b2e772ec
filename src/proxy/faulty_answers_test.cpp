// Tests with upstreams whose bytes are no answer to the request that waits for one.

#include <boost/test/unit_test.hpp>

#include "entry_fixture.hpp"

namespace trefoilstile::proxy
{

using namespace testing;

BOOST_AUTO_TEST_SUITE(FaultyAnswers)

// Guards against a response whose status is no status of the protocol, such as 000, that reaches the caller as an answer.
BOOST_AUTO_TEST_CASE(invalidStatusIsNoAnswer)
{
    for (const std::string status :
        {"000 Unknown", "000", "001 X", "099 X", "101 Switching Protocols", "199 X", "600 X", "999 X", "00 X", "0200 OK", "-01 X"}) {
        EntryFixture entry(
            [&status](const std::string &received) {
                return ScriptedReply{signedResponse(idOf(received), "no", status), true};
            },
            2);
        BOOST_TEST_CONTEXT(status)
        {
            BOOST_TEST(startsWith(entry.send(request("/holds/1", "r1", "POST"), "\r\n\r\n"), "HTTP/1.1 502"));
            BOOST_TEST(entry.requestsAtUpstreams() == 1); // it may have run
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::proxy
