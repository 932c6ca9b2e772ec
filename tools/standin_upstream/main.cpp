// Stand-in for an upstream: serves any request after a service time and misbehaves on demand.

#include <csignal>
#include <cstdio>
#include <exception>
#include <memory>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include "connection.hpp"
#include "service.hpp"

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

tcp::endpoint endpointOf(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        throw std::runtime_error(fmt::format("--listen: '{}' is not of the form IP:port", text));
    }
    return {asio::ip::make_address(text.substr(0, colon)), static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)))};
}

asio::awaitable<void> acceptAll(tcp::acceptor &acceptor, standin::Service &service)
{
    for (;;) {
        tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
        const auto connection = std::make_shared<standin::Connection>(std::move(socket), service);
        asio::co_spawn(
            acceptor.get_executor(),
            [connection]() {
                return connection->run();
            },
            asio::detached);
    }
}

void run(const standin::Settings &settings)
{
    asio::io_context context;
    standin::Service service(context, settings);
    tcp::acceptor acceptor(context, endpointOf(settings.listen));
    const auto local = acceptor.local_endpoint();
    fmt::print("listening {}:{}\n", local.address().to_string(), local.port());
    std::fflush(stdout);
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](const boost::system::error_code &, int) {
        context.stop();
    });
    asio::co_spawn(context, acceptAll(acceptor, service), asio::detached);
    context.run();
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Stand-in upstream for tests of trefoilstile");
    standin::Settings settings;
    long service = settings.service.count();
    long cold = 0;
    long loadLag = 0;
    long lieLoad = -1;
    std::string etag = "v1";
    app.add_option("--listen", settings.listen, "IP:port; port 0 chooses a free one");
    app.add_option("--slots", settings.slots, "requests served at the same time; as many may wait")->check(CLI::Range(1, 100'000));
    app.add_option("--service-ms", service, "time to serve a request")->check(CLI::Range(0L, 3'600'000L));
    app.add_option("--cold-ms", cold, "warming time after start, in which service is up to 4 times slower")->check(CLI::Range(0L, 3'600'000L));
    app.add_option("--lie-load", lieLoad, "number of busy slots that /load always reports")->check(CLI::Range(0L, 100'000L));
    app.add_option("--load-lag-ms", loadLag, "age of the load that /load reports")->check(CLI::Range(0L, 3'600'000L));
    app.add_option("--etag", etag, "entity tag of objects, without quotes");
    CLI11_PARSE(app, argc, argv);
    settings.service = standin::Milliseconds(service);
    settings.cold = standin::Milliseconds(cold);
    settings.loadLag = standin::Milliseconds(loadLag);
    settings.etag = "\"" + etag + "\"";
    if (lieLoad >= 0) {
        settings.lieLoad = static_cast<std::uint32_t>(lieLoad);
    }
    try {
        run(settings);
    } catch (const std::exception &error) {
        fmt::print(stderr, "standin_upstream: {}\n", error.what());
        return 1;
    }
    return 0;
}
