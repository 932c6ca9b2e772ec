// Polls the load endpoints of upstreams.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include "trefoilstile/base/time.hpp"
#include "trefoilstile/engine/event.hpp"

namespace boost::asio
{
class io_context;
}

namespace trefoilstile::http
{

struct LoadTarget {
    std::string upstream; ///< name in the document
    std::string address; ///< `IP:port`

    friend bool operator<(const LoadTarget &left, const LoadTarget &right)
    {
        return std::tie(left.upstream, left.address) < std::tie(right.upstream, right.address);
    }
};

struct LoadPollerOptions {
    base::Duration period = std::chrono::seconds(1);
    double jitter = 0.2; ///< each wait is drawn from period * (1 +- jitter), so that instances do not poll in step
    base::Duration timeout = std::chrono::milliseconds(500); ///< for one poll, connecting included
    std::uint64_t seed = 0; ///< of the jitter
};

/// Single-threaded on the io_context that is given. At most one poll is in flight for each target. A poll that fails,
/// times out or gets a malformed reply reports nothing.
class LoadPoller
{
public:
    LoadPoller(boost::asio::io_context &context, LoadPollerOptions options, std::function<void(engine::LoadReported)> report);
    ~LoadPoller();
    LoadPoller(const LoadPoller &) = delete;
    LoadPoller &operator=(const LoadPoller &) = delete;

    /// Replaces the set of upstreams. Polling of those that remain goes on undisturbed.
    void setTargets(std::vector<LoadTarget> targets);

    /// Ends all polling; nothing is reported from then on.
    void stop();

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace trefoilstile::http
