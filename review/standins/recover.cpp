// All gateway processes are killed at once and come back; as the traffic returns, two engines
// crash. All prompts share their first part, as requests with one system prompt do.
//
// recover RECORD restart|steady: with "steady" no process is killed, and three engines crash.
#include "models.h"

using namespace rig;

namespace {

constexpr int Gateways = 3;
constexpr int Engines = 18;
constexpr int Events = 60;
constexpr double EventPauseMs = 25;
constexpr double PrefillMs = 150;
constexpr double RequestsPerSecond = 40;
constexpr double CalmMs = 6000;
constexpr double DownMs = 1200;
constexpr double CrashAfterMs = 150;
constexpr double RestartMs = 4500;
constexpr double RecoverMs = 12000;
constexpr double JudgedMs = 10000;

struct Sent
{
    double atMs;
    int status;
    bool whole;
};

std::mutex mutex;
std::vector<Sent> sent;
std::map<Server *, int> running;
std::atomic<double> firstBackMs {0};
std::atomic<bool> back {false};

Answer letter(const std::string &gateway, const std::string &id, std::uint32_t n)
{
    char parts[64];
    std::snprintf(parts, sizeof parts, "5c1e07a2:40,%08x:760", 0xe4000000U + n);
    return ask(gateway, "POST", "/letters/" + std::to_string(n),
               {{"X-Request-Id", id},
                {"X-Model", "m"},
                {"X-Token-Usage", "800,180"},
                {"X-Prompt-Prefix", parts},
                {"Api-Key", Key}},
               "draft letter " + std::to_string(n), 20000);
}

} // namespace

int main(int, char **argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    record.open(argv[1]);
    const bool restart = std::string(argv[2]) == "restart";
    const int crashing = restart ? 2 : 3;
    const double crashGapMs = restart ? 100 : 130;
    Site site;
    Store store;
    std::atomic<bool> ending {false};
    std::atomic<int> busy {0};
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (int i = 0; i < Gateways; ++i) {
        if (!store.listen(site.at(200 + i, 8223), i))
            return 2;
        gateways.push_back(std::make_unique<Gateway>("front-" + std::to_string(i + 1), "austin-a",
                                                     site.ip(10 + i), site.at(200 + i, 8223),
                                                     site.folder));
    }
    store.start();
    store.put("keyed.op", "config", configuration(7).dump());
    std::vector<std::unique_ptr<Server>> engines;
    for (int i = 0; i < Engines; ++i) {
        engines.push_back(
            std::make_unique<Server>(store, "e" + std::to_string(i), "llm", "austin-a",
                                     std::vector<std::string> {site.at(100 + i, 8080)}));
        Server &engine = *engines.back();
        engine.layered = true;
        engine.kind = "a100";
        engine.loadMs = 300;
        engine.handler = [&](Server &server, Stream &stream, const Server::Arrival &arrival) {
            if (back && firstBackMs == 0)
                firstBackMs = nowMs();
            record.line("reaches " + arrival.server + " request "
                        + arrival.request.field("X-Request-Id"));
            stream.write(headText(streamFields(arrival)));
            {
                const std::lock_guard lock(mutex);
                ++running[&server];
            }
            sleepMs(PrefillMs);
            {
                const std::lock_guard lock(mutex);
                --running[&server];
            }
            writeEvents(server, stream, arrival, Events, EventPauseMs, true);
        };
        if (!engine.boot())
            return 2;
    }
    for (auto &it : gateways)
        it->start();
    const auto giveUp = [&](const char *why) {
        say(why);
        for (auto &it : gateways)
            it->kill();
        std::_Exit(2);
    };
    if (!waitFor(25000, [&] {
            return std::all_of(gateways.begin(), gateways.end(), [](const auto &it) {
                return letter(it->front(), newId(), 1).status == 200;
            });
        }))
        giveUp("the gateways did not become ready");
    sleepMs(4000);
    say("ready; traffic begins");

    const double start = nowMs();
    double backMs = 0;
    std::atomic<bool> stop {false};
    std::thread clients([&] {
        std::uint32_t n = 100;
        for (double next = start; !stop; sleepMs(2)) {
            if (nowMs() < next)
                continue;
            next += 1000 / RequestsPerSecond;
            ++busy;
            std::thread([&, n = ++n] {
                std::mt19937 random(n);
                const std::string id = newId();
                Gateway &gateway = *gateways[random() % gateways.size()];
                const Answer answer = letter(gateway.front(), id, n);
                record.line("request " + id + " of " + gateway.name() + " sent at "
                            + std::to_string(answer.sentMs / 1000) + " status "
                            + std::to_string(answer.status) + (answer.whole ? " whole" : " cut")
                            + " " + answer.message.field("Retry-After") + answer.loss);
                const std::lock_guard lock(mutex);
                sent.push_back({answer.sentMs, answer.status, answer.whole});
                --busy;
            }).detach();
        }
    });
    sleepMs(CalmMs);
    const double faultMs = nowMs();
    if (restart) {
        say("all gateway processes are killed");
        for (auto &it : gateways)
            it->kill();
        sleepMs(DownMs);
        for (auto &it : gateways)
            it->start();
        say("the processes start again");
    }
    backMs = nowMs();
    back = true;
    if (trouble()) {
        waitFor(10000, [] { return firstBackMs > 0; });
        sleepMs(firstBackMs + CrashAfterMs - nowMs());
        for (int crashed = 0; crashed < crashing; sleepMs(5)) {
            for (auto &engine : engines) {
                bool reading;
                {
                    const std::lock_guard lock(mutex);
                    reading = running[engine.get()] > 0;
                }
                if (!engine->up() || !reading)
                    continue;
                say("engine " + engine->id() + " crashes");
                engine->crash();
                ++crashed;
                ++busy;
                std::thread([&, it = engine.get()] {
                    for (double left = RestartMs; left > 0 && !ending; left -= 100)
                        sleepMs(100);
                    if (!ending)
                        it->boot();
                    --busy;
                }).detach();
                sleepMs(crashGapMs);
                break;
            }
        }
    }
    sleepMs(backMs + RecoverMs + JudgedMs - nowMs());
    stop = true;
    clients.join();
    waitFor(8000, [&] { return busy == 0; });
    ending = true;
    for (auto &it : gateways)
        it->kill();

    const std::lock_guard lock(mutex);
    int before = 0, servedBefore = 0, after = 0, servedAfter = 0;
    for (const Sent &it : sent) {
        const bool served = it.status == 200 && it.whole;
        if (it.atMs < faultMs - 2500) {
            ++before;
            servedBefore += served;
        } else if (it.atMs > backMs + RecoverMs && it.atMs < backMs + RecoverMs + JudgedMs) {
            ++after;
            servedAfter += served;
        }
    }
    say("served before: " + std::to_string(servedBefore) + " of " + std::to_string(before)
        + "; of those sent later than 12 s after the machines were back: "
        + std::to_string(servedAfter) + " of " + std::to_string(after));
    const bool ran = before > 20 && after > 20 && servedBefore > 0.9 * before;
    const bool broken = servedAfter < 0.25 * after;
    say(!ran ? "the case could not run" : broken ? "BROKEN: RECOVER" : "held");
    std::filesystem::remove_all(site.folder);
    std::_Exit(!ran ? 2 : broken ? 1 : 0);
}
