// Guards against documents that are accepted with a mistake in them, and against text that breaks the parser.

#include "trefoilstile/document/parse.hpp"

#include <algorithm>
#include <fstream>
#include <iterator>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace trefoilstile;
using document::DocumentError;
using document::parseDocument;

namespace
{

const std::string s_minimal = R"(max_entry_instances: 12
regions:
  - name: north
    capacity_rps: 100
    failure_domains:
      - {name: north-a, capacity_rps: 50}
  - name: south
    capacity_rps: 100
    failure_domains:
      - {name: south-a, capacity_rps: 50}
classes:
  urgent: {weight: 16, minimum_share: 0.3}
  interactive: {weight: 4, minimum_share: 0.3}
  bulk: {weight: 1, minimum_share: 0.1}
shift_caps:
  - {from: north, to: south, requests_per_second: 24, bytes_per_second: 1000}
services:
  - name: shop
    hosts: [shop.example]
    routes:
      - {path_prefix: /orders, methods: [POST], class: urgent, idempotent: false}
    upstreams:
      - {name: shop-1, failure_domain: north-a, address: '127.0.0.1:8080', slots: 4, connections: 40}
sites:
  - {name: north-site, failure_domain: north-a, blocks: [10.0.0.0/8]}
default_site: north-site
)";

/// The minimal document with one piece of text replaced.
std::string changed(std::string_view from, std::string_view to)
{
    std::string text = s_minimal;
    const std::size_t position = text.find(from);
    BOOST_REQUIRE_MESSAGE(position != std::string::npos, "not in the document: " << from);
    return text.replace(position, from.size(), to);
}

/// True if the text is rejected with exactly one fault at the given path and line.
bool rejectedAt(const std::string &text, std::string_view path, int line)
{
    try {
        parseDocument(text);
    } catch (const DocumentError &error) {
        for (const document::Fault &fault : error.faults()) {
            BOOST_TEST_MESSAGE(fault.path << ":" << fault.line << ": " << fault.message);
        }
        return error.faults().size() == 1 && error.faults()[0].path == path && error.faults()[0].line == line;
    }
    return false;
}

std::string readExample(const std::string &name)
{
    std::ifstream file(std::string(TREFOILSTILE_EXAMPLE_DOCUMENTS) + "/" + name);
    return {std::istreambuf_iterator<char>(file), {}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(ParseDocument)

BOOST_AUTO_TEST_CASE(readsAllParts)
{
    const document::SteeringDocument parsed = parseDocument(s_minimal);
    BOOST_TEST(parsed.maximumEntryInstances == 12U);
    BOOST_TEST(parsed.regionOf("south-a").name == "south");
    BOOST_TEST(parsed.shiftCaps.at(0).requestsPerSecond == 24.0);
    const document::Service *shop = parsed.findService("shop");
    BOOST_REQUIRE(shop != nullptr);
    BOOST_TEST(!shop->routes.at(0).idempotent);
    BOOST_TEST(shop->upstreams.at(0).addresses.at("*") == "127.0.0.1:8080");
    BOOST_TEST(parsed.clientBlocks.at(0).site == 0U);
}

BOOST_AUTO_TEST_CASE(examplesHaveTheSizesOfTheDeployments)
{
    const document::SteeringDocument society = parseDocument(readExample("society.yaml"));
    BOOST_TEST(society.findService("booking")->upstreams.size() == 35U);
    BOOST_TEST(society.findService("downloads")->upstreams.size() == 12U);
    const document::SteeringDocument registerDocument = parseDocument(readExample("register.yaml"));
    BOOST_TEST(registerDocument.findService("register")->upstreams.size() == 25U);
    BOOST_TEST(registerDocument.findService("archive")->upstreams.size() == 12U);
    BOOST_TEST(registerDocument.regions.size() == 3U);
}

BOOST_AUTO_TEST_CASE(readsJson)
{
    const std::string json = R"({"max_entry_instances": 1, "regions": [{"name": "r", "capacity_rps": 1, "failure_domains": [{"name": "d", "capacity_rps": 1}]}],
        "classes": {"urgent": {"weight": 1, "minimum_share": 0}, "interactive": {"weight": 1, "minimum_share": 0}, "bulk": {"weight": 1, "minimum_share": 0}},
        "services": [{"name": "s", "hosts": ["h"], "routes": [{"path_prefix": "/", "class": "bulk", "idempotent": true}],
        "upstreams": [{"name": "u", "failure_domain": "d", "address": "10.0.0.1:80", "slots": 1, "connections": 1}]}],
        "sites": [{"name": "x", "failure_domain": "d"}], "default_site": "x"})";
    BOOST_TEST(parseDocument(json).services.size() == 1U);
}

BOOST_AUTO_TEST_CASE(rejectsEachFaultAtItsPlace)
{
    BOOST_TEST(rejectedAt(changed("default_site", "unknown: 1\ndefault_site"), "unknown", 26));
    BOOST_TEST(rejectedAt(changed("max_entry_instances: 12", "max_entry_instances: 12\nmax_entry_instances: 13"), "max_entry_instances", 2));
    BOOST_TEST(rejectedAt(changed("max_entry_instances: 12", "max_entry_instances: -1"), "max_entry_instances", 1));
    BOOST_TEST(rejectedAt(changed("max_entry_instances: 12", "max_entry_instances: 1.5"), "max_entry_instances", 1));
    BOOST_TEST(rejectedAt(changed("capacity_rps: 100", "capacity_rps: .nan"), "regions[0].capacity_rps", 4));
    BOOST_TEST(rejectedAt(changed("capacity_rps: 100", "capacity_rps: nan"), "regions[0].capacity_rps", 4));
    BOOST_TEST(rejectedAt(changed("capacity_rps: 100", "capacity_rps: inf"), "regions[0].capacity_rps", 4));
    BOOST_TEST(rejectedAt(changed("requests_per_second: 24", "requests_per_second: -24"), "shift_caps[0].requests_per_second", 16));
    BOOST_TEST(rejectedAt(changed("to: south", "to: north"), "shift_caps[0]", 16));
    BOOST_TEST(rejectedAt(changed("to: south", "to: west"), "shift_caps[0].to", 16));
    BOOST_TEST(rejectedAt(changed("interactive: {weight: 4, minimum_share: 0.3}", "interactive: {weight: 4, minimum_share: 0.7}"), "classes", 12));
    BOOST_TEST(rejectedAt(changed("name: south-a", "name: north-a"), "regions[1].failure_domains", 7));
    BOOST_TEST(rejectedAt(changed("failure_domain: north-a, address", "failure_domain: west-a, address"), "services[0].upstreams[0].failure_domain", 23));
    BOOST_TEST(rejectedAt(changed("connections: 40", "connections: 3"), "services[0].upstreams[0].connections", 23));
    BOOST_TEST(rejectedAt(changed("127.0.0.1:8080", "localhost:8080"), "services[0].upstreams[0].address", 23));
    BOOST_TEST(rejectedAt(changed("class: urgent", "class: fast"), "services[0].routes[0].class", 21));
    BOOST_TEST(rejectedAt(changed(", idempotent: false", ""), "services[0].routes[0].idempotent", 21));
    BOOST_TEST(rejectedAt(changed("[10.0.0.0/8]", "[10.0.0.1/8]"), "sites[0].blocks[0]", 25));
    BOOST_TEST(rejectedAt(changed("[10.0.0.0/8]", "[10.0.0.0/8, 10.0.0.0/8]"), "sites[0].blocks", 25));
    BOOST_TEST(rejectedAt(changed("default_site: north-site", "default_site: x"), "default_site", 26));
}

BOOST_AUTO_TEST_CASE(reportsAllFaultsAtOnce)
{
    std::string text = changed("max_entry_instances: 12", "max_entry_instances: 0");
    text = text.replace(text.find("class: urgent"), 13, "class: fast");
    try {
        parseDocument(text);
        BOOST_FAIL("accepted");
    } catch (const DocumentError &error) {
        BOOST_TEST(error.faults().size() == 2U);
    }
}

BOOST_AUTO_TEST_CASE(rejectsTextThatIsNotOneDocument)
{
    for (const std::string &text : {std::string(),
             std::string("- a\n- b\n"),
             std::string("a: [1, 2"),
             std::string("x"),
             s_minimal + "---\na: 1\n",
             std::string("a: &x 1\nb: *x\n"),
             std::string("? [a, b]\n: 1\n"),
             std::string(100'000, '['),
             std::string(document::s_maximumDocumentBytes + 1, ' ')}) {
        BOOST_CHECK_THROW(parseDocument(text), DocumentError);
    }
}

RC_BOOST_PROP(damagedTextIsParsedOrRejectedCleanly, ())
{
    std::string text = s_minimal;
    const auto edits = *rc::gen::inRange(1, 6);
    for (int i = 0; i < edits; ++i) {
        const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto length = *rc::gen::inRange<std::size_t>(0, 20);
        text.replace(position, std::min(length, text.size() - position), *rc::gen::arbitrary<std::string>());
    }
    try {
        parseDocument(text);
    } catch (const DocumentError &error) {
        RC_ASSERT(!error.faults().empty());
    }
}

BOOST_AUTO_TEST_CASE(hashIsSha256)
{
    BOOST_TEST(document::contentHash("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

BOOST_AUTO_TEST_SUITE_END()
