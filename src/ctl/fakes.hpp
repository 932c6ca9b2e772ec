// Operator ports and time for tests.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "trefoilstile/ctl/effect.hpp"
#include "trefoilstile/ctl/node_status.hpp"

namespace trefoilstile::ctl::testing
{

/// Instance as its own port and other ports report it.
struct FakeInstance {
    std::string name;
    std::string domain;
    std::uint64_t generation{};
    std::uint64_t drainGeneration{};
    bool alive = true;
    bool leaving = false;
    std::string incarnation = "0000000000000001";
    std::string hash{};
    std::string environment = "trial";
};

inline std::string memberJson(const FakeInstance &instance)
{
    return fmt::format(R"("name":"{}","region":"r","failure_domain":"{}","incarnation":"{}","generation":{},"drain_generation":{},"alive":{},"leaving":{})",
        instance.name,
        instance.domain,
        instance.incarnation,
        instance.generation,
        instance.drainGeneration,
        instance.alive,
        instance.leaving);
}

inline std::string statusJson(const FakeInstance &self, const std::vector<FakeInstance> &members)
{
    std::vector<std::string> list;
    for (const FakeInstance &member : members) {
        list.push_back("{" + memberJson(member) + "}");
    }
    return fmt::format(R"({{{},"environment":"{}","hash":"{}","alarms":[],"platform":{{"breaker":"closed"}},"members":[{}]}})",
        memberJson(self),
        self.environment,
        self.hash,
        fmt::join(list, ","));
}

class FakePorts final : public OperatorPorts
{
public:
    std::vector<PortAnswer> answers; ///< of each port
    std::vector<std::string> targets; ///< of every request
    std::function<void()> afterRound; ///< after the last port was asked

    std::size_t count() const override
    {
        return answers.size();
    }

    PortAnswer get(std::size_t index, const std::string &target, base::Duration /*limit*/) override
    {
        targets.push_back(target);
        PortAnswer answer = answers.at(index);
        if (index + 1 == answers.size() && afterRound) {
            afterRound();
        }
        return answer;
    }
};

/// Time that passes only by sleeping.
class FakePacer final : public Pacer
{
public:
    base::TimePoint time;

    base::TimePoint now() override
    {
        return time;
    }

    void sleep(base::Duration span) override
    {
        time += span;
    }
};

} // namespace trefoilstile::ctl::testing
