#include "fragile_server.h"

/// A request crashes each server that begins to run it. The servers go dark: they send nothing, not
/// even a reset, and are back after some seconds. The request comes again and again, with the same
/// path, caller and body, at any host.

using namespace review;

namespace {

constexpr int Repeats = 14;
constexpr auto RepeatInterval = std::chrono::milliseconds(4000);

bool play(Record &record, bool trouble)
{
    Deployment deployment(2, "a");
    RunLog runs(record);
    Arrivals arrivals;
    startFragileServers(deployment, record, runs, arrivals,
                        trouble ? CrashForm::Dark : CrashForm::None);
    deployment.startAll();
    checkSoundRequests(deployment, record);
    const auto began = Clock::now();
    for (int i = 0; i < Repeats; ++i) {
        std::this_thread::sleep_until(began + i * RepeatInterval);
        sendSlip(deployment, record, "deadly-" + std::to_string(i + 1), DeadlyBody, i % 2);
        sendSlip(deployment, record, "between-" + std::to_string(i + 1),
                 "slip between " + std::to_string(i), i % 2);
    }
    pause(500ms);
    const std::lock_guard lock(arrivals.mutex);
    return judge(record, arrivals.at, arrivals.crashes);
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, play);
}
