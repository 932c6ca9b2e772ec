#include "test_support.hpp"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "trefoilstile/http/message.hpp"

namespace trefoilstile::http::testing
{

namespace
{

bool readable(int socket, std::chrono::milliseconds limit)
{
    pollfd state{socket, POLLIN, 0};
    return ::poll(&state, 1, static_cast<int>(limit.count())) > 0;
}

std::string fieldOf(const std::string &head, std::string_view name)
{
    const auto lower = lowerCase(head);
    const auto at = lower.find("\r\n" + std::string(name) + ": ");
    if (at == std::string::npos) {
        return {};
    }
    const auto start = at + name.size() + 4;
    return lower.substr(start, lower.find("\r\n", start) - start);
}

} // namespace

Peer::Peer(const std::string &address)
    : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
{
    const auto colon = address.rfind(':');
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    if (::connect(m_socket, reinterpret_cast<sockaddr *>(&to), sizeof to) != 0) {
        throw std::runtime_error("cannot connect to " + address);
    }
}

Peer::Peer(Peer &&other) noexcept
    : m_socket(std::exchange(other.m_socket, -1))
    , m_input(std::move(other.m_input))
{
}

Peer &Peer::operator=(Peer &&other) noexcept
{
    std::swap(m_socket, other.m_socket);
    std::swap(m_input, other.m_input);
    return *this;
}

Peer::~Peer()
{
    close();
}

void Peer::close()
{
    if (m_socket >= 0) {
        ::close(std::exchange(m_socket, -1));
    }
}

bool Peer::write(std::string_view bytes)
{
    // Without it, a small write waits for the acknowledgement of the one before.
    const int on = 1;
    ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    while (!bytes.empty()) {
        const auto count = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

bool Peer::fill()
{
    if (!readable(m_socket, s_hangLimit)) {
        throw std::runtime_error("nothing to read in time");
    }
    std::array<char, 65536> buffer{};
    const auto count = ::recv(m_socket, buffer.data(), buffer.size(), 0);
    if (count <= 0) {
        return false;
    }
    m_input.append(buffer.data(), static_cast<std::size_t>(count));
    return true;
}

std::string Peer::readHead()
{
    std::size_t end = 0;
    while ((end = m_input.find("\r\n\r\n")) == std::string::npos) {
        if (!fill()) {
            return {};
        }
    }
    std::string head = m_input.substr(0, end + 4);
    m_input.erase(0, end + 4);
    return head;
}

std::string Peer::readBytes(std::size_t count)
{
    while (m_input.size() < count && fill()) {}
    std::string bytes = m_input.substr(0, count);
    m_input.erase(0, count);
    return bytes;
}

WireMessage Peer::read(bool toHead)
{
    WireMessage message;
    message.head = readHead();
    if (message.head.empty() || toHead) {
        message.clean = !message.head.empty();
        return message;
    }
    if (fieldOf(message.head, "transfer-encoding") == "chunked") {
        while (!message.clean) {
            std::string line;
            while (!line.ends_with("\r\n")) {
                const std::string byte = readBytes(1);
                if (byte.empty()) {
                    return message;
                }
                line += byte;
            }
            const auto size = std::stoul(line, nullptr, 16);
            const std::string piece = readBytes(size + 2);
            message.body += piece.substr(0, size);
            if (piece.size() != size + 2) {
                return message;
            }
            message.clean = size == 0;
        }
        return message;
    }
    const std::string length = fieldOf(message.head, "content-length");
    const bool isRequest = !message.head.starts_with("HTTP/");
    const std::size_t wanted = length.empty() ? (isRequest ? 0 : std::string::npos) : std::stoul(length);
    message.body = readBytes(wanted);
    message.clean = message.body.size() == wanted;
    return message;
}

bool Peer::closedByOther()
{
    return m_input.empty() && !fill();
}

FakeUpstream::FakeUpstream()
    : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    if (::bind(m_socket, reinterpret_cast<sockaddr *>(&at), size) != 0 || ::listen(m_socket, 128) != 0) {
        throw std::runtime_error("cannot listen");
    }
    ::getsockname(m_socket, reinterpret_cast<sockaddr *>(&at), &size);
    m_address = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
}

FakeUpstream::~FakeUpstream()
{
    ::close(m_socket);
}

Peer FakeUpstream::accept()
{
    if (!readable(m_socket, s_hangLimit)) {
        throw std::runtime_error("no connection in time");
    }
    return Peer(::accept(m_socket, nullptr, nullptr));
}

bool FakeUpstream::pending() const
{
    return readable(m_socket, std::chrono::milliseconds(0));
}

IoThread::IoThread()
    : m_work(context.get_executor())
    , m_thread([this]() {
        context.run();
    })
{
}

IoThread::~IoThread()
{
    stop();
}

void IoThread::stop()
{
    if (m_thread.joinable()) {
        context.stop();
        m_thread.join();
    }
}

ServerFixture::ServerFixture(CallerServerOptions options, UpstreamClientOptions upstreamOptions)
{
    CallerHandlers handlers;
    handlers.event = [this](engine::Event event) {
        const std::lock_guard lock(m_mutex);
        m_events.push_back(std::move(event));
        m_changed.notify_one();
    };
    handlers.lookup = [](const LookupRequest &request) {
        return LookupResponse{200, "{\"service\":\"" + request.service + "\",\"client\":\"" + base::toString(request.client) + "\"}", {}};
    };
    io.call([&]() {
        upstreams = std::make_unique<UpstreamClient>(io.context, upstreamOptions);
        server = std::make_unique<CallerServer>(io.context, *upstreams, options, handlers);
        address = server->address();
    });
}

ServerFixture::~ServerFixture()
{
    io.stop();
}

void ServerFixture::execute(engine::Command command)
{
    io.call([&]() {
        server->execute(std::move(command));
    });
}

std::optional<engine::Event> ServerFixture::nextEvent()
{
    std::unique_lock lock(m_mutex);
    if (!m_changed.wait_for(lock, s_hangLimit, [this]() {
            return !m_events.empty();
        })) {
        return std::nullopt;
    }
    auto event = std::move(m_events.front());
    m_events.pop_front();
    return event;
}

std::size_t ServerFixture::pendingEvents()
{
    const std::lock_guard lock(m_mutex);
    return m_events.size();
}

engine::Forward ServerFixture::forward(const engine::RequestArrived &request, const std::string &to, bool fresh)
{
    engine::Forward command;
    command.id = request.id;
    command.attemptId = base::AttemptId{++m_lastAttempt};
    command.service = "booking";
    command.upstream = "u1";
    command.address = to;
    command.freshConnection = fresh;
    command.connectTimeout = s_hangLimit;
    command.firstByteTimeout = s_hangLimit;
    command.idleTimeout = s_hangLimit;
    return command;
}

} // namespace trefoilstile::http::testing
