// Tests of the lookup of accounts by key.

#include "trefoilstile/ingress/account_index.hpp"

#include <string>

#include <boost/test/unit_test.hpp>

namespace trefoilstile::ingress
{

namespace
{

Account account(const std::string &name, std::vector<std::string> keys)
{
    Account result;
    result.name = name;
    for (const std::string &key : keys) {
        result.keys.push_back(digestOfKey(key));
    }
    return result;
}

Route route(RouteAccess access)
{
    Route result;
    result.access = access;
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AccountIndexSuite)

// Guards against a key that finds another account than the one that holds it, or that is found after its withdrawal.
BOOST_AUTO_TEST_CASE(keyFindsItsAccountOnly)
{
    Configuration configuration;
    configuration.accounts = {account("a", {"k1", "k2"}), account("b", {"k3"})};
    const AccountIndex index(configuration);
    BOOST_TEST(index.find(digestOfKey("k1"))->name == "a");
    BOOST_TEST(index.find(digestOfKey("k2"))->name == "a");
    BOOST_TEST(index.find(digestOfKey("k3"))->name == "b");
    for (const char *key : {"", "k", "k11", "K1"}) {
        BOOST_TEST(!index.find(digestOfKey(key)));
    }
    configuration.accounts[0] = account("a", {"k2"});
    BOOST_TEST(!AccountIndex(configuration).find(digestOfKey("k1")));
}

// Guards against open access to a private route after the last account was removed, and against asking for keys where the
// operator uses no accounts.
BOOST_AUTO_TEST_CASE(accessFollowsRouteAndAccounts)
{
    Configuration configuration;
    const AccountIndex none(configuration);
    BOOST_TEST(!none.inUse());
    BOOST_TEST(!none.requiresAccount(route(RouteAccess::Unspecified)));
    BOOST_TEST(none.requiresAccount(route(RouteAccess::Account)));
    configuration.routes = {route(RouteAccess::Account)};
    BOOST_TEST(AccountIndex(configuration).inUse());
    configuration.routes.clear();
    configuration.accounts = {account("a", {"k1"})};
    const AccountIndex some(configuration);
    BOOST_TEST(some.inUse());
    BOOST_TEST(some.requiresAccount(route(RouteAccess::Unspecified)));
    BOOST_TEST(!some.requiresAccount(route(RouteAccess::Public)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::ingress
