// Lookup responses for other regions that this thread may give out on its own.
#pragma once

#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

#include "trefoilstile/engine/event.hpp"
#include "trefoilstile/engine/shift_limiter.hpp"
#include "trefoilstile/routing/entry_choice.hpp"

namespace trefoilstile::daemon
{

/// Counts what is left of each grant. What was given out is told to the decision thread in batches; until then it stays
/// counted there as granted, so a late report is safe.
class GrantBook final : public routing::CommitmentSource
{
public:
    using Report = std::function<void(engine::GrantUsed)>;

    explicit GrantBook(Report report);

    bool take(std::string_view from, std::string_view to) override;

    /// Takes the grants that are placed now. Those that are placed no longer are returned.
    void replace(const std::vector<engine::PlacedGrant> &grants);

    /// Reports what was given out since the last call.
    void flush();

private:
    struct Entry {
        engine::PlacedGrant grant;
        std::uint32_t left{}; ///< responses not given out
        std::uint32_t unreported{}; ///< given out and not yet reported
    };

    std::vector<Entry> m_entries; // an entry without anything left or unreported is removed by `flush`
    std::uint64_t m_highestId = 0; // of grants ever taken: a used-up grant that is listed once more must not count again
    Report m_report;
};

} // namespace trefoilstile::daemon
