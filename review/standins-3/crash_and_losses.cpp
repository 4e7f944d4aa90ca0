#include "fragile_server.h"

/// A request crashes each server that begins to run it; the server is back after some seconds. The
/// request comes again and again, with the same path, caller and body, at any host. All hosts are
/// killed at the same moment, three times, and started again at once.

using namespace review;

namespace {

/// When the request is sent, in ms; the letter that gives it to the bench has it for 20 s.
constexpr int SentAt[] = {0, 1000, 2000, 6000, 7000, 11'000, 12'000, 16'000, 17'000};
/// When all hosts are killed, in ms. They are in touch again ContactMs after their start.
constexpr int LossesAt[] = {2500, 7500, 12'500};

bool play(Record &record, bool trouble)
{
    Deployment deployment(2, "a");
    RunLog runs(record);
    Arrivals arrivals;
    startFragileServers(deployment, record, runs, arrivals, CrashForm::Reset);
    deployment.startAll();
    checkSoundRequests(deployment, record);
    auto started = Clock::now() - ContactTime;
    std::vector<Clock::time_point> counted;
    const auto began = Clock::now();
    std::size_t losses = 0;
    int n = 0;
    for (const int at : SentAt) {
        if (losses < std::size(LossesAt) && LossesAt[losses] < at) {
            std::this_thread::sleep_until(began + std::chrono::milliseconds(LossesAt[losses++]));
            if (trouble) {
                for (int host = 0; host < deployment.hosts(); ++host)
                    deployment.process(host).signal(SIGKILL);
                pause(100ms);
                for (int host = 0; host < deployment.hosts(); ++host)
                    deployment.start(host);
                started = Clock::now();
                record.line("all hosts are killed and started again");
            }
        }
        std::this_thread::sleep_until(began + std::chrono::milliseconds(at));
        const std::size_t before = arrivals.at.size();
        const bool inTouch = Clock::now() - started >= ContactTime;
        ++n;
        sendSlip(deployment, record, "deadly-" + std::to_string(n), DeadlyBody, n % 2);
        pause(300ms);
        const std::lock_guard lock(arrivals.mutex);
        if (inTouch)
            counted.insert(counted.end(), arrivals.at.begin() + static_cast<std::ptrdiff_t>(before),
                           arrivals.at.end());
    }
    const std::lock_guard lock(arrivals.mutex);
    return judge(record, counted, arrivals.crashes);
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, play);
}
