// Subcommand `gateway`: runs one gateway daemon on the users' platform until SIGTERM or SIGINT.
#include <malloc.h>
#include <sys/stat.h>

#include <cstdlib>
#include <optional>

#include "check_command.h"
#include "command_line.h"
#include "pimentomoor/command_registry.h"
#include "pimentomoor/gateway.h"
#include "pimentomoor/log.h"
#include "pimentomoor/platform_client.h"
#include "pimentomoor/strict_yaml.h"

namespace pimentomoor {

namespace {

constexpr Duration kSettingsFileCheckInterval = std::chrono::seconds(3);
constexpr const char* kSettingsPathVariable = "PIMENTOMOOR_SETTINGS";
// Larger blocks of memory, such as bodies, go back to the system when they are freed. The C library would raise this
// threshold with each one, keep the blocks, and leave gaps between them: its peak would be a multiple of what is
// held.
constexpr int kSeparateBlockBytes = 64 * 1024;

// Reads the settings file again on SIGHUP, and when its modification time has changed. Invalid settings are logged,
// and the previous ones stay in force.
class SettingsFileWatcher {
 public:
  SettingsFileWatcher(EventLoop& loop, Gateway& gateway, std::string path)
      : loop_(loop), gateway_(gateway), path_(std::move(path)), modified_at_(ModificationTime()) {
    CheckForChange();
  }

  void Reload() {
    try {
      gateway_.ApplySettings(ParseGatewaySettings(ReadTextFile(path_, kMaxObjectBytes), path_));
    } catch (const std::exception& error) {
      LogError("settings refused", {{"error", error.what()}});
    }
  }

 private:
  [[nodiscard]] std::pair<std::int64_t, std::int64_t> ModificationTime() const {
    struct stat status {};
    return stat(path_.c_str(), &status) == 0
               ? std::pair<std::int64_t, std::int64_t>(status.st_mtim.tv_sec, status.st_mtim.tv_nsec)
               : std::pair<std::int64_t, std::int64_t>(0, 0);
  }

  void CheckForChange() {
    if (const auto modified_at = ModificationTime(); modified_at != modified_at_) {
      modified_at_ = modified_at;
      Reload();
    }
    loop_.CallAfter(kSettingsFileCheckInterval, [this] { CheckForChange(); });
  }

  EventLoop& loop_;
  Gateway& gateway_;
  std::string path_;
  std::pair<std::int64_t, std::int64_t> modified_at_;  // seconds and nanoseconds; both 0 when the file is missing
};

// Path of the settings file: the option's value, or that of the environment variable when the option is missing.
std::string SettingsPath(const std::string& option) {
  if (!option.empty()) {
    return option;
  }
  const char* path = std::getenv(kSettingsPathVariable);
  if (path == nullptr) {
    throw std::invalid_argument(std::string("find settings: neither --settings nor ") + kSettingsPathVariable +
                                " is set");
  }
  return path;
}

int RunGateway(const std::vector<std::string>& args) {
  return RunCommand(args[0], [&] {
    TCLAP::CmdLine line("Runs one gateway daemon until SIGTERM or SIGINT", ' ', "", true);
    TCLAP::ValueArg<std::string> option(
        "s", "settings",
        std::string("Settings file in YAML; without it the file that ") + kSettingsPathVariable + " names", false, "",
        "FILE", line);
    ParseCommandLine(line, args);
    const std::string path = SettingsPath(option.getValue());
    mallopt(M_MMAP_THRESHOLD, kSeparateBlockBytes);
    const SystemClock clock;
    EventLoop loop(clock);
    std::optional<Gateway> gateway;
    std::optional<SettingsFileWatcher> watcher;
    // Registered before the settings are read, so that a signal that arrives from here on leads to a graceful stop as
    // soon as the loop runs.
    loop.OnTerminate([&] { gateway->Stop([&] { loop.Stop(); }); });
    loop.OnHangup([&] { watcher->Reload(); });
    GatewaySettings settings = ParseGatewaySettings(ReadTextFile(path, kMaxObjectBytes), path);
    InitLogging(settings.log_level);
    const auto codec = MakePlatformCodec();
    gateway.emplace(loop, std::move(settings), *codec);
    watcher.emplace(loop, *gateway, path);
    gateway->Start();
    loop.Run();
    return 0;
  });
}

const RegisterFileCheck kGatewaySettingsCheck("gateway",
                                              [](auto text, auto source) { ParseGatewaySettings(text, source); });
const RegisterCommand kGatewayCommand({.name = "gateway", .summary = "run one gateway daemon", .run = RunGateway});

}  // namespace

}  // namespace pimentomoor
