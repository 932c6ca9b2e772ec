// Reads deployments, days and experiments from YAML.
#pragma once

#include <filesystem>
#include <string>
#include <string_view>

#include "field_reader.hpp"
#include "load.hpp"
#include "trefoilstile/base/error.hpp"

namespace trefoilstile::bench::overload
{

/// Thrown for a file that is not accepted. The message has one line for each fault, with file, line and path of the field.
class InputError : public base::Error
{
public:
    using base::Error::Error;
};

/// @param file name for messages
/// @throws InputError
Deployment parseDeployment(std::string_view text, const std::string &file);

/// @param deployment whose kinds and accounts the day names
/// @throws InputError
Day parseDay(std::string_view text, const std::string &file, const Deployment &deployment);

/// Reads the file and those that it names, relative to its folder.
/// @throws InputError
Experiment readExperiment(const std::filesystem::path &file);

/// Reads options by name into the variant; see `variant_options.cpp` for the names.
void readOptions(Variant &variant, const document::Field &field, document::FaultList &faults);

/// Parses a text and calls `read(field, faults)` with its root.
/// @throws InputError if the text is malformed or faults were added
template<typename Read>
auto parseWith(std::string_view text, const std::string &file, Read read);

/// @throws InputError for the faults, if there are any
void throwFaults(const std::vector<document::Fault> &faults, const std::string &file);

template<typename Read>
auto parseWith(std::string_view text, const std::string &file, Read read)
{
    try {
        const document::YamlNode root = document::parseYaml(text);
        document::FaultList faults;
        auto result = read(document::Field{&root, ""}, faults);
        throwFaults(faults.take(), file);
        return result;
    } catch (const document::DocumentError &error) {
        throwFaults(error.faults(), file);
        throw;
    }
}

} // namespace trefoilstile::bench::overload
