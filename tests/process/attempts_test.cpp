// Upstreams that misbehave: what is tried again elsewhere, and what is not.

#include <boost/test/unit_test.hpp>

#include "fleet.hpp"

using namespace process_test;

namespace
{

/// Two upstreams, of which the first misbehaves; requests go to the first instance.
struct Fixture {
    Fixture()
    {
        fleet.startInstances(2); // a promotion requires an instance in each failure domain
    }

    void misbehave(const nlohmann::json &mode)
    {
        fleet.upstreams[0].control("/_mode", mode);
    }

    const Instance &entry()
    {
        return *fleet.instances.front();
    }

    /// Sends keyed orders one after the other and compares what the caller is told with what ran.
    void checkOrders(int count)
    {
        for (int i = 0; i < count; ++i) {
            const std::string key = entry().keyPrefix() + "n" + std::to_string(i);
            const HttpResponse response = call(entry().callers, order(key));
            const std::uint64_t runs = fleet.executionsOf(key);
            const std::string outcome = response.header("trefoilstile-outcome");
            BOOST_TEST_CONTEXT("order " << i << ": status " << response.status << ", outcome '" << outcome << "', runs " << runs)
            {
                BOOST_TEST(runs <= 1U);
                BOOST_TEST((response.status == 200 || outcome == "not-run" || outcome == "unknown"));
                BOOST_TEST((response.status != 200 || runs == 1));
                BOOST_TEST((outcome != "not-run" || runs == 0));
            }
        }
    }

    /// Sends status checks until the misbehaving upstream has had some; all must be served.
    void checkStatusChecks(int count)
    {
        for (int i = 0; i < count; ++i) {
            const HttpResponse response = call(entry().callers, statusCheck());
            BOOST_TEST_CONTEXT("status check " << i)
            {
                BOOST_TEST(response.status == 200U);
                BOOST_TEST(response.complete);
            }
        }
    }

    Fleet fleet;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Attempts, Fixture)

// Guards against an upstream that accepts and never answers taking idempotent work down with it, and against a repeated
// order (P5).
BOOST_AUTO_TEST_CASE(upstreamThatNeverAnswers)
{
    fleet.apply({.holdTimeoutMs = 1500, .statusTimeoutMs = 6000});
    misbehave({{"accept_never_answer", true}});
    checkStatusChecks(6);
    BOOST_TEST(fleet.executionsAt(0) > 0U);
    checkOrders(6);
}

// Guards against passing a closed connection on to a caller whose request may be repeated, and against repeating one that
// may have run (P3, P5).
BOOST_AUTO_TEST_CASE(upstreamThatClosesWithoutAByte)
{
    fleet.apply();
    misbehave({{"close_after_zero_bytes", true}});
    checkStatusChecks(20);
    BOOST_TEST(fleet.executionsAt(0) > 0U);
    checkOrders(10);
}

// Guards against an error for the caller while another upstream is free, and against `not-run` for an order that ran (P4).
BOOST_AUTO_TEST_CASE(upstreamThatRejectsABurst)
{
    fleet.apply();
    misbehave({{"reject_next", 10}});
    checkStatusChecks(20);
    misbehave({{"reject_next", 10}});
    checkOrders(20);
}

// Guards against a download that is short, doubled or mixed up after it broke in the middle (P3).
BOOST_AUTO_TEST_CASE(upstreamThatBreaksDownloads)
{
    constexpr std::uint64_t size = 3'000'000;
    fleet.apply();
    misbehave({{"break_after_bytes", 700'000}});
    const std::string expected = objectBytes(size);
    for (int i = 0; i < 8; ++i) {
        const HttpResponse response = call(entry().callers, download(size));
        BOOST_TEST_CONTEXT("download " << i)
        {
            BOOST_TEST(response.status == 200U);
            BOOST_TEST(response.complete);
            BOOST_TEST(response.body.size() == size);
            BOOST_TEST((response.body == expected));
        }
    }
    BOOST_TEST(fleet.executionsAt(0) > 0U);
}

// Guards against a download that ends cleanly although it is not whole: with every upstream broken the caller must see it (P3).
BOOST_AUTO_TEST_CASE(downloadThatCannotBeCompletedIsVisiblyShort)
{
    constexpr std::uint64_t size = 3'000'000;
    fleet.apply();
    for (const Standin &upstream : fleet.upstreams) {
        upstream.control("/_mode", {{"break_after_bytes", 1000}});
    }
    const HttpResponse response = call(entry().callers, download(size));
    BOOST_TEST(!response.complete);
    BOOST_TEST((response.body == objectBytes(response.body.size())));
}

BOOST_AUTO_TEST_SUITE_END()
