#include "connection_pool.hpp"

#include <algorithm>
#include <utility>

#include "trefoilstile/http/clock.hpp"

namespace trefoilstile::http
{

ConnectionPool::ConnectionPool(asio::io_context &context, const UpstreamClientOptions &options)
    : m_context(context)
    , m_options(options)
    , m_open(std::make_shared<std::size_t>(0))
    , m_sweepTimer(context)
{
}

std::shared_ptr<Connection> ConnectionPool::takeIdle(const std::string &address)
{
    const auto found = m_idle.find(address);
    if (found == m_idle.end()) {
        return nullptr;
    }
    std::shared_ptr<Connection> taken;
    auto &list = found->second;
    while (!taken && !list.empty()) {
        // The youngest first: it is the least likely to be closed by the upstream.
        const Idle last = std::move(list.back());
        list.pop_back();
        --m_idleCount;
        if (now() - last.since < m_options.idleAge && last.connection->quiet()) {
            taken = last.connection;
        } else {
            last.connection->close();
        }
    }
    if (list.empty()) {
        m_idle.erase(found);
    }
    return taken;
}

std::shared_ptr<Connection> ConnectionPool::create()
{
    if (*m_open >= m_options.maximumConnections) {
        closeIdle();
    }
    if (*m_open >= m_options.maximumConnections) {
        return nullptr;
    }
    auto connection = std::make_shared<Connection>(m_context);
    ++*m_open;
    connection->countToken = std::shared_ptr<void>(m_open.get(), [open = m_open](void *) {
        --*open;
    });
    return connection;
}

void ConnectionPool::putBack(const std::string &address, std::shared_ptr<Connection> connection)
{
    connection->readDeadline.clear();
    connection->writeDeadline.clear();
    connection->input.shrink_to_fit();
    auto &list = m_idle[address];
    if (list.size() >= m_options.idlePerAddress) {
        connection->close();
        if (list.empty()) {
            m_idle.erase(address);
        }
        return;
    }
    list.push_back({std::move(connection), now()});
    ++m_idleCount;
    sweepLater();
}

void ConnectionPool::closeIdle()
{
    for (auto &[address, list] : m_idle) {
        for (Idle &idle : list) {
            idle.connection->close();
        }
    }
    m_idle.clear();
    m_idleCount = 0;
    m_sweepTimer.cancel();
}

void ConnectionPool::sweepLater()
{
    if (m_sweepPending) {
        return;
    }
    m_sweepPending = true;
    m_sweepTimer.expires_after(m_options.idleAge);
    m_sweepTimer.async_wait([weak = weak_from_this()](ErrorCode) {
        if (const auto self = weak.lock()) {
            self->m_sweepPending = false;
            self->sweep();
        }
    });
}

void ConnectionPool::sweep()
{
    const base::TimePoint oldest = now() - m_options.idleAge;
    for (auto entry = m_idle.begin(); entry != m_idle.end();) {
        auto &list = entry->second;
        const auto kept = std::find_if(list.begin(), list.end(), [&](const Idle &idle) {
            return idle.since > oldest;
        });
        m_idleCount -= static_cast<std::size_t>(kept - list.begin());
        list.erase(list.begin(), kept);
        entry = list.empty() ? m_idle.erase(entry) : std::next(entry);
    }
    if (m_idleCount > 0) {
        sweepLater();
    }
}

UpstreamClient::UpstreamClient(boost::asio::io_context &context, UpstreamClientOptions options)
    : m_options(std::move(options))
    , m_pool(std::make_shared<ConnectionPool>(context, m_options))
{
}

UpstreamClient::~UpstreamClient() = default;

std::size_t UpstreamClient::openConnections() const
{
    return m_pool->open();
}

std::size_t UpstreamClient::idleConnections() const
{
    return m_pool->idle();
}

void UpstreamClient::closeIdle()
{
    m_pool->closeIdle();
}

const UpstreamClientOptions &UpstreamClient::options() const
{
    return m_options;
}

ConnectionPool &UpstreamClient::pool()
{
    return *m_pool;
}

} // namespace trefoilstile::http
