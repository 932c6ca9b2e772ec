// Actor of the platform thread: all requests to the platform, which may block, and parsing of documents.
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

class PlatformActor
{
public:
    PlatformActor(const Settings &settings, std::uint64_t seed, PlatformOutputs outputs);

    /// Handles one message from another thread. Blocks until the platform responds or the time limit of the request ends.
    void handle(PlatformInput input);

private:
    void on(const engine::ClaimKey &claim);
    void on(const PollRows &poll);
    void on(const FetchObject &fetch);
    void on(const ParseDocument &parse);
    void on(const PollInstances &);
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
