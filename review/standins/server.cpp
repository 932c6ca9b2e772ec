// Request handling of the stand-in server.

#include "server.hpp"

#include <nlohmann/json.hpp>

namespace review
{

namespace
{

constexpr int s_slots = 9;
constexpr auto s_idleTimeout = std::chrono::seconds(10); ///< also stated in the answers

} // namespace

Server::Server(Observations &observations, std::string id, std::string service, std::string zone, milliseconds work)
    : m_observations(observations)
    , m_id(std::move(id))
    , m_service(std::move(service))
    , m_zone(std::move(zone))
    , m_work(work)
    , m_born(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    , m_acceptor([this] {
        while (auto connection = m_listener.accept()) {
            std::thread([this, accepted = std::move(*connection)]() mutable {
                serve(std::move(accepted));
            }).detach();
        }
    })
{
}

Server::~Server()
{
    m_listener.stop();
    m_acceptor.join();
}

void Server::announce(Store &store, const std::string &state)
{
    m_leaving = state == "draining";
    const nlohmann::json entry{{"service", m_service},
        {"address", m_listener.address()},
        {"zone", m_zone},
        {"version", "v1"},
        {"slots", s_slots},
        {"state", state},
        {"warmup_left", "0ms"},
        {"sequence", ++m_sequence},
        {"born", m_born}};
    store.put("servers", m_id, entry.dump());
}

void Server::serve(Socket connection)
{
    Message request;
    while (connection.read(request, Clock::now() + s_idleTimeout) == ReadResult::Complete) {
        if (!handle(connection, request)) {
            return;
        }
    }
}

bool Server::handle(Socket &connection, const Message &request)
{
    const std::string id = request.header("x-request-attempt-id");
    const std::string expected = request.header("x-expect-instance");
    std::string fields = "X-Request-Attempt-Id: " + id + "\r\nKeep-Alive: timeout=10\r\n";
    fields += "X-Backend-Load: " + std::to_string(m_running) + ",0," + std::to_string(s_slots) + "\r\n";
    if (m_leaving) {
        fields += "Server-Leaving: 1\r\n";
    }
    if (!expected.empty() && expected != m_id) {
        return connection.write("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + m_id + "\r\n" + fields + "Content-Length: 0\r\n\r\n");
    }
    if (m_running >= s_slots) {
        return connection.write("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n" + fields + "Content-Length: 0\r\n\r\n");
    }
    ++m_running;
    m_observations.ran(id, m_id, m_service);
    std::this_thread::sleep_for(m_work);
    --m_running;
    const std::string body = "answer to " + id;
    return connection.write(
        "HTTP/1.1 200 OK\r\nX-Server-Seal: seal-" + id + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

} // namespace review
