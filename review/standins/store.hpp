// Stand-in for the platform's store: rows, transactions, the feed of changes, and spells without answers.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "wire.hpp"

namespace review
{

class Store
{
public:
    Store();
    ~Store();
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;

    const std::string &address() const
    {
        return m_listener.address();
    }

    /// Writes as the operator or a server; the return is the acknowledgement.
    void put(const std::string &table, const std::string &key, const std::string &value);

    /// Until `endSilence`, no call gets a response: neither those that arrive meanwhile nor those that wait for changes. These responses
    /// are lost for good, and their connections deliver nothing further. Calls on other connections are answered again afterwards.
    void beginSilence();
    void endSilence();

private:
    struct Row {
        std::string table;
        std::string key;
        std::string value;
        std::uint64_t version{};
        bool removed = false;
    };
    struct Reply {
        int status = 200;
        std::string body;
    };

    void serve(Socket connection);
    Reply handle(const Message &call);
    Reply transact(const std::string &body);
    Reply changes(const Message &call);
    std::string encode(const std::vector<Row> &rows) const;
    void apply(Row row);

    Listener m_listener;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Row>> m_tables;
    std::vector<Row> m_history;
    std::uint64_t m_version{};
    std::uint64_t m_silences{}; ///< number of silences begun
    bool m_silent = false;
    std::thread m_acceptor;
};

} // namespace review
