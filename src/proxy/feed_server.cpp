// Requests that wait for changes, and their answers.

#include "trefoilstile/proxy/feed_server.hpp"

#include <algorithm>
#include <utility>

namespace trefoilstile::proxy
{

void FeedServer::addTable(const std::string &name, Table table)
{
    m_tables.emplace(name, std::move(table));
}

peer::FeedResponse FeedServer::respond(const peer::FeedRequest &request, bool &worthSending) const
{
    peer::FeedResponse response;
    response.table = request.table;
    worthSending = true;
    const auto found = m_tables.find(request.table);
    const bool once = request.wait <= base::Duration::zero();
    if (found != m_tables.end() && !found->second.copy.complete()) {
        response.status = peer::FeedStatus::NotReady;
        return response;
    }
    if (found == m_tables.end() || (!once && !found->second.readsStore())) {
        return response;
    }
    const Table &table = found->second;
    feed::Changes changes = table.copy.changesAfter(request.after, request.completeRead);
    response.status = changes.historyLost ? peer::FeedStatus::HistoryLost : peer::FeedStatus::Changes;
    response.version = changes.version;
    response.more = changes.more;
    response.storeAvailable = table.storeAvailable();
    worthSending = once || request.completeRead || changes.historyLost || !changes.rows.empty() || response.storeAvailable != request.storeAvailable;
    response.rows.reserve(changes.rows.size());
    for (feed::Row &row : changes.rows) {
        response.rows.push_back({std::move(row.key), std::move(row.value), row.version, row.removed});
    }
    return response;
}

void FeedServer::handle(peer::FeedRequest request, Reply reply, base::TimePoint now)
{
    bool worthSending = true;
    peer::FeedResponse response = respond(request, worthSending);
    if (worthSending) {
        reply(std::move(response));
    } else if (m_waiting.size() >= m_options.maximumWaiting) {
        peer::FeedResponse refusal;
        refusal.table = request.table;
        reply(std::move(refusal));
    } else {
        const base::TimePoint until = now + std::min(request.wait, m_options.maximumWait);
        m_waiting.push_back({std::move(request), std::move(reply), until});
    }
}

template<typename Selector>
void FeedServer::answerWaiting(Selector selects, bool withoutNews)
{
    std::vector<std::pair<Reply, peer::FeedResponse>> answers; // sent after the loop, because a reply may lead to a new request
    std::erase_if(m_waiting, [&](Waiting &waiting) {
        if (!selects(waiting)) {
            return false;
        }
        bool worthSending = false;
        peer::FeedResponse response = respond(waiting.request, worthSending);
        if (!worthSending && !withoutNews) {
            return false;
        }
        answers.emplace_back(std::move(waiting.reply), std::move(response));
        return true;
    });
    for (auto &[reply, response] : answers) {
        reply(std::move(response));
    }
}

void FeedServer::tableChanged(const std::string &name)
{
    const auto ofTable = [&name](const Waiting &waiting) {
        return waiting.request.table == name;
    };
    answerWaiting(ofTable, false);
}

void FeedServer::advance(base::TimePoint now)
{
    const auto ended = [now](const Waiting &waiting) {
        return waiting.until <= now;
    };
    answerWaiting(ended, true);
}

} // namespace trefoilstile::proxy
