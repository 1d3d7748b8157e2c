// Subcommand `serve`: runs one daemon until SIGTERM or SIGINT.
#include <optional>

#include "check_command.h"
#include "command_line.h"
#include "pimentomoor/command_registry.h"
#include "pimentomoor/daemon.h"
#include "pimentomoor/log.h"
#include "pimentomoor/platform_client.h"

namespace pimentomoor {

namespace {

int RunServe(const std::vector<std::string>& args) {
  return RunCommand(args[0], [&] {
    TCLAP::CmdLine line("Runs one daemon until SIGTERM or SIGINT", ' ', "", true);
    TCLAP::ValueArg<std::string> settings_file("s", "settings", "Settings file in YAML", true, "", "FILE", line);
    ParseCommandLine(line, args);
    const SystemClock clock;
    EventLoop loop(clock);
    std::optional<Daemon> daemon;
    // Registered before the settings are read, so that a signal that arrives from here on leads to a graceful stop as
    // soon as the loop runs.
    loop.OnTerminate([&] { daemon->Stop([&] { loop.Stop(); }); });
    Settings settings =
        ParseSettings(ReadTextFile(settings_file.getValue(), kMaxObjectBytes), settings_file.getValue());
    InitLogging(settings.log_level);
    daemon.emplace(loop, std::move(settings));
    daemon->Start();
    loop.Run();
    return 0;
  });
}

const RegisterFileCheck kSettingsCheck("settings", [](auto text, auto source) { ParseSettings(text, source); });
const RegisterCommand kServeCommand({.name = "serve", .summary = "run one daemon", .run = RunServe});

}  // namespace

}  // namespace pimentomoor
