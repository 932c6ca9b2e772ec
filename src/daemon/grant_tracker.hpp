// Grants by which the caller I/O thread answers lookups with entries of other regions.
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

/// Counts the remaining lookup responses of each grant. Used responses are reported to the decision thread in batches; until
/// then the decision thread counts them as granted, so a late report is safe.
class GrantTracker final : public routing::CommitmentSource
{
public:
    using Report = std::function<void(engine::GrantUsed)>;

    explicit GrantTracker(Report report);

    bool take(std::string_view from, std::string_view to) override;

    /// Sets the currently placed grants. The remaining responses of grants that are no longer placed are reported as returned.
    void replace(const std::vector<engine::PlacedGrant> &grants);

    /// Reports the responses used since the last call and removes used-up grants.
    void flush();

private:
    struct Entry {
        engine::PlacedGrant grant;
        std::uint32_t remaining{}; ///< responses not used
        std::uint32_t unreported{}; ///< used and not yet reported
    };

    std::vector<Entry> m_entries; // `flush` removes entries without remaining or unreported responses
    std::uint64_t m_highestId = 0; // of all grants received: a used-up grant that is listed again must not be counted again
    Report m_report;
};

} // namespace trefoilstile::daemon
