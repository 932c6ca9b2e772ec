// Reads a steering document, builds the tables for lookups and prints the entry instances for a caller's address.
// Usage: lookup DOCUMENT CLIENT_IP

#include <cstdio>
#include <exception>
#include <fstream>
#include <iterator>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "trefoilstile/document/parse.hpp"
#include "trefoilstile/routing/block_table.hpp"
#include "trefoilstile/routing/entry_choice.hpp"

using namespace trefoilstile;

namespace
{

/// Allows no lookup response that names another region. A program would draw on its shift caps here.
class NoCommitments : public routing::CommitmentSource
{
public:
    bool take(std::string_view, std::string_view) override
    {
        return false;
    }
};

std::string readFile(const char *name)
{
    std::ifstream file(name, std::ios::binary);
    if (!file) {
        throw std::runtime_error(std::string(name) + ": cannot be read");
    }
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

/// One entry instance in each failure domain; a program would take them from its member list.
std::vector<routing::EntryCandidate> candidatesOf(const document::SteeringDocument &document)
{
    std::vector<routing::EntryCandidate> candidates;
    for (const document::Region &region : document.regions) {
        for (const document::FailureDomain &domain : region.failureDomains) {
            const std::string port = std::to_string(9000 + candidates.size());
            candidates.push_back({"entry-" + domain.name, "127.0.0.1:" + port, region.name, domain.name});
        }
    }
    return candidates;
}

int run(const char *file, const char *clientText)
{
    const auto client = base::parseIpAddress(clientText);
    if (!client) {
        std::fprintf(stderr, "lookup: '%s' is not an IP address\n", clientText);
        return 2;
    }
    const auto document = std::make_shared<const document::SteeringDocument>(document::parseDocument(readFile(file)));
    const auto blocks = std::make_shared<const routing::BlockTable>(document->clientBlocks, document->defaultSite);
    const routing::EntryTable table(document, blocks, base::Generation{1}, candidatesOf(*document));

    NoCommitments commitments;
    const routing::EntryChoice choice = table.choose(*client, commitments);
    std::printf("caller %s: site %s, home region %s\n", clientText, document->sites[blocks->site(*client)].name.c_str(), choice.homeRegion.c_str());
    for (const routing::EntryCandidate *entry : choice.entries) {
        std::printf("  %s at %s in %s\n", entry->name.c_str(), entry->address.c_str(), entry->failureDomain.c_str());
    }
    return choice.entries.empty() ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::fprintf(stderr, "usage: lookup DOCUMENT CLIENT_IP\n");
        return 2;
    }
    try {
        return run(argv[1], argv[2]);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "lookup: %s\n", error.what());
        return 1;
    }
}
