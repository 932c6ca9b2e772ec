// Tables of figures, printed as text or JSON.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace trefoilstile::bench
{

using Cell = std::variant<std::string, std::int64_t, double>;

struct Table {
    std::string name; ///< key in JSON output
    std::vector<std::string> columns; ///< with units
    std::vector<std::vector<Cell>> rows; ///< as many cells as columns each

    void add(std::vector<Cell> row);
};

/// Whole numbers as cells.
Cell count(std::uint64_t value);

/// Reads `--output table|json` and `--runs N`, makes the tables and prints them. Returns the exit status.
int reportMain(int argc, char **argv, const std::string &description, const std::function<std::vector<Table>(unsigned runs)> &measure);

} // namespace trefoilstile::bench
