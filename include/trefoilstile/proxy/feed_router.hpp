// Reads a table from the source that `feed::SourcePolicy` chooses: the store, or another instance that follows the store.
#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <iterator>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "trefoilstile/feed/source_policy.hpp"
#include "trefoilstile/http/clock.hpp"
#include "trefoilstile/peer/feed_rows.hpp"
#include "trefoilstile/peer/payload.hpp"
#include "trefoilstile/proxy/row_store.hpp"

namespace trefoilstile::proxy
{

struct FeedTimes {
    /// How long a reader holds its answer back. An answer, also without changes, shows that the reader runs.
    base::Duration poll = std::chrono::milliseconds(400);
    /// How long an answer may be late before the reader counts as lost. Instances with a tenth of a processor need some hundred
    /// milliseconds when they are busy.
    base::Duration grace = std::chrono::milliseconds(333);
    base::Duration storePoll = std::chrono::seconds(3); ///< longest poll at the store by an instance that is no reader
};

/// Times for a bound on the time until a change must be in effect. A lost reader is noticed, and the next one asked, within 0.54 of it.
inline FeedTimes feedTimes(base::Duration bound)
{
    FeedTimes times;
    times.poll = bound / 5;
    times.grace = bound / 6;
    return times;
}

/// Sends a request to the instance at a peer address; nothing if there is no response within the time.
using FeedCall =
    std::function<boost::asio::awaitable<std::optional<peer::FeedResponse>>(std::string address, peer::FeedRequest request, base::Duration timeout)>;

template<RowReader Store>
class FeedRouter
{
public:
    FeedRouter(boost::asio::io_context &context, Store &store, FeedCall call, FeedTimes times, std::uint64_t seed, feed::SourceOptions options = {})
        : m_timer(context)
        , m_store(store)
        , m_call(std::move(call))
        , m_times(times)
        , m_policy(seed, options)
    {
    }

    boost::asio::awaitable<StoreResult> readAll(std::string table)
    {
        while (true) {
            const feed::Source source = m_policy.next(http::now());
            if (source.kind == feed::Source::Kind::Store) {
                co_return recordStore(co_await m_store.readAll(table));
            }
            if (source.kind == feed::Source::Kind::Wait) {
                co_await sleep(source.pause);
                continue;
            }
            // Built before the call: g++ 12 destroys aggregates twice that are built within a `co_await` expression.
            peer::FeedRequest request{table, {}, true, {}, true};
            std::optional<StoreResult> result = co_await readPages(source.address, std::move(request));
            if (result) {
                recordAnswer(source.address, result->sourceAvailable);
                m_storeAvailable = result->sourceAvailable;
                co_return std::move(*result);
            }
            recordFailure(source.address, m_notReady);
        }
    }

    boost::asio::awaitable<StoreResult> readChanges(std::string table, feed::Position after, base::Duration wait)
    {
        while (true) {
            const feed::Source source = m_policy.next(http::now());
            if (source.kind == feed::Source::Kind::Store) {
                const base::Duration poll = m_policy.isReader() ? wait : std::min(wait, m_times.storePoll);
                co_return recordStore(checkedEra(co_await m_store.readChanges(table, after, poll), after));
            }
            if (source.kind == feed::Source::Kind::Wait) {
                co_await sleep(source.pause);
                continue;
            }
            // The first answer of a reader is asked for at once, so that one that cannot be reached is noticed sooner.
            const base::Duration poll = m_followed == source.address ? m_times.poll : base::Duration::zero();
            peer::FeedRequest request{table, after, false, poll, m_storeAvailable};
            const std::optional<peer::FeedResponse> response = co_await m_call(source.address, std::move(request), poll + m_times.grace);
            const bool answered = response && (response->status == peer::FeedStatus::Changes || response->status == peer::FeedStatus::HistoryLost);
            std::optional<StoreResult> result = answered ? resultOf(*response, after) : std::nullopt;
            if (result) {
                // A reader that has not noticed the era that this instance knows is of no more use than one that lacks the store.
                result->sourceAvailable = result->sourceAvailable && response->position.era >= after.era;
                recordAnswer(source.address, result->sourceAvailable);
                m_storeAvailable = response->storeAvailable; // what the reader says, or it would answer the next request at once
                co_return std::move(*result);
            }
            recordFailure(source.address, response && response->status == peer::FeedStatus::NotReady);
        }
    }

    /// Changes after a position from a given instance, asked for once; nothing if it does not answer or lacks the history.
    boost::asio::awaitable<std::optional<StoreResult>> readOnce(std::string address, std::string table, feed::Position after)
    {
        return readPages(std::move(address), {std::move(table), after, false, {}, true});
    }

    void setReaders(bool self, std::vector<std::string> others)
    {
        m_policy.setReaders(self, std::move(others));
    }

    /// True if the table is read from the store now, so that other instances may follow this one.
    bool readsStore() const
    {
        return m_policy.readsStore();
    }

    /// Address of the reader that is followed; empty: none.
    const std::string &followed() const
    {
        return m_followed;
    }

private:
    static constexpr int s_maximumPages = 10'000; ///< of one read; a million rows, far above any table

    boost::asio::awaitable<std::optional<StoreResult>> readPages(std::string address, peer::FeedRequest request)
    {
        StoreResult all;
        for (int page = 0; page < s_maximumPages; ++page) {
            const auto response = co_await m_call(address, request, m_times.grace);
            m_notReady = response && response->status == peer::FeedStatus::NotReady;
            if (!response || response->status != peer::FeedStatus::Changes) {
                co_return std::nullopt;
            }
            std::optional<StoreResult> result = resultOf(*response, request.after);
            if (!result) {
                co_return std::nullopt;
            }
            std::move(result->rows.begin(), result->rows.end(), std::back_inserter(all.rows));
            result->rows = std::move(all.rows);
            all = std::move(*result);
            request.after = all.position;
            if (!response->more) {
                co_return all;
            }
        }
        co_return std::nullopt;
    }

    /// Nothing if the rows are malformed.
    static std::optional<StoreResult> resultOf(const peer::FeedResponse &response, feed::Position after)
    {
        const std::optional<std::vector<peer::FeedRow>> rows = peer::decodeFeedRows(response.rows);
        if (!rows) {
            return std::nullopt;
        }
        StoreResult result;
        result.status = response.status == peer::FeedStatus::Changes ? StoreStatus::Ok : StoreStatus::HistoryLost;
        result.position = std::max(response.position, after);
        result.sourceAvailable = response.storeAvailable;
        result.coalesced = true;
        result.rows.reserve(rows->size());
        for (const peer::FeedRow &row : *rows) {
            result.rows.push_back({row.key, row.value, {row.era.value_or(response.position.era), row.version}, row.removed});
        }
        return result;
    }

    void recordAnswer(const std::string &address, bool storeAvailable)
    {
        m_followed = address;
        if (storeAvailable) {
            m_policy.succeeded(address);
        } else {
            m_policy.withoutStore(address, http::now());
        }
    }

    StoreResult recordStore(StoreResult result)
    {
        if (result.status == StoreStatus::Failed || result.status == StoreStatus::Refused) {
            m_policy.storeFailed(http::now());
        }
        m_followed.clear();
        return result;
    }

    void recordFailure(const std::string &address, bool notReady)
    {
        m_followed.clear();
        if (notReady) {
            m_policy.notReady(address, http::now());
        } else {
            m_policy.failed(address, http::now());
        }
    }

    boost::asio::awaitable<void> sleep(base::Duration duration)
    {
        boost::system::error_code ignored; // the timer is not cancelled
        m_timer.expires_after(duration);
        co_await m_timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }

    boost::asio::steady_timer m_timer;
    Store &m_store;
    FeedCall m_call;
    FeedTimes m_times;
    feed::SourcePolicy m_policy;
    std::string m_followed;
    bool m_notReady = false; ///< status of the last response to `readPages`
    bool m_storeAvailable = true; ///< according to the last response of a reader
};

} // namespace trefoilstile::proxy
