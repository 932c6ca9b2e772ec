// One entry instance: its threads, the rings between them, and the planned stop.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "trefoilstile/daemon/settings.hpp"

namespace trefoilstile::daemon
{

/// Runs from construction of the threads in `start` until `stop`.
class Daemon
{
public:
    /// Binds all ports. Throws `base::Error` if one cannot be bound.
    /// @param stopped called on a thread of the daemon when a planned stop is complete
    Daemon(const Settings &settings, std::function<void()> stopped);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    void start();

    /// Begins a planned stop; further calls change nothing. May be called by one thread only.
    void beginPlannedStop();

    /// Ends all threads at once. Not to be called by a thread of the daemon.
    void stop();

    std::string callerAddress() const;
    std::string peerAddress() const;
    std::string operatorAddress() const;

private:
    struct Threads;
    std::unique_ptr<Threads> m_threads;
};

} // namespace trefoilstile::daemon
