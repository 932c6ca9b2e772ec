// Duty of the platform thread: all requests to the platform, which may block, and the parsing of documents.
#pragma once

#include <string>
#include <string_view>

#include "trefoilstile/daemon/messages.hpp"
#include "trefoilstile/daemon/ring.hpp"
#include "trefoilstile/daemon/settings.hpp"
#include "trefoilstile/tablestore/claim_store.hpp"
#include "trefoilstile/tablestore/document_store.hpp"
#include "trefoilstile/tablestore/drain_store.hpp"
#include "trefoilstile/tablestore/platform_client.hpp"

namespace trefoilstile::daemon
{

struct PlatformOutputs {
    Ring<DecisionInput> *decisions = nullptr;
    Ring<PeerInput> *peers = nullptr;
    Ring<ReportInput> *reports = nullptr;
};

class PlatformDuty
{
public:
    PlatformDuty(const Settings &settings, std::uint64_t seed, PlatformOutputs outputs);

    /// Takes one entry of a ring. Blocks for as long as the platform takes, within the client's time limits.
    void take(PlatformInput input);

private:
    void run(const engine::ClaimKey &claim);
    void run(const PollRows &poll);
    void run(const FetchObject &fetch);
    void run(const ParseDocument &parse);
    void run(const PollInstances &);
    void reportBreaker();
    void logChange(bool reachable, std::string_view reason);

    std::string m_environment;
    tablestore::PlatformClient m_client;
    tablestore::DocumentStore m_documents;
    tablestore::DrainStore m_drains;
    tablestore::ClaimStore m_claims;
    PlatformOutputs m_outputs;
    bool m_reachable = true;
};

} // namespace trefoilstile::daemon
