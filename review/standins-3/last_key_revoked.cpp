#include "plain_server.h"

/// The operator takes the keys of all tenants away, one tenant after the other. Clients go on with
/// the keys that they have.

using namespace review;

namespace {

constexpr const char *Host = "school.example";
constexpr auto RevokeTime = std::chrono::milliseconds(5000);

std::string configuration(int version, const json &tenants)
{
    return json {{"Version", version},
                 {"Routes", {route(Host, "/sign/", "unsafe", "desk")}},
                 {"Services", {{{"Name", "desk"}, {"HealthPath", "/healthz"}}}},
                 {"Tenants", tenants},
                 {"Limits", limits()}}
        .dump();
}

bool play(Record &record, bool trouble)
{
    Deployment deployment(2, "a");
    RunLog runs(record);
    const json school1 = {{"Name", "school-1"}, {"ApiKeys", {"key-1"}}};
    const json school2 = {{"Name", "school-2"}, {"ApiKeys", {"key-2"}}};
    deployment.store().put("keyed.op", "config", configuration(7, json::array({school1, school2})));
    PlainServer first(deployment, runs, "i-desk-1", "desk");
    PlainServer second(deployment, runs, "i-desk-2", "desk");
    deployment.startAll();

    int sent = 0;
    const auto send = [&](const std::string &key) {
        const std::string id = key + '-' + std::to_string(++sent);
        const Response response =
            ask(deployment.front(sent % deployment.hosts()), "POST", "/sign/slip",
                {{"Host", Host},
                 {"Api-Key", key},
                 {"X-Request-Id", id},
                 {"X-Deadline-Ms", "3000"},
                 {"Connection", "close"}},
                "slip");
        record.line("client gets " + std::to_string(response.status) + " for " + id);
        return response.status;
    };
    for (int i = 0; i < 4; ++i) {
        if (send("key-1") != 200 || send("key-2") != 200)
            throw CannotRun("a valid key is not accepted");
    }
    if (send("key-never-given") != 401)
        throw CannotRun("an unknown key is not refused at the start");

    deployment.store().put("keyed.op", "config", configuration(8, json::array({school2})));
    record.line("the store acknowledges version 8, which takes key-1 away");
    pause(1000ms);
    if (trouble) {
        deployment.store().put("keyed.op", "config", configuration(9, json::array()));
        record.line("the store acknowledges version 9, which takes key-2 away, the last one: "
                    "\"Tenants\": []");
    }
    pause(RevokeTime + 1000ms);

    const std::size_t before = runs.all().size();
    for (int i = 0; i < 4; ++i) {
        send("key-1");
        if (trouble)
            send("key-2");
        send("key-never-given");
    }
    bool held = true;
    const std::vector<Run> all = runs.all();
    for (std::size_t i = before; i < all.size(); ++i) {
        held = false;
        record.line("CONFIG: " + all[i].request.field("X-Request-Id")
                    + " ran, more than RevokeMs after its key was taken away, or without a key "
                      "that any configuration held");
    }
    return held;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, play);
}
