// A request crashes each engine that begins to run it, or one part of a prompt crashes each engine
// that begins to write an answer on it.
//
// poison RECORD request|part early|late|slow short|long: with "request" the same request comes
// again and again, with "part" no two requests with the part are alike. With "early" an engine
// sends the head of an answer with its first event, so that a crash leaves no byte of the answer;
// with "late" the head has gone out 30 ms before, with "slow" 600 ms before. With "short" the part
// is the second of three, with "long" the 18th of 20.
#include "models.h"

using namespace rig;

namespace {

constexpr double ContactMs = 3000;
constexpr int Engines = 10;
constexpr int Gateways = 3;
constexpr int Events = 20;
constexpr double RestartMs = 3000;
constexpr double SoundPerS = 8;
constexpr double PoisonPerS = 1.5;
constexpr double CalmMs = 6000;
constexpr double PoisonMs = 22000;
const std::string Poison = "dead0b0b";

std::mutex mutex;
std::vector<double> crashes;
std::vector<std::pair<double, std::string>> poisonArrivals;

struct Sound
{
    double sentMs;
    bool begun;
};
std::vector<Sound> sound;

std::string hex(std::uint32_t n)
{
    char text[16];
    std::snprintf(text, sizeof text, "%08x", n);
    return text;
}

/// The parts of a prompt. The parts but the last are shared with other requests.
std::string prompt(bool poisonous, bool longPrompt, std::uint32_t n)
{
    const int parts = longPrompt ? 20 : 3;
    const int position = longPrompt ? 17 : 1;
    std::string text;
    for (int i = 0; i < parts; ++i) {
        std::string id =
            hex(0x51000000U + static_cast<std::uint32_t>(i) * 16 + (i == 0 ? 0 : n % 2));
        if (i == position)
            id = poisonous ? Poison : hex(0x5a000000U + n % 3);
        if (i == parts - 1)
            id = hex(0x70000000U + n);
        text += (i ? "," : "") + id + ":40";
    }
    return text;
}

Answer letter(const std::string &gateway, const std::string &id, const std::string &parts,
              std::uint32_t n)
{
    return ask(gateway, "POST", "/letters/" + std::to_string(n),
               {{"X-Request-Id", id},
                {"X-Model", "m"},
                {"X-Token-Usage", "800,60"},
                {"X-Prompt-Prefix", parts},
                {"Api-Key", Key}},
               "draft letter " + std::to_string(n), 20000);
}

} // namespace

int main(int, char **argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    record.open(argv[1]);
    const bool sameRequest = std::string(argv[2]) == "request";
    const bool early = std::string(argv[3]) == "early";
    const double readingMs = std::string(argv[3]) == "slow" ? 600 : 30;
    const bool longPrompt = std::string(argv[4]) == "long";
    // The crashes after which only three more requests may come.
    const std::size_t known = sameRequest ? 3 : 5;
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
            const std::string id = arrival.request.field("X-Request-Id");
            const bool poisonous =
                arrival.request.field("X-Prompt-Prefix").find(Poison) != std::string::npos;
            {
                const std::lock_guard lock(mutex);
                if (poisonous)
                    poisonArrivals.emplace_back(arrival.atMs, id);
            }
            record.line("reaches " + arrival.server + " request " + id
                        + (poisonous ? " poison" : ""));
            sleepMs(25);
            bool headSent = false;
            if (!early) {
                stream.write(headText(streamFields(arrival)));
                headSent = true;
                sleepMs(readingMs);
            }
            if (poisonous && trouble()) {
                if (!server.up())
                    return;
                {
                    const std::lock_guard lock(mutex);
                    crashes.push_back(nowMs());
                    record.line("crash " + std::to_string(crashes.size()) + " of " + arrival.server
                                + " by request " + id);
                }
                server.crash();
                ++busy;
                std::thread([&] {
                    for (double left = RestartMs; left > 0 && !ending; left -= 100)
                        sleepMs(100);
                    if (!ending)
                        server.boot();
                    --busy;
                }).detach();
                return;
            }
            writeEvents(server, stream, arrival, Events, 15, headSent);
            record.line("ran " + arrival.server + " request " + id);
        };
        if (!engine.boot())
            return 2;
    }
    for (auto &it : gateways)
        it->start();
    const bool ready = waitFor(25000, [&] {
        return std::all_of(gateways.begin(), gateways.end(), [](const auto &it) {
            return letter(it->front(), newId(), prompt(false, false, 1), 1).status == 200;
        });
    });
    if (!ready) {
        say("the gateways did not become ready");
        for (auto &it : gateways)
            it->kill();
        std::_Exit(2);
    }
    sleepMs(4000);
    say("ready; calm traffic begins");

    const double start = nowMs();
    const double poisonFrom = start + CalmMs;
    const double end = poisonFrom + PoisonMs;
    const auto client = [&](bool poisonous, std::uint32_t n) {
        ++busy;
        std::thread([&, poisonous, n] {
            std::mt19937 random(static_cast<std::uint32_t>(nowMs() * 1000) + n);
            for (int attempt = 0; attempt < 2; ++attempt) {
                const std::string id = newId();
                Gateway &gateway = *gateways[random() % gateways.size()];
                record.line("sent to " + gateway.name() + " request " + id
                            + (poisonous ? " poison" : ""));
                const Answer answer =
                    letter(gateway.front(), id, prompt(poisonous, longPrompt, n), n);
                record.line("answered request " + id + " status " + std::to_string(answer.status)
                            + (answer.whole ? "" : " cut") + " " + answer.loss);
                if (!poisonous && attempt == 0) {
                    const std::lock_guard lock(mutex);
                    sound.push_back({answer.sentMs, answer.status == 200});
                }
                if (answer.status == 200 && answer.whole)
                    break;
                const std::string after = answer.message.field("Retry-After");
                sleepMs(after.empty() ? 50 : std::min(6000.0, std::stod(after) * 1000));
            }
            --busy;
        }).detach();
    };
    std::uint32_t n = 100;
    for (double nextSound = start, nextPoison = poisonFrom; nowMs() < end; sleepMs(2)) {
        if (nowMs() >= nextSound) {
            client(false, ++n);
            nextSound += 1000 / SoundPerS;
        }
        if (nowMs() >= nextPoison) {
            client(true, sameRequest ? 99 : ++n);
            nextPoison += 1000 / PoisonPerS;
        }
    }
    waitFor(12000, [&] { return busy == 0; });
    ending = true;
    for (auto &it : gateways)
        it->kill();

    int result = 0;
    const std::lock_guard lock(mutex);
    int before = 0, beforeBegun = 0, after = 0, afterBegun = 0;
    const double last = crashes.size() >= known ? crashes[known - 1] : 1e18;
    for (const Sound &it : sound) {
        if (it.sentMs < poisonFrom) {
            ++before;
            beforeBegun += it.begun;
        } else if (it.sentMs > last + 2 * ContactMs) {
            ++after;
            afterBegun += it.begun;
        }
    }
    int late = 0;
    for (const auto &[at, id] : poisonArrivals)
        late += at > last + ContactMs ? 1 : 0;
    say(std::to_string(crashes.size()) + " crashes; " + std::to_string(poisonArrivals.size())
        + " such requests reached engines, " + std::to_string(late)
        + " of them later than 3 s after crash " + std::to_string(known));
    say("sound requests begun at the first attempt: " + std::to_string(beforeBegun) + " of "
        + std::to_string(before) + " before, " + std::to_string(afterBegun) + " of "
        + std::to_string(after) + " from 6 s after that crash");
    if (before < 20 || beforeBegun < 0.9 * before || (trouble() && crashes.size() < 2)
        || (!trouble() && poisonArrivals.size() < 5)) {
        say("the case could not run");
        result = 2;
    } else if (late > 3) {
        say(sameRequest ? "BROKEN: BUDGET, more than three retries"
                        : "BROKEN: BUDGET, more than three requests with the part");
        result = 1;
    } else {
        say("held");
    }
    std::filesystem::remove_all(site.folder);
    std::_Exit(result);
}
