// Tests of requests in service while the instance stops as planned.

#include <boost/test/unit_test.hpp>

#include "entry_fixture.hpp"

namespace trefoilstile::proxy
{

using namespace testing;

BOOST_AUTO_TEST_SUITE(PlannedStopRequests)

// Guards against a request that is passed on late in the grace of a planned stop, when its first upstream has refused it, and is cut off at
// the end of the grace.
BOOST_AUTO_TEST_CASE(nothingIsPassedOnThatTheEndOfTheGraceWouldCutOff)
{
    for (const auto grace : {900ms, 6'000ms}) {
        for (const char *path : {"/reads/1", "/holds/1"}) {
            EntryFixture *fixture = nullptr;
            int received = 0;
            EntryFixture entry(
                [&](const std::string &head) {
                    if (++received > 1) {
                        return ScriptedReply{signedResponse(idOf(head), "hello")};
                    }
                    fixture->core.stop.begin(http::now(), grace);
                    return ScriptedReply{
                        "HTTP/1.1 503 Busy\r\nTrefoilstile-Request-Id: r1\r\nTrefoilstile-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", false, 200ms};
                },
                2);
            fixture = &entry;
            const std::string response = entry.send(request(path, "r1", "POST"), "\r\n\r\n");
            const bool fits = grace == 6'000ms;
            BOOST_TEST_CONTEXT(path << " with a grace of " << grace.count() << " ms")
            {
                BOOST_TEST(startsWith(response, fits ? "HTTP/1.1 200" : "HTTP/1.1 503"));
                BOOST_TEST(entry.requestsAtUpstreams() == (fits ? 2 : 1));
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::proxy
