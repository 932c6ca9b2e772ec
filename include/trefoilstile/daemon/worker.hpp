// Thread that runs an event loop.
#pragma once

#include <string>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace trefoilstile::daemon
{

/// Runs an io_context on its own thread until `stop`.
class Worker
{
public:
    /// @param name thread name, at most 15 bytes
    explicit Worker(std::string name);

    /// Stops the loop and joins the thread.
    ~Worker();
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    boost::asio::io_context &context();

    void start();

    /// Stops the loop and joins the thread. Pending handlers are not run.
    void stop();

private:
    std::string m_name;
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard;
    std::thread m_thread;
};

} // namespace trefoilstile::daemon
