// Synchronous HTTP/1.1 client of the tests: one connection, one request.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "program.hpp"

namespace process_test
{

struct HttpRequest {
    std::string method = "GET";
    std::string target = "/";
    std::map<std::string, std::string> headers;
    std::string body;
};

struct HttpResponse {
    unsigned status = 0; ///< 0: no response came
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
    bool complete = false; ///< false if the connection ended within the response

    std::string header(const std::string &lowerCaseName) const;
};

/// Connection of one caller. Errors show as a response with status 0 or one that is not complete.
class HttpCaller
{
public:
    /// Connects to `IP:port`.
    explicit HttpCaller(const std::string &address);
    ~HttpCaller();
    HttpCaller(const HttpCaller &) = delete;
    HttpCaller &operator=(const HttpCaller &) = delete;

    void send(const HttpRequest &request);

    /// Reads at least one byte of the response's body; false if the response ends before.
    bool readSomeBody();

    /// Reads the rest of the response.
    HttpResponse response();

    /// Closes the connection at once.
    void close();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// Sends one request on a new connection.
HttpResponse call(const std::string &address, const HttpRequest &request);

} // namespace process_test
