#include "cli/commands.h"

#include "cli/change_commands.h"
#include "cli/operator_client.h"
#include "cli/query_commands.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace dogwoodvalve {

namespace {

const std::vector<Command> &commandTable()
{
    static const std::vector<Command> Table {
        {"entry",
         "run an entry host",
         "dogwoodvalve entry --settings FILE",
         {"settings"},
         &runEntry},
        {"gateway",
         "run an entry host on the platform, in front of engines that forward requests along paths",
         "dogwoodvalve gateway --settings FILE",
         {"settings"},
         &runGateway},
        {"apply",
         "apply the objects in YAML files to the configuration",
         "dogwoodvalve apply FILE... [--entry IP:PORT] [--wait]",
         {"entry", "token", "output", "change_id", "author", "wait", "wait_seconds",
          "allow_unmatched"},
         &runApply},
        {"get",
         "show objects in force, or the outcome of a change",
         "dogwoodvalve get [KIND [NAME]] [--change ID]",
         {"entry", "token", "output", "change"},
         &runGet},
        {"diff",
         "show what apply would change",
         "dogwoodvalve diff FILE...",
         {"entry", "token", "output"},
         &runDiff},
        {"drain",
         "drain the entry host, or a backend server by --server",
         "dogwoodvalve drain [--server NAME [--undo]]",
         {"entry", "token", "output", "server", "undo", "change_id", "author", "wait",
          "wait_seconds", "allow_unmatched"},
         &runDrain},
        {"status",
         "show an entry host's state, members and servers",
         "dogwoodvalve status",
         {"entry", "token", "output"},
         &runStatus},
        {"explain",
         "show the candidate servers of a request and their scores",
         "dogwoodvalve explain --pipeline NAME --workspace NAME",
         {"entry", "token", "output", "pipeline", "workspace"},
         &runExplain},
        {"check",
         "check settings and configuration files, offline",
         "dogwoodvalve check [--settings FILE] [FILE...]",
         {"settings", "allow_unmatched", "output"},
         &runCheck},
    };
    return Table;
}

/// Flags defined by gflags that every subcommand accepts.
constexpr std::array<std::string_view, 2> CommonFlags {"help", "flagfile"};

void printOverview(std::FILE *out)
{
    std::fprintf(out, "usage: dogwoodvalve SUBCOMMAND [ARGUMENTS] [--FLAGS]\n\n");
    for (const Command &command : commandTable())
        std::fprintf(out, "  %-8s  %s\n", std::string(command.name).c_str(),
                     std::string(command.summary).c_str());
    std::fprintf(out,
                 "\n'dogwoodvalve SUBCOMMAND --help' shows its flags.\n"
                 "Exit codes: 0 done, 1 invalid input, 2 rejected, 3 outcome unknown, "
                 "4 entry host not reached, 5 not yet in force everywhere.\n");
}

void printHelp(const Command &command)
{
    std::printf("%s\nusage: %s\n\n", std::string(command.summary).c_str(),
                std::string(command.usage).c_str());
    for (const std::string_view name : command.flags) {
        gflags::CommandLineFlagInfo info;
        if (gflags::GetCommandLineFlagInfo(std::string(name).c_str(), &info))
            std::printf("  --%-16s %s (%s, default '%s')\n", info.name.c_str(),
                        info.description.c_str(), info.type.c_str(), info.default_value.c_str());
    }
}

/// The flag's name in an argument such as --wait-seconds=5, with '_' for '-' as in its definition.
std::string flagName(std::string_view word)
{
    word.remove_prefix(std::min(word.find_first_not_of('-'), word.size()));
    std::string name(word.substr(0, word.find('=')));
    std::replace(name.begin(), name.end(), '-', '_');
    return name;
}

bool acceptsFlag(const Command &command, std::string_view name)
{
    const auto contains = [name](const auto &list) {
        return std::find(list.begin(), list.end(), name) != list.end();
    };
    if (contains(command.flags) || contains(CommonFlags))
        return true;
    constexpr std::string_view Negation = "no";
    return name.substr(0, Negation.size()) == Negation && contains(command.flags) == false
        && std::find(command.flags.begin(), command.flags.end(), name.substr(Negation.size()))
        != command.flags.end();
}

int rejectFlag(const Command &command, const std::string &name)
{
    std::fprintf(stderr,
                 "dogwoodvalve: '%s' takes no flag --%s; 'dogwoodvalve %s --help' lists its "
                 "flags\n",
                 std::string(command.name).c_str(), name.c_str(),
                 std::string(command.name).c_str());
    return static_cast<int>(ExitCode::Invalid);
}

} // namespace

std::span<const Command> commands()
{
    return commandTable();
}

int runCommandLine(int argc, char **argv)
{
    const std::string_view name = argc > 1 ? argv[1] : "";
    const auto it = std::find_if(commandTable().begin(), commandTable().end(),
                                 [name](const Command &command) { return command.name == name; });
    if (it == commandTable().end()) {
        const bool helpRequested = name == "--help" || name == "help";
        printOverview(helpRequested ? stdout : stderr);
        return static_cast<int>(helpRequested ? ExitCode::Done : ExitCode::Invalid);
    }
    for (int i = 2; i < argc; ++i) {
        const std::string_view word = argv[i];
        if (word == "--help" || word == "-h") {
            printHelp(*it);
            return static_cast<int>(ExitCode::Done);
        }
        const bool isFlag = word.size() > 1 && word.front() == '-';
        if (isFlag && !acceptsFlag(*it, flagName(word)))
            return rejectFlag(*it, flagName(word));
    }
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const Arguments arguments(argv + 2, argv + argc);
    if (std::string output;
        gflags::GetCommandLineOption("output", &output) && output != "text" && output != "json")
        return static_cast<int>(
            reportError({ErrorKind::InvalidArgument, "unknown output '" + output + "'",
                         "use --output text or --output json"}));
    return static_cast<int>(it->run(arguments));
}

} // namespace dogwoodvalve
