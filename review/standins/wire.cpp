// Sockets, messages and encodings of the stand-ins.

#include "wire.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <stdexcept>
#include <utility>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review
{

namespace
{

const Clock::time_point s_start = Clock::now();

int remaining(Clock::time_point until)
{
    const auto left = std::chrono::ceil<milliseconds>(until - Clock::now()).count();
    return static_cast<int>(std::clamp<std::int64_t>(left, 0, 1'000'000));
}

sockaddr_in socketAddress(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

bool bindTo(int descriptor, const std::string &ip, std::uint16_t port)
{
    const sockaddr_in address = socketAddress(ip, port);
    return ::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
}

std::string word(const std::string &line, int index)
{
    std::size_t from = 0;
    for (int i = 0; i < index && from != std::string::npos; ++i) {
        from = line.find(' ', from);
        from = from == std::string::npos ? from : from + 1;
    }
    return from == std::string::npos ? std::string() : line.substr(from, line.find(' ', from) - from);
}

} // namespace

double elapsed(Clock::time_point at)
{
    return std::chrono::duration<double>(at - s_start).count();
}

double elapsed()
{
    return elapsed(Clock::now());
}

std::string Message::header(std::string_view name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

int Message::status() const
{
    return std::atoi(word(startLine, 1).c_str());
}

std::string Message::method() const
{
    return word(startLine, 0);
}

std::string Message::target() const
{
    return word(startLine, 1);
}

Socket::Socket(Socket &&other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
    , m_input(std::move(other.m_input))
{
}

Socket &Socket::operator=(Socket &&other) noexcept
{
    std::swap(m_descriptor, other.m_descriptor);
    std::swap(m_input, other.m_input);
    return *this;
}

Socket::~Socket()
{
    close();
}

Socket Socket::connectTo(const std::string &address)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const timeval limit{1, 0};
    ::setsockopt(socket.m_descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    const int enabled = 1;
    ::setsockopt(socket.m_descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    const std::size_t colon = address.find(':');
    const sockaddr_in remote = socketAddress(address.substr(0, colon), static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    if (::connect(socket.m_descriptor, reinterpret_cast<const sockaddr *>(&remote), sizeof(remote)) != 0) {
        socket.close();
    }
    return socket;
}

void Socket::close()
{
    if (m_descriptor >= 0) {
        ::close(std::exchange(m_descriptor, -1));
    }
}

bool Socket::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t count = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

bool Socket::waitForInput(Clock::time_point until) const
{
    pollfd state{m_descriptor, POLLIN, 0};
    return ::poll(&state, 1, remaining(until)) > 0;
}

ReadResult Socket::fill(Clock::time_point until)
{
    if (!waitForInput(until)) {
        return ReadResult::TimedOut;
    }
    std::array<char, 65536> buffer{};
    const ssize_t count = ::recv(m_descriptor, buffer.data(), buffer.size(), 0);
    if (count <= 0) {
        return count == 0 ? ReadResult::Closed : ReadResult::Broken;
    }
    m_input.append(buffer.data(), static_cast<std::size_t>(count));
    return ReadResult::Complete;
}

ReadResult Socket::read(Message &message, Clock::time_point until)
{
    message = {};
    std::size_t headEnd = 0;
    while ((headEnd = m_input.find("\r\n\r\n")) == std::string::npos) {
        const bool begun = !m_input.empty();
        const ReadResult result = fill(until);
        if (result != ReadResult::Complete) {
            return result == ReadResult::Closed && begun ? ReadResult::Broken : result;
        }
    }
    std::string_view head = std::string_view(m_input).substr(0, headEnd);
    const auto takeLine = [&head] {
        const std::size_t end = std::min(head.find("\r\n"), head.size());
        const std::string line(head.substr(0, end));
        head.remove_prefix(std::min(end + 2, head.size()));
        return line;
    };
    message.startLine = takeLine();
    while (!head.empty()) {
        const std::string line = takeLine();
        const std::size_t colon = std::min(line.find(':'), line.size());
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) {
            return static_cast<char>(std::tolower(letter));
        });
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        message.headers[name] = value == std::string::npos ? std::string() : line.substr(value);
    }
    const std::size_t length = std::strtoul(message.header("content-length").c_str(), nullptr, 10);
    m_input.erase(0, headEnd + 4);
    while (m_input.size() < length) {
        const ReadResult result = fill(until);
        if (result != ReadResult::Complete) {
            return result == ReadResult::Closed ? ReadResult::Broken : result;
        }
    }
    message.body = m_input.substr(0, length);
    m_input.erase(0, length);
    return ReadResult::Complete;
}

void Socket::discardUntilClosed(Clock::time_point until)
{
    while (fill(until) == ReadResult::Complete) {
        m_input.clear();
    }
}

Listener::Listener()
    : m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    if (!bindTo(m_descriptor, "127.0.0.1", 0) || ::listen(m_descriptor, 1024) != 0
        || ::getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
        throw std::runtime_error("cannot listen at a loopback port");
    }
    m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

Listener::~Listener()
{
    ::close(m_descriptor);
}

std::optional<Socket> Listener::accept()
{
    const int descriptor = ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) {
        return std::nullopt;
    }
    const int enabled = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    return Socket(descriptor);
}

void Listener::stop()
{
    ::shutdown(m_descriptor, SHUT_RDWR);
}

bool isFree(const std::string &ip, std::uint16_t port)
{
    const int stream = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int datagram = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const bool free = bindTo(stream, ip, port) && bindTo(datagram, ip, port);
    ::close(stream);
    ::close(datagram);
    return free;
}

std::string encodeBase64(std::string_view bytes)
{
    static constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        const std::size_t part = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8U | (j < part ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text += j <= part ? alphabet[group >> (18 - 6 * j) & 0x3fU] : '=';
        }
    }
    return text;
}

std::string decodeBase64(std::string_view text)
{
    std::string bytes;
    std::uint32_t group = 0;
    int bits = 0;
    for (const char letter : text) {
        int value = -1;
        if (letter >= 'A' && letter <= 'Z') {
            value = letter - 'A';
        } else if (letter >= 'a' && letter <= 'z') {
            value = letter - 'a' + 26;
        } else if (letter >= '0' && letter <= '9') {
            value = letter - '0' + 52;
        } else if (letter == '+' || letter == '/') {
            value = letter == '+' ? 62 : 63;
        } else {
            break;
        }
        group = group << 6U | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> static_cast<unsigned>(bits) & 0xffU);
        }
    }
    return bytes;
}

std::string queryParameter(std::string_view target, std::string_view name)
{
    std::string_view query = target.substr(std::min(target.find('?'), target.size()));
    while (!query.empty()) {
        query.remove_prefix(1);
        const std::string_view item = query.substr(0, query.find('&'));
        const std::size_t equals = std::min(item.find('='), item.size());
        if (item.substr(0, equals) == name) {
            // Only the separators that keys of the stand-ins contain are encoded.
            std::string value;
            const std::string_view encoded = item.substr(std::min(equals + 1, item.size()));
            for (std::size_t i = 0; i < encoded.size(); ++i) {
                const bool escape = encoded[i] == '%' && i + 2 < encoded.size();
                value += escape ? static_cast<char>(std::stoi(std::string(encoded.substr(i + 1, 2)), nullptr, 16)) : encoded[i];
                i += escape ? 2 : 0;
            }
            return value;
        }
        query.remove_prefix(item.size());
    }
    return {};
}

} // namespace review
