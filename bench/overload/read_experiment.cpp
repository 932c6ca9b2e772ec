// Fields of experiments, and the files that they name.

#include "read_experiment.hpp"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <map>

#include <fmt/format.h>

namespace trefoilstile::bench::overload
{

namespace
{

using document::elements;
using document::FaultList;
using document::Field;
using document::MapReader;
using document::readText;

std::string readFile(const std::filesystem::path &file)
{
    std::ifstream stream(file, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
    if (!stream.is_open() || stream.bad() || text.empty()) {
        throw InputError(fmt::format("{}: the file cannot be read or is empty", file.string()));
    }
    return text;
}

void readVariant(Variant &variant, const Field &field, FaultList &faults)
{
    static const std::map<std::string, PolicyName, std::less<>> policies{{"placement", PolicyName::Placement},
        {"least-load", PolicyName::LeastLoad},
        {"round-robin", PolicyName::RoundRobin},
        {"bounded-load-hash", PolicyName::BoundedLoadHash},
        {"power-of-two", PolicyName::PowerOfTwoChoices},
        {"power-of-two-by-key", PolicyName::PowerOfTwoByKey}};
    MapReader map(field, faults);
    variant.name = readText(map.required("name"), faults);
    if (const Field policy = map.optional("policy")) {
        const auto found = policies.find(readText(policy, faults));
        if (found == policies.end()) {
            faults.add(policy.path, policy.node->line, "must be placement, least-load, round-robin, bounded-load-hash, power-of-two or power-of-two-by-key");
        } else {
            variant.policy = found->second;
        }
    }
    document::readBoolInto(variant.speedReported, map.optional("speed_reported"), faults);
    if (const Field options = map.optional("options")) {
        if (variant.policy != PolicyName::Placement) {
            faults.add(options.path, options.node->line, "only the policy placement has options");
        }
        readOptions(variant, options, faults);
    }
    map.finish();
}

void readVariants(Experiment &experiment, const Field &field, FaultList &faults)
{
    for (const Field &element : elements(field, faults)) {
        Variant variant;
        readVariant(variant, element, faults);
        const bool twice = std::any_of(experiment.variants.begin(), experiment.variants.end(), [&variant](const Variant &other) {
            return other.name == variant.name;
        });
        if (twice) {
            faults.add(element.path, element.node->line, fmt::format("the name '{}' is given twice", variant.name));
        }
        experiment.variants.push_back(std::move(variant));
    }
    if (field && experiment.variants.empty()) {
        faults.add(field.path, field.node->line, "must not be empty");
    }
}

void readTimes(Experiment &experiment, MapReader &map, FaultList &faults)
{
    const Field seeds = map.required("seeds");
    for (const Field &seed : elements(seeds, faults)) {
        document::readWholeInto(experiment.seeds.emplace_back(), seed, {}, faults);
    }
    if (seeds && experiment.seeds.empty()) {
        faults.add(seeds.path, seeds.node->line, "must not be empty");
    }
    document::readNumberInto(experiment.length, map.required("length_s"), {1, 3'600}, faults);
    if (const Field settle = map.required("settle_s")) {
        experiment.settle = document::readNumber(settle, {0, std::max(0.0, experiment.length - 1)}, faults);
    }
}

} // namespace

void throwFaults(const std::vector<document::Fault> &faults, const std::string &file)
{
    if (faults.empty()) {
        return;
    }
    std::string message;
    for (const document::Fault &fault : faults) {
        message += fmt::format("{}{}:{}: {}{}{}", message.empty() ? "" : "\n", file, fault.line, fault.path, fault.path.empty() ? "" : ": ", fault.message);
    }
    throw InputError(message);
}

Experiment readExperiment(const std::filesystem::path &file)
{
    std::string deploymentFile;
    std::vector<std::string> dayFiles;
    Experiment experiment = parseWith(readFile(file), file.string(), [&](const Field &field, FaultList &faults) {
        Experiment read;
        MapReader map(field, faults);
        read.name = readText(map.required("name"), faults);
        deploymentFile = readText(map.required("deployment"), faults);
        const Field days = map.required("days");
        for (const Field &day : elements(days, faults)) {
            dayFiles.push_back(readText(day, faults));
        }
        if (days && dayFiles.empty()) {
            faults.add(days.path, days.node->line, "must not be empty");
        }
        readTimes(read, map, faults);
        readVariants(read, map.required("variants"), faults);
        map.finish();
        return read;
    });
    const std::filesystem::path folder = file.parent_path();
    const auto deploymentPath = folder / deploymentFile;
    experiment.deployment = parseDeployment(readFile(deploymentPath), deploymentPath.string());
    for (const std::string &name : dayFiles) {
        const auto path = folder / name;
        experiment.days.push_back(parseDay(readFile(path), path.string(), experiment.deployment));
    }
    return experiment;
}

} // namespace trefoilstile::bench::overload
