// Joins this instance to the fleet, and looks for further instances in the register while no other one is known.
#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

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

    /// Adds instances that have registered since the join as seeds while no other member is known. Call periodically after the join.
    void searchWhileAlone(MemberLink &members, base::TimePoint now)
    {
        if (members.memberCount(now) > 1) {
            m_nextSearch = now + s_searchPause;
            m_searchPause = s_searchPause;
        } else if (now >= m_nextSearch) {
            m_searchPause = std::min(m_searchPause * 2, s_maximumSearchPause);
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

private:
    /// When the whole system starts for the first time, all instances register within a second, and no caller waits for them.
    static constexpr base::Duration s_firstStartPause = std::chrono::seconds(1);
    static constexpr base::Duration s_joinPause = std::chrono::milliseconds(500);
    /// Pause between two searches of the register by an instance that knows no other, the shortest and the longest.
    static constexpr base::Duration s_searchPause = std::chrono::seconds(3);
    static constexpr base::Duration s_maximumSearchPause = std::chrono::minutes(1);

    boost::asio::awaitable<void> run()
    {
        while (!m_joined && !m_core.stop.begun()) {
            const std::optional<JoinedFleet> fleet = co_await tryJoin();
            if (fleet) {
                m_handler(*fleet);
                m_joined = true;
                m_nextSearch = http::now() + s_searchPause;
            } else {
                co_await sleep(base::jittered(s_joinPause, 0.5, m_core.random));
            }
        }
    }

    /// Nothing if the store does not answer.
    boost::asio::awaitable<std::optional<JoinedFleet>> tryJoin()
    {
        std::optional<std::string> key = co_await m_register.readKey();
        if (!key) {
            co_return std::nullopt;
        }
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
        co_return JoinedFleet{std::move(*key), std::move(*registered)};
    }

    boost::asio::awaitable<void> search(MemberLink &members)
    {
        const std::optional<std::vector<RegisteredInstance>> registered = co_await m_register.read();
        if (registered) {
            for (const std::string &address : otherAddresses(*registered, m_core.settings.peerAddress)) {
                members.addSeed(address);
            }
        }
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
    base::TimePoint m_nextSearch; ///< earliest next search of the register while no other member is known
    base::Duration m_searchPause = s_searchPause;
};

} // namespace trefoilstile::proxy
