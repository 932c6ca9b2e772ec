// Entry point of trefoilstiled, the daemon of an entry instance.

#include <csignal>
#include <cstdio>
#include <exception>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>

#include "trefoilstile/daemon/daemon.hpp"
#include "trefoilstile/daemon/log.hpp"

using namespace trefoilstile::daemon;

namespace
{

constexpr int s_usageStatus = 2;
constexpr int s_failureStatus = 1;

/// Runs until a planned stop has completed. SIGTERM and SIGINT both start one; a second signal does not shorten it.
void run(const Settings &settings)
{
    boost::asio::io_context context(1);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    Daemon daemon(settings, [&context] {
        boost::asio::post(context, [&context] {
            context.stop();
        });
    });
    daemon.start();
    fmt::print("callers {} peers {} operators {}\n", daemon.callerAddress(), daemon.peerAddress(), daemon.operatorAddress());
    std::fflush(stdout);
    std::function<void()> waitForSignal = [&] {
        signals.async_wait([&](const boost::system::error_code &error, int) {
            if (!error) {
                daemon.beginPlannedStop();
                waitForSignal();
            }
        });
    };
    waitForSignal();
    context.run();
    daemon.stop();
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN); // writing to a closed connection returns an error instead
    try {
        run(parseSettings(std::vector<std::string>(argv + 1, argv + argc)));
        log("daemon", "Ended.");
        return 0;
    } catch (const HelpRequested &help) {
        fmt::print("{}\n", help.what());
        return 0;
    } catch (const SettingsError &error) {
        fmt::print(stderr, "trefoilstiled: {}\n", error.what());
        return s_usageStatus;
    } catch (const std::exception &error) {
        log("daemon", "Cannot run: {}", error.what());
        return s_failureStatus;
    }
}
