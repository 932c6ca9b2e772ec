// Start and end of a duty's thread.

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
            // An instance that lost one of its threads must not go on half alive: peers and callers would trust it.
            log(m_name, "Unexpected error, the process ends: {}", error.what());
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
