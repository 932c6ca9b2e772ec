// Beast streams with a limit for each operation, run to completion one at a time.

#include "http_caller.hpp"

#include <algorithm>
#include <cctype>
#include <limits>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace process_test
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

struct HttpCaller::State {
    asio::io_context context;
    beast::tcp_stream stream{context};
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    beast::error_code error;

    /// Starts an operation with the hang limit and runs it to its end.
    template<typename Start>
    void run(Start start)
    {
        if (error) {
            return;
        }
        stream.expires_after(s_hangLimit);
        start([this](beast::error_code result, auto...) {
            error = result;
        });
        context.restart();
        context.run();
    }
};

std::string HttpResponse::header(const std::string &lowerCaseName) const
{
    const auto found = headers.find(lowerCaseName);
    return found == headers.end() ? std::string() : found->second;
}

HttpCaller::HttpCaller(const std::string &address)
    : m_state(std::make_unique<State>())
{
    const std::size_t colon = address.rfind(':');
    const tcp::endpoint endpoint(asio::ip::make_address(address.substr(0, colon)), static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
    m_state->parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    m_state->run([&](auto handler) {
        m_state->stream.async_connect(endpoint, handler);
    });
}

HttpCaller::~HttpCaller() = default;

void HttpCaller::send(const HttpRequest &request)
{
    http::request<http::string_body> message(http::string_to_verb(request.method), request.target, 11);
    message.set(http::field::host, "127.0.0.1"); // unless the request names another
    for (const auto &[name, value] : request.headers) {
        message.set(name, value);
    }
    message.body() = request.body;
    message.prepare_payload();
    m_state->run([&](auto handler) {
        http::async_write(m_state->stream, message, handler);
    });
}

bool HttpCaller::readSomeBody()
{
    State &state = *m_state;
    while (!state.error && !state.parser.is_done() && state.parser.get().body().empty()) {
        state.run([&](auto handler) {
            http::async_read_some(state.stream, state.buffer, state.parser, handler);
        });
    }
    return !state.parser.get().body().empty();
}

HttpResponse HttpCaller::response()
{
    State &state = *m_state;
    if (!state.parser.is_done()) {
        state.run([&](auto handler) {
            http::async_read(state.stream, state.buffer, state.parser, handler);
        });
    }
    HttpResponse result;
    if (state.parser.is_header_done()) {
        const auto &message = state.parser.get();
        result.status = message.result_int();
        for (const auto &field : message) {
            std::string name(field.name_string());
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
                return static_cast<char>(std::tolower(c));
            });
            result.headers[name] = std::string(field.value());
        }
        result.body = message.body();
        result.complete = state.parser.is_done() && !state.error;
    }
    return result;
}

void HttpCaller::close()
{
    beast::error_code ignored;
    m_state->stream.socket().close(ignored);
}

HttpResponse call(const std::string &address, const HttpRequest &request)
{
    HttpCaller caller(address);
    caller.send(request);
    return caller.response();
}

} // namespace process_test
