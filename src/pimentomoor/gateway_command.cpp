// Subcommand `gateway`: runs one gateway daemon on the users' platform until SIGTERM or SIGINT.
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

constexpr Duration kSettingsCheckInterval = std::chrono::seconds(3);
constexpr const char* kSettingsVariable = "PIMENTOMOOR_SETTINGS";

// Reads the settings again on SIGHUP and when the file has changed; wrong ones leave those in force.
class SettingsWatch {
 public:
  SettingsWatch(EventLoop& loop, Gateway& gateway, std::string file)
      : loop_(loop), gateway_(gateway), file_(std::move(file)), changed_(LastChange()) {
    Check();
  }

  void Reload() {
    try {
      gateway_.ApplySettings(ParseGatewaySettings(ReadTextFile(file_, kMaxObjectBytes), file_));
    } catch (const std::exception& error) {
      LogError("settings refused", {{"error", error.what()}});
    }
  }

 private:
  [[nodiscard]] std::pair<std::int64_t, std::int64_t> LastChange() const {
    struct stat status {};
    return stat(file_.c_str(), &status) == 0
               ? std::pair<std::int64_t, std::int64_t>(status.st_mtim.tv_sec, status.st_mtim.tv_nsec)
               : std::pair<std::int64_t, std::int64_t>(0, 0);
  }

  void Check() {
    if (const auto changed = LastChange(); changed != changed_) {
      changed_ = changed;
      Reload();
    }
    loop_.CallAfter(kSettingsCheckInterval, [this] { Check(); });
  }

  EventLoop& loop_;
  Gateway& gateway_;
  std::string file_;
  std::pair<std::int64_t, std::int64_t> changed_;  // seconds and nanoseconds of the file's last change
};

std::string SettingsFile(const std::string& option) {
  if (!option.empty()) {
    return option;
  }
  const char* file = std::getenv(kSettingsVariable);
  if (file == nullptr) {
    throw std::invalid_argument(std::string("find settings: neither --settings nor ") + kSettingsVariable +
                                " is set");
  }
  return file;
}

int RunGateway(const std::vector<std::string>& args) {
  return RunCommand(args[0], [&] {
    TCLAP::CmdLine line("Runs one gateway daemon until SIGTERM or SIGINT", ' ', "", true);
    TCLAP::ValueArg<std::string> option(
        "s", "settings",
        std::string("Settings file in YAML; without it the file that ") + kSettingsVariable + " names", false, "",
        "FILE", line);
    ParseCommandLine(line, args);
    const std::string file = SettingsFile(option.getValue());
    const SystemClock clock;
    EventLoop loop(clock);
    std::optional<Gateway> gateway;
    std::optional<SettingsWatch> watch;
    // Set before the settings are read: from here on a stop waits until the loop runs, and is a graceful one.
    loop.OnTerminate([&] { gateway->Stop([&] { loop.Stop(); }); });
    loop.OnHangup([&] { watch->Reload(); });
    GatewaySettings settings = ParseGatewaySettings(ReadTextFile(file, kMaxObjectBytes), file);
    InitLogging(settings.log_level);
    const auto codec = MakePlatformCodec();
    gateway.emplace(loop, std::move(settings), *codec);
    watch.emplace(loop, *gateway, file);
    gateway->Start();
    loop.Run();
    return 0;
  });
}

const RegisterFileCheck kGatewaySettings("gateway",
                                         [](auto text, auto source) { ParseGatewaySettings(text, source); });
const RegisterCommand kGateway({.name = "gateway", .summary = "run one gateway daemon", .run = RunGateway});

}  // namespace

}  // namespace pimentomoor
