// Coroutines of the entry process that must not end unnoticed.
//
// A detached coroutine that throws ends silently, so the activity would stop for good. Here an exception is logged and counted, and
// the activity starts again.
#pragma once

#include <algorithm>
#include <chrono>
#include <exception>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "trefoilstile/http/clock.hpp"
#include "trefoilstile/proxy/entry_core.hpp"

namespace trefoilstile::proxy
{

/// Pauses before an activity that failed starts again. Short, because callers are affected; bounded below, so that an error that
/// repeats at once does not use up the processor.
struct RestartOptions {
    base::Duration initialPause = std::chrono::milliseconds(250);
    base::Duration maximumPause = std::chrono::seconds(4);
};

/// Logs an exception that ended an activity, and counts it.
inline void logActivityFailure(EntryCore &core, std::string_view activity, std::string_view error)
{
    core.metrics.increment("trefoilstile_activity_failures_total", {{"activity", std::string(activity)}});
    LogLine line("activity_failed");
    line.text("activity", activity).text("error", error);
    core.log.write(line, http::now());
}

/// Text of the exception, also of one that is not a `std::exception`.
inline std::string describe(const std::exception_ptr &exception)
{
    try {
        std::rethrow_exception(exception);
    } catch (const std::exception &error) {
        return error.what();
    } catch (...) {
        return "unknown exception";
    }
}

/// Runs an activity until it ends without an exception.
/// @param function starts the activity; returns an `awaitable<void>`
template<typename Function>
boost::asio::awaitable<void> superviseActivity(EntryCore &core, std::string activity, Function function, RestartOptions options = {})
{
    base::Duration pause = options.initialPause;
    while (true) {
        std::exception_ptr failure;
        try {
            co_await function();
        } catch (...) {
            failure = std::current_exception();
        }
        if (!failure) {
            co_return;
        }
        logActivityFailure(core, activity, describe(failure));
        boost::asio::steady_timer timer(core.context, pause);
        boost::system::error_code ignored; // the timer is not cancelled
        co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        pause = std::min(pause * 2, options.maximumPause);
    }
}

/// Starts an activity that is restarted after an exception.
template<typename Function>
void spawnSupervised(EntryCore &core, std::string activity, Function function, RestartOptions options = {})
{
    boost::asio::co_spawn(
        core.context,
        [&core, activity = std::move(activity), function = std::move(function), options]() {
            return superviseActivity(core, activity, function, options);
        },
        [](const std::exception_ptr &) { // the coroutine handles all exceptions
        });
}

/// Starts a coroutine that serves a single request or connection and is not restarted.
/// @param onFailure called after the exception has been logged
template<typename Function, typename OnFailure>
void spawnOnce(EntryCore &core, std::string activity, Function function, OnFailure onFailure)
{
    boost::asio::co_spawn(
        core.context, std::move(function), [&core, activity = std::move(activity), onFailure = std::move(onFailure)](const std::exception_ptr &exception) {
            if (exception) {
                logActivityFailure(core, activity, describe(exception));
                onFailure();
            }
        });
}

} // namespace trefoilstile::proxy
