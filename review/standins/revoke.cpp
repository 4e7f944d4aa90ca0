// A machine freezes while a key is taken away.
//
// revoke RECORD away|freeze: with "away" the machine freezes for 3.5 s, and the store goes down for
// 8 s right after it has acknowledged the change, before any machine has read it. With "freeze" the
// store serves all the time, and the machine wakes later than RevokeMs after the acknowledgement.
#include "models.h"

using namespace rig;

namespace {

constexpr double RevokeMs = 5000;
constexpr double StoreAwayMs = 8000;
constexpr int Gateways = 3;
constexpr int Servers = 3;
constexpr int KeptConnections = 10;
const std::string Taken = "n2ctnfzs989anu6wsjnb";

std::mutex mutex;
std::map<std::string, double> ran;

std::string slip(const std::string &id, const std::string &body)
{
    return "POST /slips/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: " + id
        + "\r\nApi-Key: " + Taken + "\r\nX-Deadline-Ms: 3000\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

int main(int, char **argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    record.open(argv[1]);
    const bool storeAway = std::string(argv[2]) == "away";
    const double freezeMs = storeAway ? 3500 : 6000;
    Site site;
    Store store;
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
    std::vector<std::unique_ptr<Server>> servers;
    for (int i = 0; i < Servers; ++i) {
        servers.push_back(
            std::make_unique<Server>(store, "s" + std::to_string(i), "desk", "austin-a",
                                     std::vector<std::string> {site.at(100 + i, 8080)}));
        servers.back()->slots = 6;
        servers.back()->handler = [&](Server &, Stream &stream, const Server::Arrival &arrival) {
            const std::string id = arrival.request.field("X-Request-Id");
            {
                const std::lock_guard lock(mutex);
                ran.emplace(id, nowMs());
            }
            record.line("runs at " + arrival.server + " request " + id + " tenant "
                        + arrival.request.field("X-Tenant"));
            sleepMs(20);
            stream.write(
                answerText(200, {{"X-Request-Id", id}, {"X-Server-Stamp", stamp()}}, "signed"));
        };
        if (!servers.back()->boot())
            return 2;
    }
    for (auto &it : gateways)
        it->start();
    const auto serves = [&](const std::unique_ptr<Gateway> &it) {
        return ask(it->front(), "POST", "/slips/2f",
                   {{"X-Request-Id", newId()}, {"Api-Key", Taken}}, "x", 3000)
                   .status
            == 200;
    };
    if (!waitFor(20000, [&] { return std::all_of(gateways.begin(), gateways.end(), serves); })) {
        say("the gateways did not become ready");
        for (auto &it : gateways)
            it->kill();
        std::_Exit(2);
    }
    sleepMs(4000);
    say("ready");

    // Clients with kept connections, each used once: all to the machine that freezes, or in turn to
    // all machines.
    Gateway &machine = *gateways[0];
    std::vector<std::unique_ptr<Stream>> kept;
    const auto of = [&](int i) -> Gateway & {
        return storeAway ? *gateways[static_cast<std::size_t>(i % Gateways)] : machine;
    };
    for (int i = 0; i < KeptConnections; ++i) {
        kept.push_back(std::make_unique<Stream>(dial(of(i).front(), 1000)));
        const std::string id = newId();
        kept.back()->write(slip(id, "before"));
        Message answer;
        if (!kept.back()->readHead(answer, nowMs() + 3000) || answer.status() != 200) {
            say("a kept connection was not served");
            for (auto &other : gateways)
                other->kill();
            std::_Exit(2);
        }
        kept.back()->readBody(answer, nowMs() + 3000, true);
    }

    const bool freezes = trouble() && !std::getenv("NO_FREEZE");
    const double frozenAt = nowMs();
    if (freezes) {
        machine.signal(SIGSTOP);
        say("the machine " + machine.name() + " freezes");
    }
    std::thread waking([&] {
        if (!freezes)
            return;
        sleepMs(frozenAt + freezeMs - nowMs());
        machine.signal(SIGCONT);
        say("the machine wakes");
    });
    sleepMs(300);
    json next = configuration(8);
    next["Tenants"][0]["ApiKeys"] = json::array({"anfqasnmgkcuyj8pjbvk"});
    const bool away = trouble() && storeAway;
    store.putAs("keyed.op", "config", next.dump(), away ? Store::Busy : Store::Serves);
    const double acknowledged = nowMs();
    say("the configuration that takes the key away is acknowledged");
    if (away)
        say("the store is down");

    std::map<std::string, double> sentLate;
    const double firstAt = acknowledged + RevokeMs + 60;
    for (int i = 0; i < KeptConnections; ++i) {
        sleepMs(firstAt + i * 50 - nowMs());
        const std::string id = newId();
        sentLate[id] = nowMs();
        record.line("sent to " + of(i).name() + " request " + id
                    + " with the key that was taken away");
        kept[static_cast<std::size_t>(i)]->write(slip(id, "after"));
    }
    waking.join();
    std::map<int, int> statuses;
    for (auto &it : kept) {
        Message answer;
        const bool any = it->readHead(answer, nowMs() + 3000);
        ++statuses[any ? answer.status() : 0];
        record.line("answered request " + answer.field("X-Request-Id") + " status "
                    + std::to_string(any ? answer.status() : 0));
    }
    if (away) {
        sleepMs(acknowledged + StoreAwayMs - nowMs());
        store.setAll(Store::Serves);
        say("the store is back");
    }
    sleepMs(500);
    for (auto &it : gateways)
        it->kill();
    int late = 0;
    {
        const std::lock_guard lock(mutex);
        for (const auto &[id, at] : sentLate) {
            if (ran.count(id) == 0)
                continue;
            ++late;
            record.line("ran with the key that was taken away: request " + id + ", sent "
                        + std::to_string(static_cast<int>(at - acknowledged))
                        + " ms after the acknowledgement");
        }
    }
    std::string text;
    for (const auto &[status, n] : statuses)
        text += " " + std::to_string(status) + ": " + std::to_string(n);
    say("answers by status:" + text);
    say(std::to_string(late) + " of " + std::to_string(sentLate.size())
        + " requests ran that were sent later than RevokeMs after the acknowledgement");
    say(late > 0 ? "BROKEN: CONFIG, StrictRevoke" : "held");
    std::filesystem::remove_all(site.folder);
    std::_Exit(late > 0 ? 1 : 0);
}
