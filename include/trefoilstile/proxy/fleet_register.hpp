// Register of the entry instances in the store, and the key of the messages between them.
//
// An instance that starts finds the others in the register. Rows of instances that are gone stay there; they are addresses at which
// nobody answers.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "trefoilstile/http/clock.hpp"
#include "trefoilstile/proxy/entry_core.hpp"
#include "trefoilstile/proxy/registration.hpp"
#include "trefoilstile/proxy/row_store.hpp"

namespace trefoilstile::proxy
{

struct RegisteredInstance {
    std::string name;
    Registration registration;
};

/// Peer addresses of the registered instances but the one at `own`.
inline std::vector<std::string> otherAddresses(const std::vector<RegisteredInstance> &registered, std::string_view own)
{
    std::vector<std::string> addresses;
    for (const RegisteredInstance &instance : registered) {
        if (instance.registration.peerAddress != own) {
            addresses.push_back(instance.registration.peerAddress);
        }
    }
    return addresses;
}

/// Key of the messages between the instances, as the store has it.
struct StoredKey {
    std::string key; ///< empty: there is none
    std::uint64_t era{}; ///< of the store when it was read
};

template<RowStore Store>
class FleetRegister
{
public:
    FleetRegister(EntryCore &core, Store &store)
        : m_core(core)
        , m_store(store)
    {
    }

    /// Reads the key. Nothing if the store does not answer.
    boost::asio::awaitable<std::optional<StoredKey>> readKey()
    {
        const StoreResult keys = co_await m_store.readAll(s_keyTable);
        if (keys.status != StoreStatus::Ok) {
            logFailure("read_key", keys);
            co_return std::nullopt;
        }
        co_return StoredKey{keys.rows.empty() ? std::string() : keys.rows.front().value, keys.position.era};
    }

    /// Creates the key if there is none; false if the store does not confirm it, or another instance has created one meanwhile.
    boost::asio::awaitable<bool> createKey(std::string key)
    {
        std::vector<NewRow> rows{{s_keyRow, std::move(key)}};
        co_return confirmed("create_key", co_await m_store.create(s_keyTable, std::move(rows)));
    }

    /// Replaces the key; false if the store does not confirm it.
    boost::asio::awaitable<bool> replaceKey(std::string key)
    {
        co_return confirmed("replace_key", co_await m_store.write(s_keyTable, s_keyRow, std::move(key)));
    }

    /// Reads all usable rows. Nothing if the store does not answer.
    boost::asio::awaitable<std::optional<std::vector<RegisteredInstance>>> read()
    {
        const StoreResult rows = co_await m_store.readAll(s_memberTable);
        if (rows.status != StoreStatus::Ok) {
            logFailure("read", rows);
            co_return std::nullopt;
        }
        std::vector<RegisteredInstance> instances;
        for (const StoreRow &row : rows.rows) {
            const Registration registration = Registration::fromText(row.value);
            if (registration.valid()) {
                instances.push_back({row.key, registration});
                continue;
            }
            LogLine line("registration_ignored");
            line.text("name", row.key).text("peer_address", registration.peerAddress);
            m_core.log.write(line, http::now());
        }
        co_return instances;
    }

    /// Writes the row of this instance; false if the store does not confirm it.
    boost::asio::awaitable<bool> write()
    {
        co_return confirmed("write", co_await m_store.write(s_memberTable, m_core.settings.name, own().text()));
    }

    /// Writes rows that do not exist; false if the store does not confirm all of them, or one of them has been written meanwhile.
    boost::asio::awaitable<bool> create(std::vector<RegisteredInstance> instances)
    {
        for (auto next = instances.begin(); next != instances.end();) {
            std::vector<NewRow> rows;
            for (; next != instances.end() && rows.size() < s_maximumNewRows; ++next) {
                rows.push_back({next->name, next->registration.text()});
            }
            if (!confirmed("create", co_await m_store.create(s_memberTable, std::move(rows)))) {
                co_return false;
            }
        }
        co_return true;
    }

    /// Registers this instance and reads the others. An instance that starts again is registered already and only reads: the store
    /// executes few writes per second, and all instances may start at once.
    boost::asio::awaitable<std::optional<std::vector<RegisteredInstance>>> join()
    {
        std::optional<std::vector<RegisteredInstance>> instances = co_await read();
        if (!instances || contains(*instances)) {
            co_return instances;
        }
        const bool written = co_await write();
        if (!written) {
            co_return std::nullopt;
        }
        if (instances->empty()) {
            // Others may register at the same time. Reading after the write, at least one of two instances sees the other.
            instances = co_await read();
        }
        co_return instances;
    }

private:
    /// Any process that may write to the store can join.
    static constexpr const char *s_keyTable = "trefoilstile-keys";
    static constexpr const char *s_keyRow = "peer-key";
    static constexpr const char *s_memberTable = "trefoilstile-members";

    Registration own() const
    {
        return {m_core.settings.peerAddress, m_core.settings.failureDomain};
    }

    bool confirmed(std::string_view operation, const StoreResult &result)
    {
        if (result.status != StoreStatus::Ok) {
            logFailure(operation, result);
        }
        return result.status == StoreStatus::Ok;
    }

    /// The callers try again later, so a failure is only logged.
    void logFailure(std::string_view operation, const StoreResult &result)
    {
        LogLine line("register_failed");
        line.text("operation", operation).text("error", result.detail);
        m_core.log.write(line, http::now());
    }

    bool contains(const std::vector<RegisteredInstance> &instances) const
    {
        return std::any_of(instances.begin(), instances.end(), [this](const RegisteredInstance &instance) {
            return instance.name == m_core.settings.name && instance.registration == own();
        });
    }

    EntryCore &m_core;
    Store &m_store;
};

} // namespace trefoilstile::proxy
