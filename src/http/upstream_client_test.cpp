// Guards attempts at upstreams: the exact result of each failure, reuse of connections, resumption of downloads and
// responses that are complete or visibly not.

#include "trefoilstile/http/upstream_client.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <fmt/format.h>

#include "test_support.hpp"

namespace trefoilstile::engine
{

std::ostream &operator<<(std::ostream &stream, AttemptResult result)
{
    static constexpr const char *names[] = {"Completed", "RejectedNotRun", "NothingSent", "Failed", "TimedOut", "Broken", "ObjectChanged"};
    return stream << names[static_cast<int>(result)];
}

} // namespace trefoilstile::engine

using namespace trefoilstile;
using namespace trefoilstile::http;
using namespace trefoilstile::http::testing;
using engine::AttemptEnded;
using engine::AttemptResult;
using engine::RequestArrived;

namespace
{

const std::string s_get = "GET /manual HTTP/1.1\r\nHost: bench.example\r\n\r\n";
const std::string s_ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
// Long enough that the server's thread gets to run within it on a busy machine.
constexpr auto s_shortTime = std::chrono::milliseconds(500);

struct Fixture : ServerFixture {
    explicit Fixture(UpstreamClientOptions upstreamOptions = {})
        : ServerFixture({}, std::move(upstreamOptions))
        , caller(address)
    {
    }

    /// Sends a request and takes it in.
    RequestArrived request(const std::string &text = s_get)
    {
        caller.write(text);
        return next<RequestArrived>();
    }

    /// Forwards, and gives the upstream's side once it has read the request.
    Peer serve(const engine::Forward &command, FakeUpstream &upstream)
    {
        execute(command);
        Peer served = upstream.accept();
        received = served.read();
        return served;
    }

    /// Forwards to an upstream that sends `response` and closes; gives the result.
    AttemptEnded attempt(const engine::Forward &command, FakeUpstream &upstream, const std::string &response)
    {
        Peer served = serve(command, upstream);
        served.write(response);
        served.close();
        return next<AttemptEnded>();
    }

    Peer caller;
    WireMessage received; ///< last request that an upstream got
};

} // namespace

BOOST_AUTO_TEST_SUITE(Upstreams)

BOOST_AUTO_TEST_CASE(passesRequestAndResponse)
{
    Fixture fixture;
    FakeUpstream upstream;
    const auto request =
        fixture.request("POST /hold?a=b HTTP/1.1\r\nHost: Bench.Example\r\nIdempotency-Key: k\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\nKeep-Alive: 5\r\n"
                        "Trefoilstile-Class: urgent\r\nTrefoilstile-Relayed: 1\r\nTrefoilstile-Deadline-Ms: 99999999\r\nTransfer-Encoding: chunked\r\n\r\n"
                        "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    auto command = fixture.forward(request, upstream.address(), true);
    command.priorityClass = base::PriorityClass::Bulk;
    command.keepResponse = true;
    Peer served = fixture.serve(command, upstream);
    const auto &got = fixture.received;
    BOOST_TEST(got.head.starts_with("POST /hold?a=b HTTP/1.1\r\n"));
    BOOST_TEST(got.body == "abcde");
    for (const char *line : {"Host: Bench.Example", "Idempotency-Key: k", "X-End: 2", "Trefoilstile-Class: bulk", "Content-Length: 5"}) {
        BOOST_TEST(got.has(line), line);
    }
    for (const char *name : {"X-Hop", "Keep-Alive", "Relayed", "urgent", "chunked", "99999999"}) {
        BOOST_TEST(got.head.find(name) == std::string::npos, name);
    }
    BOOST_TEST(got.head.find("Trefoilstile-Deadline-Ms: ") != std::string::npos);
    served.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\nContent-Type: text/plain\r\nKeep-Alive: 5\r\nX-Up: 3\r\nTrefoilstile-State: leaving\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
    const auto response = fixture.caller.read();
    BOOST_TEST(response.status() == 201);
    BOOST_TEST(response.body == "ok");
    BOOST_TEST(response.clean);
    BOOST_TEST(response.has("X-Up: 3"));
    BOOST_TEST(response.head.find("Keep-Alive") == std::string::npos);
    BOOST_TEST(response.head.find("Trefoilstile") == std::string::npos);
    const auto ended = fixture.next<AttemptEnded>();
    BOOST_TEST(ended.result == AttemptResult::Completed);
    BOOST_TEST(ended.status == 201);
    BOOST_TEST(ended.bytes == 7U);
    BOOST_TEST(ended.upstreamLeaving);
    BOOST_REQUIRE(ended.response);
    BOOST_TEST(ended.response->contentType == "text/plain");
    BOOST_TEST(ended.response->body == "ok");
}

BOOST_AUTO_TEST_CASE(reportsWhyNoResponseCame)
{
    Fixture fixture;
    FakeUpstream upstream;
    const auto request = fixture.request();
    std::string closedPort;
    {
        const FakeUpstream gone;
        closedPort = gone.address();
    }
    for (const std::string &address : {closedPort, std::string("not an address")}) {
        fixture.execute(fixture.forward(request, address));
        BOOST_TEST(fixture.next<AttemptEnded>().result == AttemptResult::NothingSent);
    }
    const auto command = [&]() {
        return fixture.forward(request, upstream.address());
    };
    BOOST_TEST(fixture.attempt(command(), upstream, "").result == AttemptResult::Failed);
    BOOST_TEST(fixture.attempt(command(), upstream, "HTTP/1.1 200 O").result == AttemptResult::Failed);
    BOOST_TEST(fixture.attempt(command(), upstream, "nonsense\r\n\r\n").result == AttemptResult::Failed);
    BOOST_TEST(
        fixture.attempt(command(), upstream, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nok").result == AttemptResult::Failed);
    const auto rejected = fixture.attempt(command(), upstream, "HTTP/1.1 503 No\r\nTrefoilstile-Outcome: not-run\r\nContent-Length: 4\r\n\r\nbusy");
    BOOST_TEST(rejected.result == AttemptResult::RejectedNotRun);
    BOOST_TEST(rejected.status == 503);
    // Nothing of these attempts has reached the caller.
    Peer served = fixture.serve(command(), upstream);
    served.write(s_ok);
    BOOST_TEST(fixture.caller.read().body == "ok");
    BOOST_TEST(fixture.next<AttemptEnded>().result == AttemptResult::Completed);
}

// An upstream that accepts and never answers; its late answer must reach nobody.
BOOST_AUTO_TEST_CASE(timedOutConnectionIsClosed)
{
    Fixture fixture;
    FakeUpstream upstream;
    auto first = fixture.request();
    // First leaves a connection in the pool, so that the timeout is that of a pooled one.
    Peer pooled = fixture.serve(fixture.forward(first, upstream.address()), upstream);
    pooled.write(s_ok);
    fixture.caller.read();
    fixture.next<AttemptEnded>();
    const auto request = fixture.request();
    auto command = fixture.forward(request, upstream.address());
    command.firstByteTimeout = s_shortTime;
    fixture.execute(command);
    BOOST_TEST(pooled.read().head.starts_with("GET /manual"));
    BOOST_TEST(fixture.next<AttemptEnded>().result == AttemptResult::TimedOut);
    pooled.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
    BOOST_TEST(pooled.closedByOther());
    Peer served = fixture.serve(fixture.forward(request, upstream.address()), upstream);
    served.write(s_ok);
    BOOST_TEST(fixture.caller.read().body == "ok");
}

BOOST_AUTO_TEST_CASE(reusesConnectionsButNotForFreshOnes)
{
    Fixture fixture;
    FakeUpstream upstream;
    const auto finish = [&](Peer &served) {
        served.write(s_ok);
        BOOST_TEST(fixture.caller.read().body == "ok");
        BOOST_TEST(fixture.next<AttemptEnded>().result == AttemptResult::Completed);
    };
    Peer first = fixture.serve(fixture.forward(fixture.request(), upstream.address()), upstream);
    finish(first);
    fixture.execute(fixture.forward(fixture.request(), upstream.address()));
    first.read();
    finish(first);
    BOOST_TEST(!upstream.pending());
    Peer second = fixture.serve(fixture.forward(fixture.request(), upstream.address(), true), upstream);
    finish(second);
    // Bytes that nobody asked for: the connection is out of step, the next request must not read them.
    first.write(s_ok);
    second.write(s_ok);
    Peer third = fixture.serve(fixture.forward(fixture.request(), upstream.address()), upstream);
    finish(third);
    // `Connection: close` and extra bytes with the response end the connection too.
    for (const char *text :
        {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n"}) {
        fixture.execute(fixture.forward(fixture.request(), upstream.address()));
        third.read();
        third.write(text);
        BOOST_TEST(fixture.caller.read().body == "ok");
        BOOST_TEST(third.closedByOther());
        fixture.next<AttemptEnded>();
        third = fixture.serve(fixture.forward(fixture.request(), upstream.address()), upstream);
        finish(third);
    }
}

BOOST_AUTO_TEST_CASE(boundsConnections)
{
    UpstreamClientOptions options;
    options.maximumConnections = 1;
    Fixture fixture(options);
    FakeUpstream upstream;
    FakeUpstream other;
    const auto request = fixture.request();
    Peer served = fixture.serve(fixture.forward(request, upstream.address()), upstream);
    Peer second(fixture.address);
    second.write(s_get);
    const auto waiting = fixture.next<RequestArrived>();
    fixture.execute(fixture.forward(waiting, other.address()));
    BOOST_TEST(fixture.next<AttemptEnded>().result == AttemptResult::NothingSent);
    served.write(s_ok);
    BOOST_TEST(fixture.next<AttemptEnded>().result == AttemptResult::Completed);
    // An idle connection makes room for another address.
    Peer room = fixture.serve(fixture.forward(waiting, other.address()), other);
    BOOST_TEST(served.closedByOther());
}

BOOST_AUTO_TEST_CASE(shortBodiesAreVisiblyTruncated)
{
    for (const char *text : {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\nzz\r\n"}) {
        Fixture fixture;
        FakeUpstream upstream;
        const auto request = fixture.request();
        const auto ended = fixture.attempt(fixture.forward(request, upstream.address()), upstream, text);
        BOOST_TEST(ended.result == AttemptResult::Broken, text);
        BOOST_TEST(!ended.resumable);
        fixture.execute(engine::Truncate{request.id});
        const auto response = fixture.caller.read();
        BOOST_TEST(response.body == "half", text);
        BOOST_TEST(!response.clean, text);
    }
}

BOOST_AUTO_TEST_CASE(idleBodyIsBroken)
{
    Fixture fixture;
    FakeUpstream upstream;
    auto command = fixture.forward(fixture.request(), upstream.address());
    command.idleTimeout = s_shortTime;
    Peer served = fixture.serve(command, upstream);
    served.write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\nETag: \"v1\"\r\n\r\nhalf");
    const auto ended = fixture.next<AttemptEnded>();
    BOOST_TEST(ended.result == AttemptResult::Broken);
    BOOST_TEST(ended.resumable);
    BOOST_TEST(served.closedByOther());
}

// P3: the caller gets one complete body, whichever upstreams its parts came from.
BOOST_AUTO_TEST_CASE(resumesBrokenDownloads)
{
    for (const bool chunked : {false, true}) {
        Fixture fixture;
        FakeUpstream first;
        FakeUpstream second;
        const auto request = fixture.request();
        const std::string framing = chunked ? "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n" : "Content-Length: 10\r\n\r\nabcd";
        const auto broken = fixture.attempt(fixture.forward(request, first.address()), first, "HTTP/1.1 200 OK\r\nETag: \"v1\"\r\n" + framing);
        BOOST_TEST(broken.result == AttemptResult::Broken);
        BOOST_TEST(broken.resumable);
        auto command = fixture.forward(request, second.address());
        command.resume = true;
        // A rejection and a second break are survived too.
        BOOST_TEST(fixture.attempt(command, second, "HTTP/1.1 503 No\r\nTrefoilstile-Outcome: not-run\r\n\r\n").result == AttemptResult::RejectedNotRun);
        const auto again =
            fixture.attempt(command, second, "HTTP/1.1 206 Partial Content\r\nETag: \"v1\"\r\nContent-Range: bytes 4-9/10\r\nContent-Length: 6\r\n\r\nef");
        BOOST_TEST(fixture.received.has("Range: bytes=4-"));
        BOOST_TEST(fixture.received.has("If-Match: \"v1\""));
        BOOST_TEST(again.result == AttemptResult::Broken);
        BOOST_TEST(again.resumable);
        const auto whole =
            fixture.attempt(command, second, "HTTP/1.1 206 Partial Content\r\nETag: \"v1\"\r\nContent-Range: bytes 6-9/10\r\nContent-Length: 4\r\n\r\nghij");
        BOOST_TEST(fixture.received.has("Range: bytes=6-"));
        BOOST_TEST(whole.result == AttemptResult::Completed);
        const auto response = fixture.caller.read();
        BOOST_TEST(response.body == "abcdefghij");
        BOOST_TEST(response.clean);
    }
}

BOOST_AUTO_TEST_CASE(neverMixesTwoObjects)
{
    const std::string part = "HTTP/1.1 206 Partial Content\r\n";
    for (const std::string &text : {std::string("HTTP/1.1 412 Precondition Failed\r\nContent-Length: 0\r\n\r\n"),
             std::string("HTTP/1.1 200 OK\r\nETag: \"v2\"\r\nContent-Length: 10\r\n\r\n0123456789"),
             part + "ETag: \"v2\"\r\nContent-Range: bytes 4-9/10\r\nContent-Length: 6\r\n\r\n456789",
             part + "Content-Range: bytes 4-9/10\r\nContent-Length: 6\r\n\r\n456789",
             part + "ETag: \"v1\"\r\nContent-Length: 6\r\n\r\n456789",
             part + "ETag: \"v1\"\r\nContent-Range: bytes 3-9/10\r\nContent-Length: 7\r\n\r\n3456789",
             part + "ETag: \"v1\"\r\nContent-Range: bytes 4-8/10\r\nContent-Length: 5\r\n\r\n45678",
             part + "ETag: \"v1\"\r\nContent-Range: bytes 4-10/11\r\nContent-Length: 7\r\n\r\n456789x",
             part + "ETag: \"v1\"\r\nContent-Range: bytes 4-9/10\r\nContent-Length: 5\r\n\r\n45678",
             part + "ETag: \"v1\"\r\nContent-Encoding: gzip\r\nContent-Range: bytes 4-9/10\r\nContent-Length: 6\r\n\r\n456789"}) {
        Fixture fixture;
        FakeUpstream upstream;
        const auto request = fixture.request();
        fixture.attempt(fixture.forward(request, upstream.address()), upstream, "HTTP/1.1 200 OK\r\nETag: \"v1\"\r\nContent-Length: 10\r\n\r\nabcd");
        auto command = fixture.forward(request, upstream.address());
        command.resume = true;
        BOOST_TEST(fixture.attempt(command, upstream, text).result == AttemptResult::ObjectChanged, text);
        fixture.execute(engine::Truncate{request.id});
        const auto response = fixture.caller.read();
        BOOST_TEST(response.body == "abcd", text);
        BOOST_TEST(!response.clean, text);
    }
}

BOOST_AUTO_TEST_CASE(resumesOnlyWhatCanBeResumed)
{
    const std::string get = "GET /manual HTTP/1.1\r\nHost: a\r\n";
    for (const auto &[request, fields] : {std::pair<std::string, std::string>{get + "\r\n", ""},
             {get + "\r\n", "ETag: W/\"v1\"\r\n"},
             {get + "\r\n", "ETag: \"v1\"\r\nContent-Encoding: gzip\r\n"},
             {get + "Range: bytes=0-5\r\n\r\n", "ETag: \"v1\"\r\n"},
             {"POST /manual HTTP/1.1\r\nHost: a\r\n\r\n", "ETag: \"v1\"\r\n"}}) {
        Fixture fixture;
        FakeUpstream upstream;
        const auto arrived = fixture.request(request);
        const auto ended =
            fixture.attempt(fixture.forward(arrived, upstream.address()), upstream, "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 10\r\n\r\nabcd");
        BOOST_TEST(ended.result == AttemptResult::Broken, request + fields);
        BOOST_TEST(!ended.resumable, request + fields);
    }
}

// A response to an attempt that another has replaced must not reach the caller.
BOOST_AUTO_TEST_CASE(supersededAttemptsPassNothingOn)
{
    Fixture fixture;
    FakeUpstream slow;
    FakeUpstream quick;
    const auto request = fixture.request();
    Peer old = fixture.serve(fixture.forward(request, slow.address(), true), slow);
    Peer current = fixture.serve(fixture.forward(request, quick.address(), true), quick);
    old.write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold");
    const auto first = fixture.next<AttemptEnded>();
    BOOST_TEST(first.attemptId.value == 1U);
    BOOST_TEST(first.result == AttemptResult::Completed);
    current.write(s_ok);
    BOOST_TEST(fixture.next<AttemptEnded>().attemptId.value == 2U);
    BOOST_TEST(fixture.caller.read().body == "ok");
    // One that may be cancelled is closed at once when the request is rejected.
    const auto rejected = fixture.request();
    FakeUpstream other;
    Peer cancelled = fixture.serve(fixture.forward(rejected, other.address()), other);
    fixture.execute(engine::Reject{rejected.id, 504, engine::Outcome::Unknown, {}, {}, {}, {}});
    BOOST_TEST(fixture.caller.read().status() == 504);
    BOOST_TEST(fixture.next<AttemptEnded>().result == AttemptResult::Failed);
    BOOST_TEST(cancelled.closedByOther());
    fixture.execute(fixture.forward(rejected, slow.address()));
    BOOST_TEST(fixture.next<AttemptEnded>().result == AttemptResult::NothingSent);
}

// Backpressure: a caller that reads nothing bounds what is read from the upstream, and the idle timeout frees the slot.
BOOST_AUTO_TEST_CASE(slowCallerGrowsNoBuffer)
{
    Fixture fixture;
    FakeUpstream upstream;
    auto command = fixture.forward(fixture.request(), upstream.address());
    command.idleTimeout = std::chrono::seconds(1);
    constexpr std::size_t size = 64U << 20U;
    // One write, so that the body follows the head without a pause that would count as an idle upstream.
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n" + std::string(size, 'x');
    Peer served = fixture.serve(command, upstream);
    const bool wroteAll = served.write(response);
    BOOST_TEST(!wroteAll);
    fixture.next<engine::CallerDisconnected>();
    const auto ended = fixture.next<AttemptEnded>();
    BOOST_TEST(ended.result == AttemptResult::Broken);
    BOOST_TEST(ended.bytes < size);
}

BOOST_AUTO_TEST_CASE(pacesBodiesOnLinks)
{
    std::vector<std::uint64_t> asked;
    bool open = false;
    UpstreamClientOptions options;
    options.pacer = [&](std::string_view region, std::uint64_t bytes, base::PriorityClass priorityClass) {
        BOOST_TEST(region == "malabar");
        BOOST_CHECK(priorityClass == base::PriorityClass::Bulk);
        open = !open;
        asked.push_back(open ? 0 : bytes);
        return base::Duration(open ? std::chrono::milliseconds(1) : std::chrono::milliseconds(0));
    };
    Fixture fixture(options);
    FakeUpstream upstream;
    auto command = fixture.forward(fixture.request("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"), upstream.address(), true);
    command.remoteRegion = "malabar";
    command.priorityClass = base::PriorityClass::Bulk;
    Peer served = fixture.serve(command, upstream);
    served.write(s_ok);
    BOOST_TEST(fixture.caller.read().body == "ok");
    fixture.next<AttemptEnded>();
    fixture.io.stop();
    const std::vector<std::uint64_t> expected{0, 3, 0, 2};
    BOOST_TEST(asked == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(keepsNoLargeResponse)
{
    Fixture fixture;
    FakeUpstream upstream;
    auto command = fixture.forward(fixture.request(), upstream.address());
    command.keepResponse = true;
    Peer served = fixture.serve(command, upstream);
    served.write("HTTP/1.1 200 OK\r\nContent-Length: 20000\r\n\r\n" + std::string(20'000, 'x'));
    BOOST_TEST(fixture.caller.read().body.size() == 20'000U);
    const auto ended = fixture.next<AttemptEnded>();
    BOOST_REQUIRE(ended.response);
    BOOST_TEST(ended.response->truncated);
    BOOST_TEST(ended.response->body.empty());
}

// The parser is fed what the network delivers: no cut through a message may change it.
RC_BOOST_PROP(cutsDoNotMatter, (const std::vector<std::string> &pieces, const std::vector<std::uint8_t> &cuts))
{
    static Fixture fixture;
    static FakeUpstream upstream;
    std::string body;
    std::string chunks;
    for (const std::string &piece : pieces) {
        if (!piece.empty()) {
            body += piece;
            chunks += fmt::format("{:x};ext=1\r\n{}\r\n", piece.size(), piece);
        }
    }
    chunks += "0\r\n\r\n";
    const auto writeCut = [&](Peer &peer, std::string_view text) {
        for (const std::uint8_t cut : cuts) {
            peer.write(text.substr(0, cut));
            text.remove_prefix(std::min<std::size_t>(cut, text.size()));
        }
        peer.write(text);
    };
    writeCut(fixture.caller, "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks);
    Peer served = fixture.serve(fixture.forward(fixture.next<RequestArrived>(), upstream.address(), true), upstream);
    RC_ASSERT(fixture.received.body == body);
    writeCut(served, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks);
    const auto response = fixture.caller.read();
    RC_ASSERT(response.clean);
    RC_ASSERT(response.body == body);
    RC_ASSERT(fixture.next<AttemptEnded>().result == AttemptResult::Completed);
}

BOOST_AUTO_TEST_CASE(idleConnectionsAgeOut)
{
    UpstreamClientOptions options;
    options.idleAge = std::chrono::milliseconds(20);
    Fixture fixture(options);
    FakeUpstream upstream;
    Peer served = fixture.serve(fixture.forward(fixture.request(), upstream.address()), upstream);
    served.write(s_ok);
    fixture.next<AttemptEnded>();
    BOOST_TEST(served.closedByOther());
    BOOST_TEST(fixture.io.call([&]() {
        return fixture.upstreams->openConnections();
    }) == 0U);
}

BOOST_AUTO_TEST_CASE(responsesWithoutBody)
{
    Fixture fixture;
    FakeUpstream upstream;
    Peer served = fixture.serve(fixture.forward(fixture.request("HEAD /manual HTTP/1.1\r\nHost: a\r\n\r\n"), upstream.address()), upstream);
    served.write("HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n");
    BOOST_TEST(fixture.caller.read(true).has("Content-Length: 5000"));
    BOOST_TEST(fixture.next<AttemptEnded>().result == AttemptResult::Completed);
    fixture.execute(fixture.forward(fixture.request(), upstream.address()));
    served.read();
    served.write("HTTP/1.1 204 No Content\r\n\r\n");
    BOOST_TEST(fixture.caller.read(true).status() == 204);
    BOOST_TEST(fixture.next<AttemptEnded>().result == AttemptResult::Completed);
}

BOOST_AUTO_TEST_SUITE_END()
