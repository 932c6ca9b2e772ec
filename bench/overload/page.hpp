// Page with plots of an experiment.
#pragma once

#include <string>
#include <vector>

#include "load.hpp"
#include "outcome.hpp"

namespace trefoilstile::bench::overload
{

/// Self-contained HTML page with inline SVG.
std::string page(const Experiment &experiment, const std::vector<Summary> &summaries);

} // namespace trefoilstile::bench::overload
