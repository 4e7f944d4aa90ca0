#include "plain_server.h"

/// Another writer writes an entry in the list of servers that lacks fields and has one of another
/// type. It stands under the id of a server of another service.

using namespace review;

namespace {

constexpr const char *Host = "school.example";

bool play(Record &record, bool trouble)
{
    Deployment deployment(2, "a");
    RunLog runs(record);
    deployment.store().put("keyed.op", "config",
                           json {{"Version", 7},
                                 {"Routes",
                                  {route(Host, "/sign/", "unsafe", "desk"),
                                   route(Host, "/roster/", "safe", "office")}},
                                 {"Services",
                                  {{{"Name", "desk"}, {"HealthPath", "/healthz"}},
                                   {{"Name", "office"}, {"HealthPath", "/healthz"}}}},
                                 {"Tenants", {{{"Name", "school-1"}, {"ApiKeys", {"key-1"}}}}},
                                 {"Limits", limits()}}
                               .dump());
    PlainServer desk1(deployment, runs, "i-desk-1", "desk");
    PlainServer desk2(deployment, runs, "i-desk-2", "desk");
    PlainServer office1(deployment, runs, "i-office-1", "office");
    PlainServer office2(deployment, runs, "i-office-2", "office");
    deployment.startAll();

    const json foreign = {{"Service", "desk"},
                          {"Addr", office1.address().text()},
                          {"State", "ready"},
                          {"Slots", "6"}};
    int wrong = 0;
    int served = 0;
    for (int i = 0; i < 200; ++i) {
        if (trouble && i % 50 == 25) {
            record.line("another writer writes servers/" + office1.id() + ": " + foreign.dump());
            deployment.store().put("keyed.servers", office1.id(), foreign.dump());
        }
        const std::string id = "sign-" + std::to_string(i + 1);
        const Response response =
            ask(deployment.front(i % deployment.hosts()), "POST", "/sign/slip",
                {{"Host", Host},
                 {"Api-Key", "key-1"},
                 {"X-Request-Id", id},
                 {"X-Deadline-Ms", "3000"},
                 {"Connection", "close"}},
                "slip");
        record.line("client gets " + std::to_string(response.status) + " for " + id + ", stamp '"
                    + response.field("X-Server-Stamp") + "'");
        served += response.status == 200;
        pause(50ms);
    }
    for (const Run &run : runs.all()) {
        if (run.request.target.rfind("/sign/", 0) == 0 && run.service != "desk") {
            ++wrong;
            record.line("ROUTE: " + run.request.field("X-Request-Id") + " ran at " + run.server
                        + " of the service " + run.service);
        }
    }
    record.line(std::to_string(served) + " of 200 served, " + std::to_string(wrong)
                + " ran at the wrong service");
    if (!trouble && served < 190)
        throw CannotRun("too few requests were served");
    return wrong == 0;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, play);
}
