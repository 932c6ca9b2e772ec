// Output of tables.

#include "report.hpp"

#include <algorithm>
#include <iostream>

#include <CLI/CLI.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace trefoilstile::bench
{

namespace
{

std::string textOf(const Cell &cell)
{
    if (const auto *text = std::get_if<std::string>(&cell)) {
        return *text;
    }
    if (const auto *whole = std::get_if<std::int64_t>(&cell)) {
        return fmt::format("{}", *whole);
    }
    return fmt::format("{:.4g}", std::get<double>(cell));
}

void printText(const Table &table)
{
    std::vector<std::size_t> widths;
    for (std::size_t column = 0; column < table.columns.size(); ++column) {
        std::size_t width = table.columns[column].size();
        for (const auto &row : table.rows) {
            width = std::max(width, textOf(row[column]).size());
        }
        widths.push_back(width);
    }
    std::cout << table.name << '\n';
    for (std::size_t column = 0; column < widths.size(); ++column) {
        std::cout << fmt::format("  {:>{}}", table.columns[column], widths[column]);
    }
    std::cout << '\n';
    for (const auto &row : table.rows) {
        for (std::size_t column = 0; column < widths.size(); ++column) {
            std::cout << fmt::format("  {:>{}}", textOf(row[column]), widths[column]);
        }
        std::cout << '\n';
    }
    std::cout << '\n';
}

nlohmann::json jsonOf(const Table &table)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const auto &row : table.rows) {
        nlohmann::json object;
        for (std::size_t column = 0; column < row.size(); ++column) {
            std::visit(
                [&object, &table, column](const auto &value) {
                    object[table.columns[column]] = value;
                },
                row[column]);
        }
        rows.push_back(std::move(object));
    }
    return rows;
}

} // namespace

void Table::add(std::vector<Cell> row)
{
    rows.push_back(std::move(row));
}

Cell count(std::uint64_t value)
{
    return static_cast<std::int64_t>(value);
}

int reportMain(int argc, char **argv, const std::string &description, const std::function<std::vector<Table>(unsigned runs)> &measure)
{
    std::string output = "table";
    unsigned runs = 5;
    CLI::App app{description};
    app.add_option("--output", output, "table or json")->check(CLI::IsMember({"table", "json"}));
    app.add_option("--runs", runs, "runs of each timed measurement; the best is reported")->check(CLI::Range(1, 1'000));
    CLI11_PARSE(app, argc, argv);
    const std::vector<Table> tables = measure(runs);
    if (output == "table") {
        std::for_each(tables.begin(), tables.end(), printText);
        return 0;
    }
    nlohmann::json all;
    for (const Table &table : tables) {
        all[table.name] = jsonOf(table);
    }
    std::cout << all.dump(2) << '\n';
    return 0;
}

} // namespace trefoilstile::bench
