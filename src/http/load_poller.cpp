#include "trefoilstile/http/load_poller.hpp"

#include <map>
#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include "trefoilstile/base/random.hpp"
#include "trefoilstile/http/connection.hpp"
#include "trefoilstile/http/error.hpp"
#include "trefoilstile/http/response_reader.hpp"

namespace trefoilstile::http
{

namespace
{

// A load reply has five short members; anything much larger is not one.
constexpr std::size_t s_replyLimit = 4096;

struct Poll {
    Poll(asio::io_context &context, LoadTarget loadTarget)
        : target(std::move(loadTarget))
        , timer(context)
    {
    }

    LoadTarget target;
    asio::steady_timer timer; ///< until the next poll
    std::shared_ptr<Connection> connection; ///< kept between polls; null after a failure
    bool stopped = false;
};

std::optional<engine::UpstreamState> stateOf(const std::string &text)
{
    if (text == "live") {
        return engine::UpstreamState::Live;
    }
    if (text == "cold") {
        return engine::UpstreamState::Cold;
    }
    return text == "leaving" ? std::optional(engine::UpstreamState::Leaving) : std::nullopt;
}

std::optional<engine::LoadReported> parseLoad(const std::string &upstream, const std::string &body)
{
    try {
        const auto json = nlohmann::json::parse(body);
        const auto incarnation = base::incarnationFromHex(json.at("incarnation").get<std::string>());
        const auto state = stateOf(json.at("state").get<std::string>());
        const auto count = [&](const char *name) {
            const auto &value = json.at(name);
            // Range check: a plain conversion would wrap.
            return value.is_number_unsigned() && value.get<std::uint64_t>() <= UINT32_MAX ? std::optional(value.get<std::uint32_t>()) : std::nullopt;
        };
        const auto slots = count("slots");
        const auto busy = count("busy");
        const auto queued = count("queued");
        if (!incarnation || !state || !slots || !busy || !queued) {
            return std::nullopt;
        }
        return engine::LoadReported{upstream, *incarnation, *state, *slots, *busy, *queued};
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace

struct LoadPoller::Impl : std::enable_shared_from_this<LoadPoller::Impl> {
    Impl(asio::io_context &ioContext, LoadPollerOptions pollerOptions, std::function<void(engine::LoadReported)> reporter)
        : context(ioContext)
        , options(pollerOptions)
        , report(std::move(reporter))
        , random(options.seed)
    {
    }

    asio::awaitable<void> run(std::shared_ptr<Poll> poll);
    asio::awaitable<bool> pollOnce(std::shared_ptr<Poll> poll);
    asio::awaitable<bool> ask(std::shared_ptr<Poll> poll, std::string &body);

    asio::io_context &context;
    LoadPollerOptions options;
    std::function<void(engine::LoadReported)> report;
    base::SplitMix64 random;
    std::map<LoadTarget, std::shared_ptr<Poll>> polls;
};

asio::awaitable<void> LoadPoller::Impl::run(std::shared_ptr<Poll> poll)
{
    const auto self = shared_from_this();
    // The first poll comes at a random point of the period, so that a new document does not cause a burst.
    base::Duration wait(static_cast<base::Duration::rep>(base::uniformUnit(random) * static_cast<double>(options.period.count())));
    while (!poll->stopped) {
        ErrorCode ignored;
        poll->timer.expires_after(wait);
        co_await poll->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (poll->stopped) {
            break;
        }
        const bool reusable = co_await pollOnce(poll);
        if (!reusable && poll->connection) {
            poll->connection->close();
            poll->connection.reset();
        }
        wait = base::jittered(options.period, options.jitter, random);
    }
}

asio::awaitable<bool> LoadPoller::Impl::pollOnce(std::shared_ptr<Poll> poll)
{
    if (poll->connection && !poll->connection->quiet()) {
        poll->connection->close();
        poll->connection.reset();
    }
    std::string body;
    const bool reusable = co_await ask(poll, body);
    if (!poll->stopped && !body.empty()) {
        if (const auto load = parseLoad(poll->target.upstream, body)) {
            report(*load);
        }
    }
    co_return reusable && !poll->stopped;
}

/// Leaves `body` empty unless the response is a whole 200. True if the connection can be used again.
asio::awaitable<bool> LoadPoller::Impl::ask(std::shared_ptr<Poll> poll, std::string &body)
{
    if (!poll->connection) {
        poll->connection = std::make_shared<Connection>(context);
        poll->connection->readDeadline.set(options.timeout);
        const ErrorCode error = co_await poll->connection->connect(parseEndpoint(poll->target.address));
        if (error) {
            co_return false;
        }
    }
    const auto connection = poll->connection;
    connection->readDeadline.set(options.timeout);
    const std::string text = "GET /load HTTP/1.1\r\nHost: " + poll->target.address + "\r\n\r\n";
    const ErrorCode error = co_await connection->write(text, options.timeout);
    ResponseReader reader(connection, false);
    ResponseHead head;
    if (error) {
        co_return false;
    }
    const bool headRead = co_await reader.readHead(head);
    if (!headRead) {
        co_return false;
    }
    std::string received;
    std::vector<char> buffer(s_replyLimit);
    BodyRead read = BodyRead::Data;
    while (read == BodyRead::Data && received.size() <= s_replyLimit) {
        std::size_t count = 0;
        read = co_await reader.readBody(buffer, count);
        received.append(buffer.data(), count);
    }
    connection->readDeadline.clear();
    if (read == BodyRead::End && head.status == 200) {
        body = received;
    }
    co_return read == BodyRead::End &&reader.reusable();
}

LoadPoller::LoadPoller(boost::asio::io_context &context, LoadPollerOptions options, std::function<void(engine::LoadReported)> report)
    : m_impl(std::make_shared<Impl>(context, options, std::move(report)))
{
}

LoadPoller::~LoadPoller()
{
    stop();
}

void LoadPoller::setTargets(std::vector<LoadTarget> targets)
{
    auto previous = std::exchange(m_impl->polls, {});
    for (LoadTarget &target : targets) {
        if (auto kept = previous.extract(target)) {
            m_impl->polls.insert(std::move(kept));
            continue;
        }
        try {
            parseEndpoint(target.address);
        } catch (const Error &) {
            continue; // cannot be polled; attempts at it report the fault
        }
        const auto [entry, added] = m_impl->polls.try_emplace(target, nullptr);
        if (added) {
            entry->second = std::make_shared<Poll>(m_impl->context, target);
            asio::co_spawn(
                m_impl->context,
                [impl = m_impl, poll = entry->second]() {
                    return impl->run(poll);
                },
                asio::detached);
        }
    }
    for (const auto &[target, poll] : previous) {
        poll->stopped = true;
        poll->timer.cancel();
        if (poll->connection) {
            poll->connection->close();
        }
    }
}

void LoadPoller::stop()
{
    setTargets({});
}

} // namespace trefoilstile::http
