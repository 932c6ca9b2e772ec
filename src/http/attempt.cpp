// Carries out `Forward`.
#include "transfer.hpp"

#include <algorithm>
#include <exception>
#include <utility>

#include "trefoilstile/http/clock.hpp"

namespace trefoilstile::http
{

namespace
{

using engine::AttemptResult;

// Responses to keyed requests (holds, payments) are small; larger ones are kept without their body.
constexpr std::size_t s_keptBody = 16U * 1024U;

// A rejection's body is read only to be able to reuse the connection; the engine waits for the result meanwhile.
constexpr base::Duration s_rejectionWait = std::chrono::milliseconds(200);

bool isConditional(const Request &request)
{
    static constexpr std::string_view names[] = {"Range", "If-Match", "If-None-Match", "If-Range", "If-Modified-Since", "If-Unmodified-Since"};
    return std::any_of(std::begin(names), std::end(names), [&](std::string_view name) {
        return findHeader(request.headers, name) != nullptr;
    });
}

/// Entity tag by which the rest of the response can be asked for; empty if it cannot.
std::string resumableTag(const Request &request, const ResponseHead &head)
{
    const std::string *etag = findHeader(head.headers, "ETag");
    const bool plain = findHeader(head.headers, "Content-Encoding") == nullptr;
    const bool whole = head.status == 200 && request.method == "GET" && !isConditional(request);
    return whole && plain && etag != nullptr && isStrongETag(*etag) ? *etag : std::string();
}

bool headerEquals(const ResponseHead &head, std::string_view name, std::string_view value)
{
    const std::string *found = findHeader(head.headers, name);
    return found != nullptr && equalsIgnoreCase(*found, value);
}

/// True if a 206 response carries exactly the rest of the object that `exchange` has passed on in part.
bool continues(const Exchange &exchange, const ResponseHead &head)
{
    const std::string *etag = findHeader(head.headers, "ETag");
    const std::string *rangeText = findHeader(head.headers, "Content-Range");
    const auto range = rangeText != nullptr ? parseContentRange(*rangeText) : std::nullopt;
    if (head.status != 206 || etag == nullptr || *etag != exchange.etag || !range || findHeader(head.headers, "Content-Encoding") != nullptr) {
        return false;
    }
    const bool whole = range->first == exchange.delivered && range->last + 1 == range->total;
    const bool sameTotal = !exchange.total || *exchange.total == range->total;
    const bool sameLength = !head.contentLength || *head.contentLength == range->total - range->first;
    return whole && sameTotal && sameLength;
}

} // namespace

std::string forwardedHead(const Request &request, const Headers &extra)
{
    Headers headers = request.headers;
    removeHopByHop(headers);
    removeOwnFields(headers);
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    appendFields(text, headers);
    appendFields(text, extra);
    if (!request.body.empty() || countHeader(request.headers, "Content-Length") + countHeader(request.headers, "Transfer-Encoding") > 0) {
        appendField(text, "Content-Length", std::to_string(request.body.size()));
    }
    text += "\r\n";
    return text;
}

Attempt::Attempt(std::shared_ptr<ServerCore> core, std::shared_ptr<Exchange> exchange, engine::Forward command)
    : m_core(std::move(core))
    , m_exchange(std::move(exchange))
    , m_command(std::move(command))
    , m_call(m_core->pool, m_command.address, PacedLink{m_command.remoteRegion, m_command.priorityClass})
    , m_start(now())
    , m_kept(m_command.keepResponse ? std::make_shared<engine::StoredResponse>() : nullptr)
{
    m_ended.id = m_command.id;
    m_ended.attemptId = m_command.attemptId;
}

void Attempt::abandon()
{
    // A request that may have taken effect runs to its end, so that its outcome is known.
    if (!m_command.freshConnection || !m_call.sendStarted()) {
        m_call.cancel();
    }
}

asio::awaitable<void> Attempt::run()
{
    const auto self = shared_from_this();
    AttemptResult result = AttemptResult::Failed;
    try {
        result = co_await perform();
    } catch (const std::exception &) {
        // Out of memory; the engine still needs the one event of this attempt.
        result = !m_call.sendStarted() ? AttemptResult::NothingSent : m_passed ? AttemptResult::Broken : AttemptResult::Failed;
    }
    report(result);
}

void Attempt::report(AttemptResult result)
{
    m_call.finish();
    m_ended.result = result;
    m_ended.bytes = m_call.bodyBytes();
    m_ended.resumable = result == AttemptResult::Broken && !m_command.freshConnection && !m_exchange->etag.empty() && m_exchange->caller != nullptr;
    if (m_ended.status == 0) {
        m_ended.latency = now() - m_start;
    }
    if (result == AttemptResult::Completed) {
        m_ended.response = m_kept;
    }
    --m_core->transfers;
    if (m_exchange->current.get() == this) {
        m_exchange->current.reset();
        if (result == AttemptResult::Completed) {
            const auto session = m_exchange->caller;
            m_core->forget(m_exchange);
            if (session) {
                session->finish();
            }
        }
    }
    m_core->handlers.event(std::move(m_ended));
}

bool Attempt::mayPass() const
{
    return m_exchange->current.get() == this && m_exchange->caller != nullptr;
}

AttemptResult Attempt::failure() const
{
    return m_call.timedOut() ? AttemptResult::TimedOut : AttemptResult::Failed;
}

std::string Attempt::requestHead() const
{
    const base::Duration left = m_command.firstByteTimeout - (now() - m_start);
    Headers extra;
    extra.push_back({"Trefoilstile-Deadline-Ms", std::to_string(std::max<std::int64_t>(base::toMilliseconds(left), 1))});
    extra.push_back({"Trefoilstile-Class", std::string(base::toString(m_command.priorityClass))});
    if (m_resuming) {
        extra.push_back({"Range", "bytes=" + std::to_string(m_exchange->delivered) + "-"});
        extra.push_back({"If-Match", m_exchange->etag});
    }
    return forwardedHead(m_exchange->request, extra);
}

asio::awaitable<AttemptResult> Attempt::perform()
{
    if (m_exchange->headPassed && (!m_command.resume || m_exchange->etag.empty())) {
        // A second response cannot follow a part of the first.
        co_return m_command.resume ? AttemptResult::ObjectChanged : AttemptResult::NothingSent;
    }
    m_resuming = m_exchange->headPassed;
    if (!co_await m_call.open(m_command.freshConnection, std::min(m_command.connectTimeout, m_command.firstByteTimeout))) {
        co_return AttemptResult::NothingSent;
    }
    const base::Duration left = m_command.firstByteTimeout - (now() - m_start);
    if (left <= base::Duration::zero()) {
        co_return AttemptResult::NothingSent;
    }
    m_call.expectHeadWithin(left);
    const std::string text = requestHead();
    const bool sent = co_await m_call.send(text, m_exchange->request.body);
    if (!sent && !m_call.sentAnything()) {
        co_return AttemptResult::NothingSent;
    }
    ResponseHead head;
    if (!co_await m_call.readHead(m_exchange->request.method == "HEAD", head)) {
        co_return failure();
    }
    m_ended.latency = now() - m_start;
    m_ended.status = head.status;
    m_ended.upstreamLeaving = headerEquals(head, "Trefoilstile-State", "leaving");
    if (head.status == 503 && headerEquals(head, "Trefoilstile-Outcome", "not-run")) {
        co_return co_await discardRejection(head);
    }
    if (m_resuming) {
        co_return co_await passRest(head);
    }
    co_return co_await passFirst(head);
}

asio::awaitable<AttemptResult> Attempt::discardRejection(const ResponseHead &head)
{
    if (head.contentLength.value_or(s_bodyChunk + 1) <= s_bodyChunk) {
        std::vector<char> discarded(s_bodyChunk);
        std::size_t count = 0;
        BodyRead read = BodyRead::Data;
        while (read == BodyRead::Data) {
            read = co_await m_call.readBody(discarded, count, s_rejectionWait);
        }
    }
    co_return AttemptResult::RejectedNotRun;
}

asio::awaitable<AttemptResult> Attempt::passFirst(ResponseHead &head)
{
    removeOwnFields(head.headers);
    if (m_kept) {
        m_kept->status = head.status;
        if (const std::string *type = findHeader(head.headers, "Content-Type")) {
            m_kept->contentType = *type;
        }
    }
    if (mayPass()) {
        m_passed = true;
        m_exchange->headPassed = true;
        m_exchange->total = head.contentLength;
        m_exchange->etag = resumableTag(m_exchange->request, head);
        const auto session = m_exchange->caller;
        const bool sent = co_await session->sendHead(m_exchange->request, head, m_command.idleTimeout);
        if (!sent && !m_command.freshConnection) {
            co_return AttemptResult::Broken;
        }
    }
    co_return co_await passBody();
}

asio::awaitable<AttemptResult> Attempt::passRest(const ResponseHead &head)
{
    if (!continues(*m_exchange, head)) {
        const bool serverFault = head.status >= 500;
        co_return serverFault ? AttemptResult::Failed : AttemptResult::ObjectChanged;
    }
    m_exchange->total = parseContentRange(*findHeader(head.headers, "Content-Range"))->total;
    m_passed = true;
    const AttemptResult result = co_await passBody();
    if (result == AttemptResult::Completed && m_exchange->delivered != *m_exchange->total) {
        co_return AttemptResult::Broken;
    }
    co_return result;
}

asio::awaitable<AttemptResult> Attempt::passBody()
{
    std::vector<char> buffer(s_bodyChunk);
    for (;;) {
        std::size_t count = 0;
        const BodyRead read = co_await m_call.readBody(buffer, count, m_command.idleTimeout);
        if (read == BodyRead::End) {
            break;
        }
        const std::span<const char> piece(buffer.data(), count);
        bool passed = false;
        if (read == BodyRead::Data) {
            passed = co_await passPiece(piece);
        }
        if (!passed) {
            co_return m_passed ? AttemptResult::Broken : AttemptResult::Failed;
        }
    }
    if (mayPass() && (!m_resuming || m_exchange->delivered == *m_exchange->total)) {
        const auto session = m_exchange->caller;
        const bool ended = co_await session->sendEnd(m_command.idleTimeout);
        if (!ended && !m_command.freshConnection) {
            co_return AttemptResult::Broken;
        }
    }
    co_return AttemptResult::Completed;
}

asio::awaitable<bool> Attempt::passPiece(std::span<const char> piece)
{
    keep(piece);
    if (!co_await m_call.pace(piece.size(), m_command.idleTimeout)) {
        co_return false;
    }
    if (!mayPass()) {
        co_return m_command.freshConnection;
    }
    if (m_resuming && m_exchange->delivered + piece.size() > *m_exchange->total) {
        co_return false;
    }
    m_exchange->delivered += piece.size();
    const auto session = m_exchange->caller;
    co_return co_await session->sendBody(piece, m_command.idleTimeout) || m_command.freshConnection;
}

void Attempt::keep(std::span<const char> piece)
{
    if (!m_kept || m_kept->truncated) {
        return;
    }
    if (m_kept->body.size() + piece.size() > s_keptBody) {
        m_kept->truncated = true;
        m_kept->body = std::string();
        return;
    }
    m_kept->body.append(piece.data(), piece.size());
}

} // namespace trefoilstile::http
