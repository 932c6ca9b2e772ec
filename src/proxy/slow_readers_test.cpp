// Tests of callers that do not read their responses, and of large request bodies.

#include <algorithm>
#include <fstream>
#include <map>

#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

#include "upload_fixture.hpp"

namespace trefoilstile::proxy
{

using namespace testing;

namespace
{

constexpr std::size_t s_largeBytes = 360'000;
constexpr int s_slowReaders = 200;
constexpr std::uint64_t s_maximumResident = 120'000'000; ///< required of an instance with 160 MB

/// Resident memory of this process in bytes, with both ends of all connections.
/// 0 with AddressSanitizer, whose own memory is several times that of the process.
std::uint64_t residentBytes()
{
#ifdef __SANITIZE_ADDRESS__
    return 0;
#endif
    std::ifstream file("/proc/self/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    file >> total >> resident;
    return resident * 4096;
}

/// A caller that sends a request and reads nothing of the response.
boost::asio::awaitable<void> sendAndReadNothing(tcp::socket &socket, std::string address, std::string id)
{
    socket.open(tcp::v4());
    socket.set_option(boost::asio::socket_base::receive_buffer_size(4'096));
    co_await socket.async_connect(http::parseEndpoint(address), boost::asio::use_awaitable);
    const std::string bytes = request("/reads/large", id);
    co_await boost::asio::async_write(socket, boost::asio::buffer(bytes), boost::asio::use_awaitable);
}

/// Sends uploads on 200 connections from so many addresses, and one from another address; checks that others are served meanwhile.
/// @param maximumHeld uploads that the memory for the addresses holds
void uploadFrom(int addresses, int maximumHeld)
{
    UploadEntry entry(
        [](const std::string &received) {
            return ScriptedReply{signedResponse(idOf(received), "small"), false, received.starts_with("POST") ? 700ms : 0ms};
        },
        8);
    limitMemory(entry, 160);
    const std::string bytes = upload("/holds/1", "u", s_uploadBytes);
    std::map<std::string, int> statuses;
    for (int i = 0; i < s_slowReaders; ++i) {
        boost::asio::co_spawn(
            entry.context,
            [&, i]() -> boost::asio::awaitable<void> {
                tcp::socket socket(entry.context, tcp::endpoint(boost::asio::ip::make_address("127.0.0." + std::to_string(2 + i % addresses)), 0));
                boost::system::error_code ignored; // the entry may close the connection while the body is sent
                co_await socket.async_connect(http::parseEndpoint(entry.listener->address()), boost::asio::use_awaitable);
                co_await boost::asio::async_write(socket, boost::asio::buffer(bytes), boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
                ++statuses[(co_await readUntil(socket, "\r\n\r\n")).substr(0, 12)];
            },
            boost::asio::detached);
    }
    std::uint64_t peak = 0;
    entry.context.restart();
    for (int i = 0; i < 20; ++i) {
        entry.context.run_for(20ms);
        peak = std::max(peak, residentBytes());
    }
    BOOST_TEST(startsWith(entry.send(request("/reads/1", "r"), "small"), "HTTP/1.1 200"));
    if (addresses == 1) {
        BOOST_TEST(startsWith(Caller(entry).exchange(bytes, "\r\n\r\n"), "HTTP/1.1 200"));
    }
    entry.context.restart();
    entry.context.run_for(2s);
    BOOST_TEST(statuses["HTTP/1.1 200"] > maximumHeld * 4 / 7);
    BOOST_TEST(statuses["HTTP/1.1 200"] <= maximumHeld);
    BOOST_TEST(statuses["HTTP/1.1 503"] == s_slowReaders - statuses["HTTP/1.1 200"]);
    BOOST_TEST(peak < s_maximumResident);
    BOOST_TEST_MESSAGE("peak of the resident memory of both ends: " << peak << " bytes");
}

} // namespace

BOOST_AUTO_TEST_SUITE(SlowReaders)

// Guards against callers that do not read their responses and thereby take the memory that the responses of others need.
BOOST_AUTO_TEST_CASE(slowReadersLeaveOthersServed)
{
    const std::string large(s_largeBytes, 'x');
    std::map<std::string, base::TimePoint> arrivals; // first arrival of each request at an upstream
    base::Duration shortestRepeat = base::Duration::max();
    EntryFixture entry(
        [&](const std::string &received) {
            const auto [first, added] = arrivals.emplace(idOf(received), http::now());
            shortestRepeat = added ? shortestRepeat : std::min<base::Duration>(shortestRepeat, http::now() - first->second);
            return ScriptedReply{signedResponse(idOf(received), received.find("/reads/large") == std::string::npos ? "small" : large + "END")};
        },
        8);
    limitMemory(entry, 160);
    std::vector<tcp::socket> sockets;
    for (int i = 0; i < s_slowReaders; ++i) {
        sockets.emplace_back(entry.context);
    }
    for (int i = 0; i < s_slowReaders; ++i) {
        boost::asio::co_spawn(
            entry.context, sendAndReadNothing(sockets[static_cast<std::size_t>(i)], entry.listener->address(), "s" + std::to_string(i)), boost::asio::detached);
        entry.context.restart();
        entry.context.run_for(5ms); // as many at once as a burst of one caller
    }
    entry.context.restart();
    entry.context.run_for(500ms);
    std::uint64_t peak = residentBytes();
    int served = 0;
    for (int i = 0; i < 20; ++i) {
        const bool small = i % 2 == 0;
        const std::string response = entry.send(request(small ? "/reads/small" : "/reads/large", "r" + std::to_string(i)), small ? "small" : "END");
        served += startsWith(response, "HTTP/1.1 200") ? 1 : 0;
        peak = std::max(peak, residentBytes());
    }
    BOOST_TEST(served == 20);
    BOOST_TEST(arrivals.size() == s_slowReaders + 20U);
    // On a busy machine a request may take longer than its objective; a second attempt may then start, and not sooner.
    BOOST_TEST((shortestRepeat >= 300ms));
    BOOST_TEST(peak < s_maximumResident);
    BOOST_TEST_MESSAGE("peak of the resident memory of both ends: " << peak << " bytes");
}

// Guards against uploads that take the memory of the process, and against small requests that are not served while they are held.
BOOST_AUTO_TEST_CASE(requestBodiesAreBoundedForTheProcess)
{
    uploadFrom(8, 88); // 32 MB hold 88 bodies
}

// Guards against a caller with many connections that takes the memory that the uploads of others need.
BOOST_AUTO_TEST_CASE(requestBodiesAreBoundedForEachCaller)
{
    uploadFrom(1, 22); // a quarter of it
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::proxy
