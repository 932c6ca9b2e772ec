// Tests of the limits on a held response body.

#include "trefoilstile/proxy/response_body.hpp"

#include <boost/test/unit_test.hpp>

namespace trefoilstile::proxy
{

namespace
{

std::shared_ptr<http::BodyBudget> budgetOf(std::uint64_t limit)
{
    auto budget = std::make_shared<http::BodyBudget>();
    budget->limit = limit;
    budget->fair = true;
    return budget;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ResponseBodySuite)

// Guards against bytes that are lost, and memory that is not given back, while a body grows.
BOOST_AUTO_TEST_CASE(bodyGrowsWithinItsBudget)
{
    const auto budget = budgetOf(1'000'000);
    {
        ResponseBody body(budget);
        std::string expected;
        for (int i = 0; i < 100; ++i) {
            const std::string part(1'000, static_cast<char>('a' + i % 26));
            expected += part;
            BOOST_REQUIRE(body.append(part));
        }
        BOOST_TEST(budget->held >= 100'000U);
        BOOST_TEST(budget->held <= 200'000U);
        const http::BodyShare kept = body.takeShare();
        BOOST_TEST((body.takeText() == expected));
        BOOST_TEST(budget->held >= 100'000U);
    }
    BOOST_TEST(budget->held == 0U);
}

// Guards against a body without end, and against a declared length that is believed before the bytes arrive.
BOOST_AUTO_TEST_CASE(tooLargeBodiesAreGivenUp)
{
    const auto budget = budgetOf(100'000'000);
    ResponseBody body(budget, 10'000);
    BOOST_TEST(!body.reserve(10'001));
    BOOST_TEST(body.reserve(10'000));
    BOOST_TEST(body.append(std::string(10'000, 'x')));
    BOOST_TEST(!body.append("x"));
    ResponseBody declared(budgetOf(1'000));
    BOOST_TEST(!declared.reserve(501));
    BOOST_TEST(declared.reserve(500));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::proxy
