// Decides from which source an instance takes a table next: the store, a reader of its failure domain, or none yet.
//
// A reader asks the store. A follower asks the reader at the front of its list, another one after a failure, and the store if no
// reader reaches it. While nobody reaches the store, followers ask it rarely and follow a reader that has a copy.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "trefoilstile/base/random.hpp"
#include "trefoilstile/base/time.hpp"

namespace trefoilstile::feed
{

struct SourceOptions {
    /// After its start an instance waits this long at most for a reader that answers, then it asks the store. Members are known
    /// within a second of a start, and callers arrive some seconds after it.
    base::Duration startLimit = std::chrono::milliseconds(1'000);
    base::Duration startPoll = std::chrono::milliseconds(50); ///< pause between two questions for a source during the start
    base::Duration initialPause = std::chrono::milliseconds(500); ///< during which a reader that failed is not asked; doubles with each failure
    base::Duration maximumPause = std::chrono::seconds(4);
    base::Duration outageTolerance = std::chrono::milliseconds(500); ///< time without the store after which a reader is left; above its pause after a failure
    base::Duration notReadyPause = std::chrono::milliseconds(100); ///< a reader that starts has the table after some calls to the store
    /// During which an instance that is no reader does not ask the store after a failure. In an outage the readers notice its end.
    base::Duration storePause = std::chrono::seconds(3);
    double jitter = 0.25; ///< fraction of the pauses; followers of one reader must not move together
};

/// Options for an instance.
/// @param firstStart the whole system starts for the first time; readers are then known some seconds later, and no caller waits
inline SourceOptions sourceOptions(bool firstStart)
{
    SourceOptions options;
    if (firstStart) {
        options.startLimit = std::chrono::seconds(4);
    }
    return options;
}

struct Source {
    enum class Kind : std::uint8_t {
        Store,
        Reader, ///< at `address`
        Wait, ///< ask again after `pause`
    };

    Kind kind = Kind::Store;
    std::string address;
    base::Duration pause{};
};

class SourcePolicy
{
public:
    explicit SourcePolicy(std::uint64_t seed, SourceOptions options = {})
        : m_options(options)
        , m_random(seed)
    {
    }

    /// Sets whether this instance is a reader, and the addresses of the other readers, the preferred one first.
    void setReaders(bool self, std::vector<std::string> others);

    /// The source for the next call. The time until the start limit counts from the first call.
    Source next(base::TimePoint now);

    /// Records that a reader answered and reaches the store.
    void succeeded(const std::string &address);

    /// Records that a reader did not answer, or is none.
    void failed(const std::string &address, base::TimePoint now);

    /// Records that a reader has started and does not have the table yet.
    void notReady(const std::string &address, base::TimePoint now);

    /// Records that a reader answered but does not reach the store. It is left if that lasts, since a single call may fail.
    void withoutStore(const std::string &address, base::TimePoint now);

    /// Records that a call to the store failed.
    void storeFailed(base::TimePoint now);

    bool isReader() const
    {
        return m_reader;
    }

    /// True if the last source was the store, so that other instances may follow this one.
    bool readsStore() const
    {
        return m_readsStore;
    }

private:
    struct Failure {
        base::TimePoint pausedUntil;
        base::Duration pause{};
        bool answers = false; ///< it has a copy to follow, but does not reach the store
    };

    void pause(const std::string &address, bool answers, base::TimePoint now);

    SourceOptions m_options;
    bool m_known = false; ///< `setReaders` has been called
    bool m_reader = false;
    bool m_readsStore = false;
    std::vector<std::string> m_others;
    std::map<std::string, Failure> m_failures; ///< by address; only of readers in `m_others`
    std::optional<base::TimePoint> m_startedAt;
    base::TimePoint m_storePausedUntil;
    std::optional<base::TimePoint> m_withoutStoreSince; ///< first answer of the followed reader that lacked the store
    base::SplitMix64 m_random;
};

} // namespace trefoilstile::feed
