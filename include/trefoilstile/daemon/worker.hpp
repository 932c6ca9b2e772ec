// Thread of one duty.
#pragma once

#include <string>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace trefoilstile::daemon
{

/// Runs an io_context on a thread of its own until `stop`.
class Worker
{
public:
    /// @param name of the thread, at most 15 bytes
    explicit Worker(std::string name);

    /// Stops and joins.
    ~Worker();
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    boost::asio::io_context &context();

    void start();

    /// Ends the loop and waits for the thread. Handlers that have not run are dropped.
    void stop();

private:
    std::string m_name;
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard;
    std::thread m_thread;
};

} // namespace trefoilstile::daemon
