// Requests that wait for changes, and their answers.

#include "trefoilstile/proxy/feed_server.hpp"

#include <algorithm>
#include <utility>

#include "trefoilstile/peer/feed_rows.hpp"

namespace trefoilstile::proxy
{

void FeedServer::addTable(const std::string &name, Table table)
{
    m_tables.emplace(name, std::move(table));
}

peer::FeedResponse FeedServer::respond(const peer::FeedRequest &request, bool &worthSending)
{
    worthSending = true;
    const auto found = m_tables.find(request.table);
    const bool once = request.wait <= base::Duration::zero();
    const bool ready = found != m_tables.end() && found->second.copy.complete();
    if (!ready || (!once && !found->second.readsStore())) {
        peer::FeedResponse refusal;
        refusal.table = request.table;
        refusal.status = found != m_tables.end() && !ready ? peer::FeedStatus::NotReady : peer::FeedStatus::NotReader;
        return refusal;
    }
    peer::FeedResponse response = changesFor(request, found->second.copy);
    response.storeAvailable = found->second.storeAvailable();
    const bool hasNews = response.status == peer::FeedStatus::HistoryLost || !response.rows.bytes.empty() || response.storeAvailable != request.storeAvailable;
    worthSending = once || request.completeRead || hasNews;
    return response;
}

const peer::FeedResponse &FeedServer::changesFor(const peer::FeedRequest &request, const feed::TableCopy &copy)
{
    const auto kept = std::find_if(m_answers.begin(), m_answers.end(), [&](const Answer &answer) {
        return answer.copyPosition == copy.position() && answer.after == request.after && answer.completeRead == request.completeRead
            && answer.table == request.table;
    });
    if (kept != m_answers.end()) {
        return kept->response;
    }
    const feed::Changes changes = copy.changesAfter(request.after, request.completeRead);
    std::vector<peer::FeedRow> rows;
    rows.reserve(changes.rows.size());
    for (const feed::Row &row : changes.rows) {
        const auto era = row.position.era == changes.position.era ? std::nullopt : std::optional(row.position.era);
        rows.push_back({row.key, row.value, row.position.version, row.removed, era});
    }
    Answer answer{request.table, request.after, request.completeRead, copy.position(), {}};
    answer.response.table = request.table;
    answer.response.status = changes.historyLost ? peer::FeedStatus::HistoryLost : peer::FeedStatus::Changes;
    answer.response.position = changes.position;
    answer.response.more = changes.more;
    answer.response.rows = peer::encodeFeedRows(rows);
    m_answers.push_front(std::move(answer));
    if (m_answers.size() > m_options.keptAnswers) {
        m_answers.pop_back();
    }
    return m_answers.front().response;
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
