// Starts and stops a thread that runs an event loop.

#include "trefoilstile/daemon/worker.hpp"

#include <pthread.h>

#include <exception>
#include <utility>

#include "trefoilstile/daemon/log.hpp"

namespace trefoilstile::daemon
{

Worker::Worker(std::string name)
    : m_name(std::move(name))
    , m_context(1)
    , m_guard(boost::asio::make_work_guard(m_context))
{
}

Worker::~Worker()
{
    stop();
}

boost::asio::io_context &Worker::context()
{
    return m_context;
}

void Worker::start()
{
    m_thread = std::thread([this] {
        pthread_setname_np(pthread_self(), m_name.c_str());
        try {
            m_context.run();
        } catch (const std::exception &error) {
            // The process must not continue without one of its threads: peers and callers would still treat the instance as alive.
            log(m_name, "Unexpected error, terminating the process: {}", error.what());
            std::terminate();
        }
    });
}

void Worker::stop()
{
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

} // namespace trefoilstile::daemon
