// Tests of the status page of the operator port.

#include "reporting_actor.hpp"

#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "trefoilstile/http/connection.hpp"

namespace trefoilstile::daemon
{

namespace
{

/// Gets `/v1/status` over a socket and returns its JSON body.
nlohmann::json readStatus(boost::asio::io_context &context, const ReportingActor &actor)
{
    boost::asio::ip::tcp::socket socket(context);
    socket.connect(http::parseEndpoint(actor.address()));
    const std::string request = "GET /v1/status HTTP/1.1\r\nHost: a\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(request));
    context.restart();
    context.run_for(std::chrono::milliseconds(200));
    std::string response(65'536, '\0');
    response.resize(socket.read_some(boost::asio::buffer(response)));
    return nlohmann::json::parse(response.substr(response.find("\r\n\r\n") + 4));
}

} // namespace

BOOST_AUTO_TEST_SUITE(Reporting)

// Guards against a status page that joins the generation of one sample with the hash of another: the decision thread and the peer thread
// report at different times.
BOOST_AUTO_TEST_CASE(generationAndHashAreOfOneSample)
{
    boost::asio::io_context context;
    Settings settings;
    settings.operatorAddress = "127.0.0.1:0";
    ReportingActor actor(context, settings, base::IncarnationId{1});
    actor.handle(PeerStatus{});
    DecisionStatus first;
    first.generation = base::Generation{1};
    first.hash = "aa";
    actor.handle(first);
    BOOST_TEST(readStatus(context, actor).at("hash") == "aa");
    DecisionStatus second;
    second.generation = base::Generation{2};
    second.hash = "bb";
    actor.handle(second); // the next report of the peer thread has not arrived yet
    const nlohmann::json status = readStatus(context, actor);
    BOOST_TEST(status.at("generation") == 2U);
    BOOST_TEST(status.at("hash") == "bb");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::daemon
