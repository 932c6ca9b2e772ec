// Checks that concern more than one field: unknown names, duplicates, sums of shares.
#pragma once

#include <cstdint>

#include "field_reader.hpp"
#include "trefoilstile/document/steering_document.hpp"

namespace trefoilstile::document
{

/// Index of the site that the field names; 0 with a fault reported if there is none.
std::uint16_t findDefaultSite(const SteeringDocument &document, const Field &field, FaultList &faults);

/// Reports names that are unknown or given twice, and values that do not fit together. `root` gives the lines.
void checkReferences(const SteeringDocument &document, MapReader &root, FaultList &faults);

} // namespace trefoilstile::document
