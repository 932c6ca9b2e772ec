// Program `standin_platform`: the platform's HTTP interface over memory, with faults that tests set.

#include <charconv>
#include <exception>
#include <string>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include "server.hpp"

int main(int argc, char **argv)
{
    CLI::App app("In-memory stand-in for the platform's table service, object store and instance list");
    std::string listen = "127.0.0.1:0";
    app.add_option("--listen", listen, "IP:port to listen on; port 0 takes a free one")->capture_default_str();
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : 2;
    }

    const auto colon = listen.rfind(':');
    std::uint16_t port{};
    const char *end = listen.data() + listen.size();
    if (colon == std::string::npos || std::from_chars(listen.data() + colon + 1, end, port).ptr != end || colon + 1 == listen.size()) {
        fmt::print(stderr, "--listen {}: must be IP:port\n", listen);
        return 2;
    }
    std::string address = listen.substr(0, colon);
    if (address.starts_with('[') && address.ends_with(']')) {
        address = address.substr(1, address.size() - 2);
    }

    try {
        trefoilstile::standin::PlatformService service;
        trefoilstile::standin::serve(address, port, service);
    } catch (const std::exception &error) {
        fmt::print(stderr, "standin_platform: {}\n", error.what());
        return 1;
    }
    return 0;
}
