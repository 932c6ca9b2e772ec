// Guards against a stand-in that is kinder than the platform: tests of the stores would then prove nothing.

#include "service.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace trefoilstile::standin;
using trefoilstile::base::TimePoint;
using namespace std::chrono_literals;

namespace
{

struct Fixture {
    PlatformService service;
    TimePoint now;

    Response send(const std::string &method, const std::string &target, const std::string &body = {}, const std::string &ifVersion = {})
    {
        return service.handle({method, target, ifVersion, body}, now);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StandinPlatform, Fixture)

// A write that ignores the version would let two racing operators both win.
BOOST_AUTO_TEST_CASE(conditionalWrites)
{
    BOOST_TEST(send("PUT", "/tables/t/rows/k", "{\"a\":1}", "0").status == 200U);
    const Response conflict = send("PUT", "/tables/t/rows/k", "{\"a\":2}", "0");
    BOOST_TEST(conflict.status == 409U);
    const auto current = nlohmann::json::parse(conflict.body);
    BOOST_TEST(current["value"]["a"] == 1);
    BOOST_TEST(send("PUT", "/tables/t/rows/k", "{\"a\":3}", current["version"].dump()).status == 200U);
    BOOST_TEST(send("PUT", "/tables/t/rows/k", "{}").status == 400U);
    BOOST_TEST(send("DELETE", "/tables/t/rows/k", "", current["version"].dump()).status == 409U);
    const auto row = nlohmann::json::parse(send("GET", "/tables/t/rows/k").body);
    BOOST_TEST(row["value"]["a"] == 3);
    BOOST_TEST(send("DELETE", "/tables/t/rows/k", "", row["version"].dump()).status == 200U);
    BOOST_TEST(send("GET", "/tables/t/rows/k").status == 404U);
    // A row made anew has a version of its own, so that a late write on the old one cannot take effect.
    const auto renewed = nlohmann::json::parse(send("PUT", "/tables/t/rows/k", "{}", "0").body);
    BOOST_TEST(renewed["version"].get<int>() > row["version"].get<int>());
}

BOOST_AUTO_TEST_CASE(listsByPrefix)
{
    for (const char *key : {"a.1", "a.2", "b.1"}) {
        send("PUT", std::string("/tables/t/rows/") + key, "1", "0");
    }
    BOOST_TEST(nlohmann::json::parse(send("GET", "/tables/t/rows?prefix=a.").body).size() == 2U);
    BOOST_TEST(nlohmann::json::parse(send("GET", "/tables/none/rows?prefix=").body).empty());
}

// The lost answer must belong to a write that took effect, and only to as many as were asked for.
BOOST_AUTO_TEST_CASE(losesAnswersOfWritesThatTookEffect)
{
    BOOST_TEST(send("POST", "/_faults", R"({"lose_write_answers":1})").status == 200U);
    BOOST_TEST((send("PUT", "/tables/t/rows/k", "1", "0").delivery == Delivery::CloseWithoutResponse));
    BOOST_TEST(send("GET", "/tables/t/rows/k").status == 200U);
    BOOST_TEST((send("PUT", "/tables/t/rows/l", "1", "0").delivery == Delivery::Respond));
}

// Requests to an unreachable platform must not take effect, and the fault must be possible to clear.
BOOST_AUTO_TEST_CASE(unreachable)
{
    send("POST", "/_faults", R"({"unreachable":"reset"})");
    BOOST_TEST((send("PUT", "/tables/t/rows/k", "1", "0").delivery == Delivery::Reset));
    send("POST", "/_faults", R"({"unreachable":true})");
    BOOST_TEST((send("GET", "/tables/t/rows/k").delivery == Delivery::NeverRespond));
    send("POST", "/_faults", R"({"unreachable":false})");
    BOOST_TEST(send("GET", "/tables/t/rows/k").status == 404U);
}

BOOST_AUTO_TEST_CASE(rateLimitsReadsAndWritesApart)
{
    send("POST", "/_faults", R"({"writes_per_s":2})");
    BOOST_TEST(send("PUT", "/objects/h", "x").status == 200U);
    BOOST_TEST(send("PUT", "/objects/h", "x").status == 200U);
    BOOST_TEST(send("PUT", "/objects/h", "x").status == 429U);
    BOOST_TEST(send("GET", "/objects/h").body == "x");
    now += 500ms;
    BOOST_TEST(send("PUT", "/objects/h", "x").status == 200U);
    BOOST_TEST(send("PUT", "/objects/h", "x").status == 429U);
}

BOOST_AUTO_TEST_CASE(instanceListLags)
{
    send("POST", "/_faults", R"({"instances_lag_ms":1000})");
    send("PUT", "/instances", R"([{"name":"a"}])");
    BOOST_TEST(send("GET", "/instances").body == "[]");
    now += 1s;
    BOOST_TEST(send("GET", "/instances").body == R"([{"name":"a"}])");
    send("PUT", "/instances", "[]");
    BOOST_TEST(send("GET", "/instances").body == R"([{"name":"a"}])");
}

BOOST_AUTO_TEST_CASE(rejectsUnknownFaults)
{
    BOOST_TEST(send("POST", "/_faults", R"({"latency":5})").status == 400U);
    BOOST_TEST(send("POST", "/_faults", R"({"latency_ms":-5})").status == 400U);
    BOOST_TEST(send("POST", "/_faults", "[").status == 400U);
}

BOOST_AUTO_TEST_CASE(countsByTable)
{
    send("PUT", "/tables/t/rows/k", "1", "0");
    send("PUT", "/tables/t/rows/k", "1", "0");
    send("GET", "/tables/u/rows/k");
    const auto counters = nlohmann::json::parse(send("GET", "/_counters").body);
    BOOST_TEST(counters["tables"]["t"]["writes"] == 2);
    BOOST_TEST(counters["tables"]["t"]["conflicts"] == 1);
    BOOST_TEST(counters["tables"]["u"]["reads"] == 1);
}

BOOST_AUTO_TEST_SUITE_END()
