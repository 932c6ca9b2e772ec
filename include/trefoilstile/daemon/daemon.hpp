// One entry instance: its threads, the ring buffers between them, and the planned stop.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "trefoilstile/daemon/settings.hpp"

namespace trefoilstile::daemon
{

/// The threads run from `start` until `stop`.
class Daemon
{
public:
    /// Binds all ports. Throws `base::Error` if one cannot be bound.
    /// @param stopped called on a thread of the daemon when a planned stop has completed
    Daemon(const Settings &settings, std::function<void()> stopped);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    void start();

    /// Starts a planned stop; further calls have no effect. All calls must come from the same thread.
    void beginPlannedStop();

    /// Stops and joins all threads without a planned stop. Must not be called from a thread of the daemon.
    void stop();

    std::string callerAddress() const;
    std::string peerAddress() const;
    std::string operatorAddress() const;

private:
    struct Threads;
    std::unique_ptr<Threads> m_threads;
};

} // namespace trefoilstile::daemon
