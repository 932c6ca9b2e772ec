// Caller connection for tests of uploads, whose requests are sent in parts.
#pragma once

#include <string>
#include <utility>

#include "entry_fixture.hpp"

namespace trefoilstile::proxy::testing
{

inline constexpr std::size_t s_uploadBytes = 360'000;

/// An entry all of whose routes are for uploads.
struct UploadEntry : EntryFixture {
    explicit UploadEntry(ScriptedUpstream::Script script, int upstreamCount = 1)
        : EntryFixture(std::move(script), upstreamCount)
    {
        for (ingress::Route &route : core.configuration.routes) {
            route.largeBodies = true;
        }
    }
};

/// A connection to the entry.
class Caller
{
public:
    /// @param source address that the caller connects from
    explicit Caller(EntryFixture &entry, const std::string &source = "127.0.0.1")
        : m_entry(entry)
        , m_socket(entry.context, tcp::endpoint(boost::asio::ip::make_address(source), 0))
    {
        m_socket.connect(http::parseEndpoint(entry.listener->address()));
    }

    /// Sends bytes; returns the input up to `end`, or up to the close of the connection or the end of the time.
    std::string exchange(const std::string &bytes, const std::string &end, std::chrono::milliseconds time = 5s)
    {
        std::string response;
        bool done = false;
        boost::asio::co_spawn(
            m_entry.context,
            [&]() -> boost::asio::awaitable<void> {
                boost::system::error_code ignored; // the entry may close the connection
                co_await boost::asio::async_write(m_socket, boost::asio::buffer(bytes), boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
                response = co_await readUntil(m_socket, end);
                done = true;
                m_entry.context.stop();
            },
            boost::asio::detached);
        m_entry.context.restart();
        m_entry.context.run_for(time);
        while (!done) {
            m_socket.cancel();
            m_entry.context.restart();
            m_entry.context.run_one();
        }
        return response;
    }

    /// True if the entry has closed the connection.
    bool ended()
    {
        char byte = 0;
        boost::system::error_code error;
        m_socket.non_blocking(true);
        m_socket.read_some(boost::asio::buffer(&byte, 1), error);
        return error && error != boost::asio::error::would_block;
    }

private:
    EntryFixture &m_entry;
    tcp::socket m_socket;
};

/// An upload that carries the key `k1`.
/// @param chunked with a body of unknown length
inline std::string upload(const std::string &path, const std::string &id, std::size_t bytes, bool chunked = false)
{
    std::string text = request(path, id, "POST");
    const std::string framing = chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + std::to_string(bytes);
    text.replace(text.find("Content-Length: 0"), 17, framing + "\r\nAuthorization: Bearer k1");
    for (std::size_t sent = 0; chunked && sent < bytes; sent += 10'000) {
        text.append("2710\r\n").append(10'000, 'x').append("\r\n");
    }
    return chunked ? text + "0\r\n\r\n" : text.append(bytes, 'x');
}

/// Limits the memory of the entry to that of an instance with so many megabytes.
inline void limitMemory(EntryFixture &entry, double megabytes)
{
    entry.core.settings.memoryMegabytes = megabytes;
    entry.core.responseBudget->limit = static_cast<std::uint64_t>(megabytes * 250'000); // as in `EntryCore`
    entry.listener = std::make_unique<CallerListener>(entry.core);
}

} // namespace trefoilstile::proxy::testing
