// Stand-in for a server of the users: runs requests for some time and answers with its signature.
#pragma once

#include <atomic>
#include <string>
#include <thread>

#include "observations.hpp"
#include "store.hpp"
#include "wire.hpp"

namespace review
{

class Server
{
public:
    Server(Observations &observations, std::string id, std::string service, std::string zone, milliseconds work);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    const std::string &id() const
    {
        return m_id;
    }

    /// Writes the entry of the server into the store, as the server does itself.
    void announce(Store &store, const std::string &state = "ready");

private:
    void serve(Socket connection);
    bool handle(Socket &connection, const Message &request);

    Observations &m_observations;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    milliseconds m_work;
    std::int64_t m_born;
    std::atomic<int> m_sequence{};
    std::atomic<int> m_running{};
    std::atomic<bool> m_leaving{};
    Listener m_listener;
    std::thread m_acceptor;
};

} // namespace review
