// Answers requests of other instances for the changes of the tables that this instance knows.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "trefoilstile/base/time.hpp"
#include "trefoilstile/feed/table_copy.hpp"
#include "trefoilstile/peer/payload.hpp"

namespace trefoilstile::proxy
{

struct FeedServerOptions {
    base::Duration maximumWait = std::chrono::seconds(5); ///< longest time for which an answer is held back
    std::size_t maximumWaiting = 512; ///< requests held back; further ones are sent to another reader
    std::size_t keptAnswers = 8; ///< the pages of two complete tables, and the changes of the last calls
};

class FeedServer
{
public:
    /// A table and how this instance follows it.
    struct Table {
        const feed::TableCopy &copy;
        std::function<bool()> readsStore; ///< this instance reads the table from the store itself
        std::function<bool()> storeAvailable; ///< the store answered the last call
    };

    /// Takes the answer; called once for each request.
    using Reply = std::function<void(peer::FeedResponse)>;

    explicit FeedServer(FeedServerOptions options = {})
        : m_options(options)
    {
    }

    void addTable(const std::string &name, Table table);

    /// Answers at once, or when there are changes, or at the end of the wait of the request.
    void handle(peer::FeedRequest request, Reply reply, base::TimePoint now);

    /// Answers the requests that wait for a change of the table.
    void tableChanged(const std::string &name);

    /// Answers the requests whose wait has ended. Call several times per second.
    void advance(base::TimePoint now);

    std::size_t waiting() const
    {
        return m_waiting.size();
    }

private:
    struct Waiting {
        peer::FeedRequest request;
        Reply reply;
        base::TimePoint until;
    };

    /// Encoded answer with changes; valid while the copy is at `copyPosition`.
    struct Answer {
        std::string table;
        feed::Position after;
        bool completeRead = false;
        feed::Position copyPosition;
        peer::FeedResponse response; ///< without the availability of the store
    };

    /// Response to the request as things are now; `worthSending` is false if it has nothing new.
    peer::FeedResponse respond(const peer::FeedRequest &request, bool &worthSending);

    /// The changes for the request. Followers ask for the same ones at the same time, so the latest answers are kept.
    const peer::FeedResponse &changesFor(const peer::FeedRequest &request, const feed::TableCopy &copy);

    /// Answers and removes the waiting requests that `selects` selects.
    /// @param withoutNews also those for which there is nothing new
    template<typename Selector>
    void answerWaiting(Selector selects, bool withoutNews);

    FeedServerOptions m_options;
    std::map<std::string, Table, std::less<>> m_tables;
    std::vector<Waiting> m_waiting;
    std::deque<Answer> m_answers; ///< the latest ones, newest first
};

} // namespace trefoilstile::proxy
