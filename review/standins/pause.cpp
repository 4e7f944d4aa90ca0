// Three of four machines are partitioned from all servers, while one server turns requests away
// with a time to wait.
//
// pause RECORD
#include "models.h"

using namespace rig;

namespace {

constexpr int Gateways = 4;
constexpr int CutGateways = 3;
constexpr int Servers = 2;
constexpr double RetryAfterS = 10;
constexpr double RequestsPerSecond = 2.5;
constexpr double CalmMs = 3000;
constexpr double ShedMs = 12000;

struct Turned
{
    double atMs;
    int view;
};

std::mutex mutex;
std::vector<Turned> arrivals;
std::vector<Turned> refusals;

} // namespace

int main(int, char **argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    record.open(argv[1]);
    Site site;
    Store store;
    std::atomic<bool> shedding {false};
    std::atomic<int> busy {0};
    // Each machine reaches the servers at addresses of its own, so that single ones can be cut.
    const auto routed = [&](const std::string &host, int view) {
        return "127." + std::to_string(10 + view) + site.net.substr(site.net.find('.', 4)) + host;
    };
    store.translate = [&](const std::string &value, int view) {
        json entry = json::parse(value);
        const std::string address = entry["Addr"];
        entry["Addr"] = routed(address.substr(address.rfind('.') + 1), view);
        return entry.dump();
    };
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (int i = 0; i < Gateways; ++i) {
        if (!store.listen(site.at(200 + i, 8223), i))
            return 2;
        gateways.push_back(std::make_unique<Gateway>(
            "front-" + std::to_string(i + 1), i < CutGateways ? "austin-a" : "austin-b",
            site.ip(10 + i), site.at(200 + i, 8223), site.folder));
    }
    store.start();
    store.put("keyed.op", "config", configuration(7).dump());
    std::vector<std::unique_ptr<Server>> servers;
    for (int i = 0; i < Servers; ++i) {
        std::vector<std::string> addresses;
        for (int view = 0; view < Gateways; ++view)
            addresses.push_back(routed(std::to_string(100 + i) + ":8080", view));
        servers.push_back(std::make_unique<Server>(store, "s" + std::to_string(i), "desk",
                                                   "austin-b", addresses));
        servers.back()->slots = 6;
        servers.back()->handler = [&, i](Server &, Stream &stream, const Server::Arrival &arrival) {
            const std::string id = arrival.request.field("X-Request-Id");
            record.line("reaches " + arrival.server + " from front-"
                        + std::to_string(arrival.view + 1) + " request " + id);
            if (i == 0 && shedding) {
                {
                    const std::lock_guard lock(mutex);
                    arrivals.push_back({arrival.atMs, arrival.view});
                    refusals.push_back({nowMs(), arrival.view});
                }
                stream.write(
                    answerText(503,
                               {{"X-Request-Id", id},
                                {"X-Not-Run", "1"},
                                {"X-Server-Stamp", stamp()},
                                {"Retry-After", std::to_string(static_cast<int>(RetryAfterS))}},
                               ""));
                return;
            }
            sleepMs(20);
            stream.write(
                answerText(200, {{"X-Request-Id", id}, {"X-Server-Stamp", stamp()}}, "served"));
        };
        if (!servers.back()->boot())
            return 2;
    }
    for (auto &it : gateways)
        it->start();
    const auto trip = [&](const Gateway &gateway, const std::string &id) {
        return ask(gateway.front(), "GET", "/trips/2f", {{"X-Request-Id", id}, {"Api-Key", Key}},
                   "", 3000);
    };
    if (!waitFor(20000, [&] {
            return std::all_of(gateways.begin(), gateways.end(),
                               [&](const auto &it) { return trip(*it, newId()).status == 200; });
        })) {
        say("the gateways did not become ready");
        for (auto &it : gateways)
            it->kill();
        std::_Exit(2);
    }
    sleepMs(4000);
    say("ready");
    if (trouble()) {
        for (auto &server : servers) {
            for (int view = 0; view < CutGateways; ++view)
                server->setReachable(view, false);
        }
        say("front-1 to front-3 are partitioned from all servers; new connections are refused");
    }
    std::atomic<int> served {0}, asked {0};
    const double start = nowMs();
    std::vector<double> next(Gateways);
    for (int i = 0; i < Gateways; ++i)
        next[static_cast<std::size_t>(i)] = start + i * 200;
    while (nowMs() < start + CalmMs + ShedMs) {
        if (!shedding && nowMs() > start + CalmMs) {
            shedding = true;
            say("a server turns requests away, with Retry-After");
            // First clients of the undisrupted machine come, then those of the others.
            for (int i = 0; i < CutGateways; ++i)
                next[static_cast<std::size_t>(i)] = nowMs() + 2600 + i * 700;
        }
        for (int i = 0; i < Gateways; ++i) {
            if (nowMs() < next[static_cast<std::size_t>(i)])
                continue;
            next[static_cast<std::size_t>(i)] += 1000 / RequestsPerSecond;
            ++busy;
            std::thread([&, i] {
                const std::string id = newId();
                record.line("sent to front-" + std::to_string(i + 1) + " request " + id);
                const Answer answer = trip(*gateways[static_cast<std::size_t>(i)], id);
                record.line("answered request " + id + " status " + std::to_string(answer.status)
                            + " " + answer.loss);
                ++asked;
                served += answer.status == 200 ? 1 : 0;
                --busy;
            }).detach();
        }
        sleepMs(2);
    }
    waitFor(4000, [&] { return busy == 0; });
    for (auto &it : gateways)
        it->kill();

    const std::lock_guard lock(mutex);
    int most = 0;
    for (const Turned &refusal : refusals) {
        int n = 0;
        for (const Turned &arrival : arrivals)
            n += arrival.view == refusal.view && arrival.atMs > refusal.atMs + 500
                && arrival.atMs < refusal.atMs + RetryAfterS * 1000;
        most = std::max(most, n);
    }
    say(std::to_string(served) + " of " + std::to_string(asked)
        + " requests served; the server turned " + std::to_string(refusals.size()) + " away");
    say("at most " + std::to_string(most)
        + " requests reached it from a machine between 0.5 s after a 503 with Retry-After to that "
          "machine and the end of that time");
    const bool ran = served > 0.8 * asked && refusals.size() >= 2;
    say(!ran ? "the case could not run" : most > 2 ? "BROKEN: BUDGET, Retry-After" : "held");
    std::filesystem::remove_all(site.folder);
    std::_Exit(!ran ? 2 : most > 2 ? 1 : 0);
}
