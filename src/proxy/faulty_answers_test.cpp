// Tests with upstreams whose bytes are no answer to the request that waits for one.

#include <boost/test/unit_test.hpp>

#include "entry_fixture.hpp"

namespace trefoilstile::proxy
{

using namespace testing;

namespace
{

/// A refusal that proves that its request was not run; without an id if `id` is empty.
std::string refusal(const std::string &id, const std::string &status, const std::string &fields = {})
{
    const std::string idField = id.empty() ? "" : "Trefoilstile-Request-Id: " + id + "\r\n";
    return "HTTP/1.1 " + status + "\r\n" + idField + fields + "Trefoilstile-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

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

// Guards against a refusal of an earlier request that is taken for the refusal of the next one on a kept connection: the caller would be
// told that the request did not run, or it would run at a second upstream. Some upstreams leave out the id.
BOOST_AUTO_TEST_CASE(repeatedRefusalIsNotTheAnswerToTheNextRequest)
{
    struct Case {
        std::string id; ///< in the repeated refusal
        std::string status;
    };
    const std::vector<Case> cases{
        {"r1", "503 Busy"}, {"r1", "421 Misdirected"}, {"", "503 Busy"}, {"", "429 Busy"}, {"", "400 Bad Request"}, {"", "421 Misdirected"}};
    for (const Case &tried : cases) {
        int received = 0;
        EntryFixture entry([&](const std::string &head) {
            // The second request gets the earlier refusal once more, and its own answer behind it.
            return ++received == 1 ? ScriptedReply{refusal("r1", tried.status)}
                                   : ScriptedReply{refusal(tried.id, tried.status, "Retry-After: 5\r\n") + signedResponse(idOf(head), "hello")};
        });
        BOOST_TEST_CONTEXT("id '" << tried.id << "' status " << tried.status)
        {
            BOOST_TEST(startsWith(entry.send(request("/holds/1", "r1", "POST"), "\r\n\r\n"), "HTTP/1.1 503"));
            const std::string response = entry.send(request("/holds/1", "r2", "POST"), "\r\n\r\n");
            BOOST_TEST(startsWith(response, "HTTP/1.1 200"));
            BOOST_TEST(received == 2);
            BOOST_TEST(entry.upstreams.front()->connectionsEndedByPeer == 0); // the second request used the kept connection
            BOOST_TEST(!entry.core.upstreamTable.quiet(*entry.core.upstreamTable.ofService("ledger").front(), http::now()));
        }
    }
}

// Guards against the same on a new connection, after a response to another request.
BOOST_AUTO_TEST_CASE(refusalBehindAStrayResponseNeedsTheId)
{
    EntryFixture entry([](const std::string &received) {
        return ScriptedReply{signedResponse("other", "wrong") + refusal("", "503 Busy") + signedResponse(idOf(received), "hello")};
    });
    BOOST_TEST(startsWith(entry.send(request("/holds/1", "r1", "POST"), "\r\n\r\n"), "HTTP/1.1 200"));
}

// Guards against a refusal without an id that is not believed where it cannot be of another request, on a new connection.
BOOST_AUTO_TEST_CASE(refusalWithoutIdIsBelievedOnANewConnection)
{
    EntryFixture entry([](const std::string &) {
        return ScriptedReply{refusal("", "503 Busy")};
    });
    BOOST_TEST(startsWith(entry.send(request("/holds/1", "r1", "POST"), "\r\n\r\n"), "HTTP/1.1 503"));
}

// Guards against a response whose head breaks off and that reaches the caller as a complete one with an empty or short body: every length of
// a head with a body length, in chunks, or without a length, on a new connection and on a kept one.
BOOST_AUTO_TEST_CASE(headThatBreaksOffIsNoAnswer)
{
    for (const std::string framing : {"Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
        const auto headTo = [&framing](const std::string &received) {
            std::string whole = signedResponse(idOf(received), "hello");
            whole.replace(whole.find("Content-Length"), whole.size(), framing + "\r\n");
            return whole;
        };
        const std::size_t length = headTo(request("/holds/1", "r1", "POST")).size();
        for (std::size_t cut = 0; cut < length; ++cut) {
            for (const bool kept : {false, true}) {
                int received = 0;
                EntryFixture entry([&](const std::string &head) {
                    if (kept && ++received == 1) {
                        return ScriptedReply{signedResponse(idOf(head), "hello")};
                    }
                    return ScriptedReply{headTo(head).substr(0, cut), true};
                });
                BOOST_TEST_CONTEXT("framing '" << framing << "', " << cut << " of " << length << " bytes, kept " << kept)
                {
                    if (kept) {
                        BOOST_TEST(startsWith(entry.send(request("/holds/1", "r0", "POST"), "hello"), "HTTP/1.1 200"));
                    }
                    BOOST_TEST(startsWith(entry.send(request("/holds/1", "r1", "POST"), "\r\n\r\n"), "HTTP/1.1 502"));
                }
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::proxy
