#include "process/soak_ledger.h"

#include <cstdio>
#include <utility>

namespace dogwoodvalve::process {

using testtool::ForwardingEngine;
using testtool::PathFleet;

namespace {

constexpr std::size_t CrashLimit = 5;
constexpr Duration CrashBound = 3s;
constexpr int RequestsBeyondLimit = 3;

} // namespace

SoakLedger::SoakLedger(std::uint64_t seed, const PathFleet &platform, int engines)
    : m_seed(seed)
    , m_platform(platform)
    , m_engines(engines)
{ }

std::string SoakLedger::noteSent(const SentRequest &request)
{
    std::string id = "q" + std::to_string(m_sent.size() + 1);
    m_sent.emplace(id, request);
    return id;
}

void SoakLedger::noteAnswer(const std::string &id, int status, std::string_view body, bool whole,
                            std::optional<TimePoint> keyRefusedFrom)
{
    SentRequest &request = m_sent.at(id);
    ++m_outcomes[whole ? std::to_string(status) : "broken off"];
    request.saidNotRun =
        whole && status == 503 && body.find("\"not_run\"") != std::string_view::npos;
    if (status != 200)
        return;
    if (request.takenAwayKey && keyRefusedFrom && request.sentAt > *keyRefusedFrom)
        violation("a key was accepted after it was taken away, request " + id);
    const std::string expected = request.kind == 'g' || request.kind == 'c'
        ? ForwardingEngine::wholeStream(id)
        : std::string("served /") + (request.kind == 'r' ? "read" : "write") + "/x\n";
    if (whole ? body != expected : expected.rfind(body, 0) != 0)
        violation("request " + id
                  + " got another answer than its own: " + std::string(body.substr(0, 80)));
}

void SoakLedger::noteLost(const std::string &id)
{
    if (plainRuns(id) > 0)
        violation("request " + id + " ran, and its kept connection was closed unanswered");
}

int SoakLedger::plainRuns(const std::string &id) const
{
    int runs = 0;
    for (int i = 0; i < PathFleet::Services; ++i) {
        const auto &ran = m_platform.service(i).runs();
        const auto it = ran.find(id);
        runs += it == ran.end() ? 0 : it->second;
    }
    return runs;
}

int SoakLedger::engineRuns(const std::string &id) const
{
    int runs = 0;
    for (int i = 0; i < m_engines; ++i) {
        const auto &ran = m_platform.engine(i).runs();
        const auto it = ran.find(id);
        runs += it == ran.end() ? 0 : it->second;
    }
    return runs;
}

void SoakLedger::checkCrashingRequests()
{
    if (m_crashes.size() < CrashLimit)
        return;
    int late = 0;
    for (const auto &[id, request] : m_sent) {
        if (request.kind == 'c' && request.inContact
            && request.sentAt > m_crashes[CrashLimit - 1] + CrashBound)
            late += engineRuns(id);
    }
    if (late > RequestsBeyondLimit)
        violation(std::to_string(late) + " requests that crash engines ran too late");
}

void SoakLedger::checkLeaving()
{
    for (auto &[id, request] : m_sent) {
        if (std::exchange(request.avoidsLeaving, false)
            && m_platform.service(PathFleet::Services - 1).runs().count(id) > 0)
            violation("request " + id + " went to a server that had begun to leave");
    }
}

void SoakLedger::checkRuns()
{
    checkLeaving();
    checkCrashingRequests();
    for (const auto &[id, request] : m_sent) {
        const int runs = plainRuns(id) + engineRuns(id);
        if (request.kind == 'w' && runs > 1)
            violation("request " + id + " must not be repeated and ran more than once");
        if (request.saidNotRun && runs > 0)
            violation("request " + id + " was said not to have run, and had");
    }
}

void SoakLedger::violation(const std::string &what)
{
    std::printf("VIOLATION seed %llu: %s\n", static_cast<unsigned long long>(m_seed), what.c_str());
    ++m_violations;
}

std::size_t SoakLedger::report() const
{
    std::printf("seed=%llu requests=%zu crashes=%zu violations=%zu",
                static_cast<unsigned long long>(m_seed), m_sent.size(), m_crashes.size(),
                m_violations);
    for (const auto &[outcome, n] : m_outcomes)
        std::printf(" \"%s\"=%d", outcome.c_str(), n);
    for (const auto &[fault, n] : m_faults)
        std::printf(" \"%s\"=%d", fault.c_str(), n);
    std::printf("\n");
    return m_violations;
}

} // namespace dogwoodvalve::process
