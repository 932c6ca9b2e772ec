// Bounded single-producer, single-consumer ring buffer that wakes up the consumer.
#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <thread>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/lockfree/spsc_queue.hpp>

namespace trefoilstile::daemon
{

/// For one producer thread and one consumer thread that runs an io_context. The ring must outlive the last run of that context.
template<typename T>
class Ring
{
public:
    /// @param capacity maximum number of entries
    /// @param handler called on the consumer thread for each entry, in order
    Ring(std::size_t capacity, boost::asio::io_context &consumer, std::function<void(T)> handler)
        : m_queue(capacity)
        , m_consumer(consumer)
        , m_handler(std::move(handler))
    {
    }

    /// Adds an entry; returns false if the ring is full. Producer only.
    bool tryPush(const T &entry)
    {
        if (!m_queue.push(entry)) {
            return false;
        }
        if (!m_wakePosted.exchange(true)) {
            boost::asio::post(m_consumer, [this] {
                drain();
            });
        }
        return true;
    }

    /// Adds an entry; yields the processor until there is space. Only for rings whose consumer never waits for the producer,
    /// since both would wait forever otherwise. Producer only.
    void push(const T &entry)
    {
        while (!tryPush(entry)) {
            std::this_thread::yield();
        }
    }

    /// Lower bound of the entries that can be pushed now. Producer only.
    std::size_t freeSlots() const
    {
        return m_queue.write_available();
    }

private:
    void drain()
    {
        // Cleared before consuming: an entry pushed during the loop is either consumed by it or posts another wake-up.
        m_wakePosted.store(false);
        m_queue.consume_all([this](T &entry) {
            m_handler(std::move(entry));
        });
    }

    boost::lockfree::spsc_queue<T> m_queue;
    std::atomic<bool> m_wakePosted{false}; // true from posting a wake-up until it runs
    boost::asio::io_context &m_consumer;
    std::function<void(T)> m_handler;
};

} // namespace trefoilstile::daemon
