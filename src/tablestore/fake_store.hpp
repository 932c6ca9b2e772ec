// In-memory store for tests with lost answers, delayed writes, outages and a hook for concurrent operations.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "trefoilstile/tablestore/error.hpp"
#include "trefoilstile/tablestore/store.hpp"

namespace trefoilstile::tablestore::testing
{

/// Fault of one request. For reads, every fault acts as an outage.
enum class Fault : std::uint8_t {
    None,
    Outage, ///< the request does not arrive, and the client gets `Unavailable`
    AnswerLost, ///< the write takes effect, and the client gets `OutcomeUnknown`
    RequestLost, ///< the write takes no effect, and the client gets `OutcomeUnknown`
    Delayed, ///< like `RequestLost`, but the write arrives after a few other requests
};

class FakeStore final : public Store
{
public:
    std::deque<Fault> faults; ///< of the next requests, in order; `None` when empty
    std::function<void()> beforeRequest; ///< runs concurrent operations; may use the store
    std::map<std::string, std::vector<std::string>> log; ///< by `table/key`: every value written, in order
    std::map<std::string, std::string> objects;
    std::vector<std::string> requests; ///< `table/key`, table or object hash of every request

    Row readRow(std::string_view table, std::string_view key, const Call & /*call*/) override
    {
        beginRequest(path(table, key));
        throwOnFault();
        return m_rows[path(table, key)];
    }

    std::vector<KeyedRow> listRows(std::string_view table, std::string_view prefix, const Call & /*call*/) override
    {
        beginRequest(std::string(table));
        throwOnFault();
        std::vector<KeyedRow> found;
        for (const auto &[rowPath, row] : m_rows) {
            if (row.version != 0 && rowPath.starts_with(path(table, prefix))) {
                found.push_back({rowPath.substr(table.size() + 1), row});
            }
        }
        return found;
    }

    WriteResult writeRow(std::string_view table, std::string_view key, std::uint64_t ifVersion, std::string_view value, const Call & /*call*/) override
    {
        return write({path(table, key), ifVersion, std::string(value), false});
    }

    WriteResult removeRow(std::string_view table, std::string_view key, std::uint64_t ifVersion, const Call & /*call*/) override
    {
        return write({path(table, key), ifVersion, {}, true});
    }

    std::optional<std::string> readObject(std::string_view hash, const Call & /*call*/) override
    {
        beginRequest(std::string(hash));
        throwOnFault();
        const auto found = objects.find(std::string(hash));
        return found == objects.end() ? std::nullopt : std::optional(found->second);
    }

    void writeObject(std::string_view hash, std::string_view bytes, const Call & /*call*/) override
    {
        beginRequest(std::string(hash));
        const Fault fault = nextFault();
        if (fault == Fault::Outage) {
            throw Unavailable("outage");
        }
        if (fault == Fault::None || fault == Fault::AnswerLost) {
            objects[std::string(hash)] = bytes;
        }
        if (fault != Fault::None) {
            throw OutcomeUnknown("answer lost");
        }
    }

    std::vector<ListedInstance> instances(const Call & /*call*/) override
    {
        return {};
    }

    /// Applies all delayed writes.
    void deliverDelayed()
    {
        for (const Write &late : std::exchange(m_delayed, {})) {
            apply(late);
        }
    }

private:
    struct Write {
        std::string path;
        std::uint64_t ifVersion{};
        std::string value;
        bool removes = false;
    };

    /// Number of requests after which a delayed write arrives.
    static constexpr std::size_t s_delay = 2;

    static std::string path(std::string_view table, std::string_view key)
    {
        return std::string(table) + "/" + std::string(key);
    }

    Fault nextFault()
    {
        if (faults.empty()) {
            return Fault::None;
        }
        const Fault fault = faults.front();
        faults.pop_front();
        return fault;
    }

    void beginRequest(std::string name)
    {
        requests.push_back(std::move(name));
        if (beforeRequest) {
            beforeRequest();
        }
        if (!m_delayed.empty() && ++m_requestsSinceDelay > s_delay) {
            deliverDelayed();
        }
    }

    void throwOnFault()
    {
        if (nextFault() != Fault::None) {
            throw Unavailable("outage");
        }
    }

    WriteResult write(const Write &wanted)
    {
        beginRequest(wanted.path);
        switch (nextFault()) {
        case Fault::None:
            return apply(wanted);
        case Fault::Outage:
            throw Unavailable("outage");
        case Fault::AnswerLost:
            apply(wanted);
            break;
        case Fault::RequestLost:
            break;
        case Fault::Delayed:
            m_delayed.push_back(wanted);
            m_requestsSinceDelay = 0;
            break;
        }
        throw OutcomeUnknown("answer lost");
    }

    WriteResult apply(const Write &wanted)
    {
        Row &row = m_rows[wanted.path];
        if (row.version != wanted.ifVersion) {
            return {false, row};
        }
        if (wanted.removes) {
            row = {};
            return {true, {}};
        }
        row = {++m_lastVersion, wanted.value};
        log[wanted.path].push_back(wanted.value);
        return {true, {row.version, {}}};
    }

    std::map<std::string, Row> m_rows;
    std::deque<Write> m_delayed;
    std::size_t m_requestsSinceDelay{};
    std::uint64_t m_lastVersion{};
};

} // namespace trefoilstile::tablestore::testing
