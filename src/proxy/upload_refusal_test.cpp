// Tests of large uploads that are refused from their head, and of what is decided again when a body has arrived.

#include <vector>

#include <boost/test/unit_test.hpp>

#include "upload_fixture.hpp"

namespace trefoilstile::proxy
{

using namespace testing;

namespace
{

ScriptedReply hello(const std::string &received)
{
    return {signedResponse(idOf(received), "hello")};
}

/// Puts a configuration in effect whose route `/reads/` needs the key `k1` of an account with a quota of one request per second.
void useAccounts(EntryFixture &entry, const std::string &key)
{
    ingress::Configuration configuration = entry.core.configuration;
    ++configuration.version;
    configuration.routes[0].access = ingress::RouteAccess::Account;
    ingress::Account account;
    account.name = "club";
    account.keys = {ingress::digestOfKey(key)};
    account.requestsPerSecond = 1;
    configuration.accounts = {account};
    entry.core.applyConfiguration(std::move(configuration), http::now());
}

void useQuotas(EntryFixture &entry, base::Duration window = 5s)
{
    Settings settings = testSettings();
    settings.quotaWindow = window;
    entry.core.quota = quota::QuotaGate(quotaOptions(settings), 1);
    useAccounts(entry, "k1");
}

int admittedNow(EntryFixture &entry)
{
    int admitted = 0;
    while (admitted < 100 && entry.core.quota.admit(quota::accountId("club"), http::now()).admitted) {
        ++admitted;
    }
    return admitted;
}

void pauseUpstream(EntryFixture &entry)
{
    entry.core.upstreamTable.quietRequested(*entry.core.upstreamTable.ofService("ledger").front(), 10s, http::now());
}

struct Refusal {
    const char *path;
    const char *status;
    std::function<void(EntryFixture &)> arrange;
};

std::vector<Refusal> refusals()
{
    return {
        {"/other/1", "404", [](EntryFixture &) {}},
        {"/reads/1",
            "401",
            [](EntryFixture &entry) {
                useAccounts(entry, "k2");
            }},
        {"/reads/1",
            "503",
            [](EntryFixture &entry) {
                entry.core.routes.reset();
            }},
        {"/reads/1",
            "429",
            [](EntryFixture &entry) {
                useQuotas(entry);
                admittedNow(entry);
            }},
        {"/reads/1", "503", pauseUpstream},
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(UploadRefusals)

// Guards against an instance that receives a large body before it refuses the request, that keeps the body, or that cannot serve the
// next request of the connection.
BOOST_AUTO_TEST_CASE(requestIsRefusedBeforeItsBody)
{
    for (const bool chunked : {false, true}) {
        for (const Refusal &refusal : refusals()) {
            UploadEntry entry(hello);
            refusal.arrange(entry);
            Caller caller(entry);
            const std::string bytes = upload(refusal.path, "r1", s_uploadBytes, chunked);
            const std::string early = caller.exchange(bytes.substr(0, 20'000), "\r\n\r\n");
            BOOST_TEST(startsWith(early, std::string("HTTP/1.1 ") + refusal.status), early);
            BOOST_TEST((early.find("Retry-After: ") != std::string::npos) == (refusal.status[0] != '4' || refusal.status[1] == '2'));
            BOOST_TEST(startsWith(caller.exchange(bytes.substr(20'000) + request("/other/2", "r2"), "\r\n\r\n"), "HTTP/1.1 "));
            BOOST_TEST(entry.requestsAtUpstreams() == 0);
        }
    }
}

// Guards against other decisions than before in a deployment without a route for uploads: an early refusal, and a caller that may hold only a
// part of the memory for bodies.
BOOST_AUTO_TEST_CASE(nothingChangesWithoutARouteForUploads)
{
    EntryFixture entry(hello);
    limitMemory(entry, 16); // 3.2 MB for bodies
    Caller refused(entry);
    const std::string bytes = upload("/other/1", "r1", s_uploadBytes);
    BOOST_TEST(refused.exchange(bytes.substr(0, 20'000), "\r\n\r\n", 200ms) == "");
    BOOST_TEST(startsWith(refused.exchange(bytes.substr(20'000), "\r\n\r\n"), "HTTP/1.1 404"));
    std::vector<std::unique_ptr<Caller>> callers;
    for (int i = 0; i < 8; ++i) { // 2.9 MB from one address
        callers.push_back(std::make_unique<Caller>(entry));
        const std::string held = upload("/holds/1", "r2", s_uploadBytes);
        BOOST_TEST(callers.back()->exchange(held.substr(0, held.size() - 1), "\r\n\r\n", 50ms) == "");
    }
}

// Guards against a refusal that waits for a body that the caller does not send, and against bytes behind it that are taken for a request.
BOOST_AUTO_TEST_CASE(callerThatWaitsForAnInterimResponseGetsTheRefusal)
{
    UploadEntry entry(hello);
    std::string bytes = upload("/other/1", "r1", s_uploadBytes);
    bytes.insert(bytes.find("\r\n\r\n") + 2, "Expect: 100-continue\r\n");
    const std::size_t head = bytes.find("\r\n\r\n") + 4;
    Caller waiting(entry);
    const std::string refusal = waiting.exchange(bytes.substr(0, head), "");
    BOOST_TEST(startsWith(refusal, "HTTP/1.1 404"));
    BOOST_TEST(refusal.find("Connection: close") != std::string::npos);
    Caller sending(entry);
    BOOST_TEST(startsWith(sending.exchange(bytes.substr(0, head + 10), "\r\n\r\n"), "HTTP/1.1 404"));
    BOOST_TEST(startsWith(sending.exchange(bytes.substr(head + 10) + request("/reads/1", "r2"), "hello"), "HTTP/1.1 200"));
}

// Guards against a refusal that is written before the responses to earlier requests, and against memory for bodies that are discarded.
BOOST_AUTO_TEST_CASE(refusalsKeepTheOrderAndTakeNoMemory)
{
    UploadEntry entry([](const std::string &received) {
        const std::string id = idOf(received);
        return ScriptedReply{signedResponse(id, "body-" + id), false, id == "r1" ? 200ms : 0ms};
    });
    limitMemory(entry, 16); // 3.2 MB for bodies, less than is discarded at the same time below
    std::vector<std::unique_ptr<Caller>> callers;
    for (int i = 0; i < 12; ++i) {
        callers.push_back(std::make_unique<Caller>(entry));
        const std::string refused = upload("/other/1", "r2", s_uploadBytes);
        const std::string response = callers.back()->exchange(request("/reads/1", "r1") + refused.substr(0, refused.size() - 1), "404 Not Found", 1s);
        BOOST_TEST(response.find("404 Not Found") != std::string::npos);
        BOOST_TEST(response.find("body-r1") < response.find("404 Not Found"));
    }
    BOOST_TEST(startsWith(Caller(entry).exchange(upload("/holds/1", "r3", s_uploadBytes), "body-r3"), "HTTP/1.1 200"));
}

// Guards against a body beyond the limit that is read for ever, and against a response that is lost when the connection is closed.
BOOST_AUTO_TEST_CASE(connectionEndsAfterADiscardedBodyBeyondTheLimit)
{
    UploadEntry entry(hello);
    const std::string response = Caller(entry).exchange(upload("/other/1", "r1", 2U << 20U, true), "");
    BOOST_TEST(startsWith(response, "HTTP/1.1 404"));
}

// Guards against a connection that is closed by the stop within a body, so that the caller loses the response.
BOOST_AUTO_TEST_CASE(bodyIsReceivedWhileTheInstanceStops)
{
    for (const char *path : {"/other/1", "/holds/1"}) {
        UploadEntry entry(hello);
        Caller caller(entry);
        const std::string bytes = upload(path, "r1", s_uploadBytes);
        caller.exchange(bytes.substr(0, 300'000), "\r\n\r\n", 100ms);
        entry.core.stop.begin(http::now(), 6s);
        entry.listener->closeIdleSessions();
        const std::string rest = caller.exchange(bytes.substr(300'000), "");
        BOOST_TEST(startsWith(rest, path[1] == 'o' ? "" : "HTTP/1.1 200"));
        BOOST_TEST(caller.ended());
    }
}

// Guards against a body that is forwarded although its key was withdrawn, its upstream asked for a pause or its quota was used up by
// others while it arrived.
BOOST_AUTO_TEST_CASE(decisionIsRepeatedWhenTheBodyHasArrived)
{
    const std::vector<Refusal> changes{
        {"/reads/1",
            "401",
            [](EntryFixture &entry) {
                useAccounts(entry, "k2");
            }},
        {"/reads/1", "503", pauseUpstream},
        {"/reads/1",
            "429",
            [](EntryFixture &entry) {
                entry.context.restart();
                entry.context.run_for(1s); // the count that was taken at the head leaves the window
                BOOST_TEST(admittedNow(entry) == 1);
            }},
    };
    for (const Refusal &change : changes) {
        UploadEntry entry(hello);
        useQuotas(entry, 1s);
        Caller caller(entry);
        const std::string bytes = upload(change.path, "r1", s_uploadBytes);
        BOOST_TEST(caller.exchange(bytes.substr(0, 20'000), "\r\n\r\n", 100ms) == "");
        change.arrange(entry);
        const std::string response = caller.exchange(bytes.substr(20'000), "\r\n\r\n");
        BOOST_TEST(startsWith(response, std::string("HTTP/1.1 ") + change.status), response);
        BOOST_TEST(entry.requestsAtUpstreams() == 0);
    }
}

// Guards against an upload that counts twice in its quota, and against a count that is lost when the caller leaves within the body.
BOOST_AUTO_TEST_CASE(uploadCountsOnceInItsQuota)
{
    UploadEntry entry(hello);
    useQuotas(entry);
    for (int i = 0; i < 2; ++i) {
        BOOST_TEST(startsWith(Caller(entry).exchange(upload("/reads/1", "r" + std::to_string(i), s_uploadBytes), "hello"), "HTTP/1.1 200"));
    }
    Caller(entry).exchange(upload("/reads/1", "r3", s_uploadBytes).substr(0, 20'000), "\r\n\r\n", 100ms);
    entry.context.restart();
    entry.context.run_for(100ms); // the caller has left
    BOOST_TEST(admittedNow(entry) == 3);
}

// Guards against more bytes of bodies at one upstream than this instance's part of the limit, against a limit that stops small requests
// or a single large body, and against bytes that stay counted after an attempt has ended.
BOOST_AUTO_TEST_CASE(bodiesInFlightAtAnUpstreamAreLimited)
{
    for (const int upstreams : {1, 2}) {
        UploadEntry entry(
            [](const std::string &received) {
                return ScriptedReply{signedResponse(idOf(received), "hello"), false, received.starts_with("POST") ? 300ms : 0ms};
            },
            upstreams);
        entry.core.settings.upstreamBodyBytes = 4 * s_uploadBytes - 1;
        entry.core.members.observe(2, http::now());
        Caller first(entry);
        BOOST_TEST(first.exchange(upload("/holds/1", "r1", s_uploadBytes), "hello", 100ms) == "");
        const std::string second = Caller(entry).exchange(upload("/holds/1", "r2", s_uploadBytes), "\r\n\r\n");
        BOOST_TEST(startsWith(second, upstreams == 1 ? "HTTP/1.1 503" : "HTTP/1.1 200"));
        BOOST_TEST((second.find("Retry-After: ") != std::string::npos) == (upstreams == 1));
        BOOST_TEST(startsWith(entry.send(request("/reads/1", "r3"), "hello"), "HTTP/1.1 200"));
        BOOST_TEST(startsWith(first.exchange("", "hello"), "HTTP/1.1 200"));
        entry.core.settings.upstreamBodyBytes = 1;
        BOOST_TEST(startsWith(Caller(entry).exchange(upload("/holds/1", "r4", s_uploadBytes), "hello"), "HTTP/1.1 200"));
        for (const auto &upstream : entry.core.upstreamTable.ofService("ledger")) {
            BOOST_TEST(upstream->bodyBytes == 0U);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::proxy
