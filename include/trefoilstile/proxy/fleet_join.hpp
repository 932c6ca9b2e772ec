// Joins this instance to the fleet, looks for further instances in the register while few are known, and writes key and register again
// after the store has lost them.
//
// The store may come back from a copy that is older than the key or rows of the register. An instance that starts then must not create
// another key: it would not understand the others, and both sides would grant the whole of each quota. It waits for the fleet to write
// the key again. The readers of the store do that, one after the other.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/base/random.hpp"
#include "trefoilstile/http/clock.hpp"
#include "trefoilstile/proxy/activity.hpp"
#include "trefoilstile/proxy/fleet_register.hpp"
#include "trefoilstile/proxy/member_link.hpp"

namespace trefoilstile::proxy
{

/// What an instance needs in order to take part in the membership.
struct JoinedFleet {
    std::string peerKey;
    std::vector<RegisteredInstance> registered; ///< including this instance
};

template<RowStore Store>
class FleetJoin
{
public:
    FleetJoin(EntryCore &core, Store &store)
        : m_core(core)
        , m_register(core, store)
        , m_timer(core.context)
    {
    }

    /// Creates or reads the peer key in the store, registers this instance and reads the registered ones. Retries until that
    /// succeeds or the stop begins.
    /// @param joined called once, on success; called again if it throws
    void start(std::function<void(const JoinedFleet &)> joined)
    {
        m_handler = std::move(joined);
        spawnSupervised(m_core, "join", [this]() {
            return run();
        });
    }

    /// Adds instances that have registered since the join as seeds while few members are known, and takes over a key that has been
    /// replaced. Call periodically after the join.
    void searchWhileFew(MemberLink &members, base::TimePoint now)
    {
        if (!knowsFew(members, now)) {
            m_nextSearch = now + s_searchPause;
            m_searchPause = s_searchPause;
        } else if (now >= m_nextSearch) {
            m_searchPause = std::min(m_searchPause * 2, isRecent(now) ? s_maximumRecentSearchPause : s_maximumSearchPause);
            m_nextSearch = now + base::jittered(m_searchPause, 0.5, m_core.random);
            spawnOnce(
                m_core,
                "search_members",
                [this, &members]() {
                    return search(members);
                },
                [] {});
        }
    }

    /// Writes key and register again if the store lacks them in a new era. Call periodically after the join.
    /// @param era of the store, as the tables show it
    /// @param rank of this instance among the readers of its failure domain; nothing if it is none, then others write
    void restoreInEra(MemberLink &members, std::uint64_t era, std::optional<std::size_t> rank, base::TimePoint now)
    {
        if (!m_joined || era <= m_storedEra || !rank || m_restoring) {
            return;
        }
        if (m_noticedEra != era) {
            m_noticedEra = era;
            m_restoreAt = now + s_restorePause * *rank;
        }
        if (now < m_restoreAt) {
            return;
        }
        m_restoring = true;
        m_restoreAt = now + base::jittered(s_joinPause, 0.5, m_core.random); // of the next attempt
        spawnOnce(
            m_core,
            "restore_register",
            [this, &members]() {
                return restore(members);
            },
            [this] {
                m_restoring = false;
            });
    }

private:
    /// When the whole system starts for the first time, all instances register within a second, and no caller waits for them.
    static constexpr base::Duration s_firstStartPause = std::chrono::seconds(1);
    static constexpr base::Duration s_joinPause = std::chrono::milliseconds(500);
    /// How long an instance waits for the fleet to write a missing key again. The first reader of a failure domain has written within
    /// 2 s of the return of the store, another one 0.7 s later.
    static constexpr base::Duration s_keyPatience = std::chrono::seconds(3);
    static constexpr base::Duration s_restorePause = std::chrono::milliseconds(700); ///< between two readers; above the time of the calls of one
    /// Share of the registered instances. An instance that has found no key at its start and knows fewer may have another one than the fleet;
    /// after a minute, rows of instances that are gone are the usual reason.
    static constexpr double s_fewShare = 0.6;
    static constexpr base::Duration s_recentTime = std::chrono::minutes(1);
    /// Pause between two searches of the register by an instance that knows few others, the shortest and the longest.
    static constexpr base::Duration s_searchPause = std::chrono::seconds(3);
    static constexpr base::Duration s_maximumSearchPause = std::chrono::minutes(1);
    static constexpr base::Duration s_maximumRecentSearchPause = std::chrono::seconds(6); ///< while two parts of a fleet may have to find each other

    boost::asio::awaitable<void> run()
    {
        while (!m_joined && !m_core.stop.begun()) {
            const std::optional<JoinedFleet> fleet = co_await tryJoin();
            if (fleet) {
                m_handler(*fleet);
                m_joined = true;
                m_key = fleet->peerKey;
                m_registeredCount = fleet->registered.size();
                m_joinedAt = http::now();
                m_nextSearch = http::now() + s_searchPause;
            } else {
                co_await sleep(base::jittered(s_joinPause, 0.5, m_core.random));
            }
        }
    }

    /// Nothing if the store does not answer.
    boost::asio::awaitable<std::optional<JoinedFleet>> tryJoin()
    {
        std::optional<StoredKey> stored = co_await m_register.readKey();
        if (stored && stored->key.empty() && mayCreateKey(http::now())) {
            co_await m_register.createKey(newKey()); // fails if another instance has created the key meanwhile
            stored = co_await m_register.readKey();
        }
        if (!stored || stored->key.empty()) {
            co_return std::nullopt;
        }
        m_storedEra = stored->era;
        std::optional<std::vector<RegisteredInstance>> registered;
        if (m_core.settings.firstStart) {
            const bool written = co_await m_register.write();
            if (!written) {
                co_return std::nullopt;
            }
            co_await sleep(s_firstStartPause);
            registered = co_await m_register.read();
        } else {
            registered = co_await m_register.join();
        }
        if (!registered) {
            co_return std::nullopt;
        }
        co_return JoinedFleet{std::move(stored->key), std::move(*registered)};
    }

    std::string newKey()
    {
        return base::toHex({m_core.random.next()}) + base::toHex({m_core.random.next()});
    }

    /// True at the first start of the whole system, and when the fleet has had the time to write a missing key again.
    bool mayCreateKey(base::TimePoint now)
    {
        if (!m_keyMissingSince) {
            m_keyMissingSince = now;
            LogLine line("key_missing");
            line.flag("first_start", m_core.settings.firstStart);
            m_core.log.write(line, now, true);
        }
        return m_core.settings.firstStart || now >= *m_keyMissingSince + s_keyPatience;
    }

    bool isRecent(base::TimePoint now) const
    {
        return now < m_joinedAt + s_recentTime;
    }

    bool knowsFew(const MemberLink &members, base::TimePoint now) const
    {
        const std::size_t known = members.memberCount(now);
        // Otherwise the key is that of the fleet, and few members mean that the others are lost. All would search after a mass loss.
        const bool mayDiffer = isRecent(now) && m_keyMissingSince && !m_core.settings.firstStart;
        return known <= 1 || (mayDiffer && static_cast<double>(known) < s_fewShare * static_cast<double>(m_registeredCount));
    }

    boost::asio::awaitable<void> search(MemberLink &members)
    {
        const std::optional<std::vector<RegisteredInstance>> registered = co_await m_register.read();
        if (!registered) {
            co_return;
        }
        m_registeredCount = registered->size();
        for (const std::string &address : otherAddresses(*registered, m_core.settings.peerAddress)) {
            members.addSeed(address);
        }
        const std::optional<StoredKey> stored = co_await m_register.readKey();
        if (stored && !stored->key.empty()) {
            takeOverKey(members, stored->key);
        }
    }

    void takeOverKey(MemberLink &members, const std::string &key)
    {
        if (key == m_key) {
            return;
        }
        members.setKey(key);
        m_key = key;
        LogLine line("key_taken_over");
        line.number("members", static_cast<std::int64_t>(members.memberCount(http::now())));
        m_core.log.write(line, http::now(), true);
    }

    /// One attempt; `m_storedEra` shows its success.
    boost::asio::awaitable<void> restore(MemberLink &members)
    {
        const std::optional<StoredKey> stored = co_await m_register.readKey();
        std::optional<std::vector<RegisteredInstance>> registered;
        if (stored) {
            registered = co_await m_register.read();
        }
        if (!registered) {
            m_restoring = false;
            co_return;
        }
        m_registeredCount = std::max(m_registeredCount, registered->size());
        std::string_view keyState = "kept";
        bool written = true;
        if (stored->key.empty()) {
            keyState = "created";
            written = co_await m_register.createKey(m_key);
        } else if (stored->key != m_key && members.memberCount(http::now()) <= 1) {
            keyState = "taken_over"; // the rest of the fleet uses the other key
            takeOverKey(members, stored->key);
        } else if (stored->key != m_key) {
            keyState = "replaced";
            written = co_await m_register.replaceKey(m_key);
        }
        std::vector<RegisteredInstance> missing = missingFrom(*registered, members);
        const std::size_t rows = missing.size();
        if (written && rows > 0) {
            written = co_await m_register.create(std::move(missing));
        }
        LogLine line("register_restored");
        line.number("era", static_cast<std::int64_t>(stored->era)).text("key", keyState).number("rows", static_cast<std::int64_t>(rows));
        line.flag("succeeded", written);
        m_core.log.write(line, http::now(), true);
        if (written) {
            m_storedEra = stored->era;
        }
        m_restoring = false;
    }

    /// Members of this failure domain, this instance included, that are not registered.
    std::vector<RegisteredInstance> missingFrom(const std::vector<RegisteredInstance> &registered, const MemberLink &members) const
    {
        std::vector<RegisteredInstance> missing;
        const auto add = [&](const std::string &name, const std::string &address) {
            const auto same = [&name](const RegisteredInstance &instance) {
                return instance.name == name;
            };
            if (std::none_of(registered.begin(), registered.end(), same) && std::none_of(missing.begin(), missing.end(), same)) {
                missing.push_back({name, {address, m_core.settings.failureDomain}});
            }
        };
        add(m_core.settings.name, m_core.settings.peerAddress);
        for (const feed::ReaderCandidate &member : members.readerCandidates()) {
            add(member.name, member.address);
        }
        return missing;
    }

    boost::asio::awaitable<void> sleep(base::Duration duration)
    {
        boost::system::error_code ignored; // the timer is not cancelled
        m_timer.expires_after(duration);
        co_await m_timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }

    EntryCore &m_core;
    FleetRegister<Store> m_register;
    boost::asio::steady_timer m_timer;
    std::function<void(const JoinedFleet &)> m_handler;
    bool m_joined = false;
    base::TimePoint m_joinedAt;
    std::string m_key; ///< of the messages between the instances
    std::size_t m_registeredCount{}; ///< rows of the register when it was last read
    std::optional<base::TimePoint> m_keyMissingSince; ///< first read that found no key
    std::uint64_t m_storedEra{}; ///< newest era of the store that is known to have key and register
    std::uint64_t m_noticedEra{};
    base::TimePoint m_restoreAt; ///< earliest next attempt to write key and register again
    bool m_restoring = false;
    base::TimePoint m_nextSearch; ///< earliest next search of the register while few members are known
    base::Duration m_searchPause = s_searchPause;
};

} // namespace trefoilstile::proxy
