// Runs an experiment: variants of placement on the emulated days of a deployment.

#include <cstdio>
#include <fstream>
#include <string>

#include <unistd.h>

#include <CLI/App.hpp>
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <fmt/format.h>

#include "emulation.hpp"
#include "page.hpp"
#include "read_experiment.hpp"

namespace
{

using namespace trefoilstile::bench::overload;

constexpr int s_badInput = 2;

void showProgress(std::size_t done, std::size_t all, const std::string &what)
{
    if (isatty(STDERR_FILENO) == 0) {
        return;
    }
    constexpr std::size_t width = 30;
    const std::size_t filled = width * done / all;
    // The line is erased first, because the last one may have been longer.
    fmt::print(stderr, "\r\x1b[K[{:#<{}}{:.<{}}] {}/{} {}", "", filled, "", width - filled, done, all, done == all ? "\n" : what);
    std::fflush(stderr);
}

std::vector<Summary> runAll(const Experiment &experiment)
{
    const std::size_t all = experiment.days.size() * experiment.variants.size() * experiment.seeds.size();
    std::size_t done = 0;
    std::vector<Summary> summaries;
    for (const Day &day : experiment.days) {
        for (const Variant &variant : experiment.variants) {
            std::vector<RunResult> runs;
            for (const std::uint64_t seed : experiment.seeds) {
                showProgress(done++, all, fmt::format("{}, {}, seed {}", day.name, variant.name, seed));
                runs.push_back(Emulation(experiment.deployment, day, variant, seed).run(experiment.length, experiment.settle));
            }
            summaries.push_back(summarize(day.name, variant.name, runs));
        }
    }
    showProgress(all, all, "");
    return summaries;
}

void write(const std::string &file, const std::string &text)
{
    std::ofstream stream(file, std::ios::binary);
    stream << text;
    stream.close();
    if (!stream) {
        throw InputError(fmt::format("{}: the file cannot be written", file));
    }
}

} // namespace

int main(int argc, char **argv)
{
    std::string file;
    std::string pageFile;
    std::string tableFile;
    std::vector<std::uint64_t> seeds;
    CLI::App app("Compares variants of placement on emulated days of a deployment and prints what callers got", "overload_bench");
    app.add_option("experiment", file, "Experiment file (YAML)")->required();
    app.add_option("--page", pageFile, "Write a page with plots (HTML) to this file");
    app.add_option("--table", tableFile, "Write the tables (Markdown) to this file instead of standard output");
    app.add_option("--seeds", seeds, "Seeds in place of those of the experiment");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : s_badInput;
    }
    try {
        Experiment experiment = readExperiment(file);
        experiment.seeds = seeds.empty() ? experiment.seeds : seeds;
        const std::vector<Summary> summaries = runAll(experiment);
        const std::string tables = fmt::format("## {}\n\n{}", experiment.name, markdownTables(summaries));
        if (tableFile.empty()) {
            fmt::print("{}", tables);
        } else {
            write(tableFile, tables);
        }
        if (!pageFile.empty()) {
            write(pageFile, page(experiment, summaries));
        }
    } catch (const InputError &error) {
        fmt::print(stderr, "overload_bench: {}\n", error.what());
        return s_badInput;
    }
    return 0;
}
