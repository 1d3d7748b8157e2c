// Shared parts of the operator subcommands: their options, and the change of a list from the write until all daemons
// have the new version in force.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "command_line.h"
#include "pimentomoor/acceptance.h"
#include "pimentomoor/http_platform_client.h"
#include "pimentomoor/list_update.h"
#include "pimentomoor/prefixed_platform_client.h"

namespace pimentomoor {

/// Options of the subcommands that read or change a list.
class OperatorOptions {
 public:
  explicit OperatorOptions(TCLAP::CmdLine& line);

  [[nodiscard]] const std::string& Deployment() const { return deployment_.getValue(); }
  [[nodiscard]] HttpPlatformClientOptions PlatformOptions() const;
  /// HTTP addresses of daemons, "IP:port". Throws UsageError when there is none or one is malformed.
  [[nodiscard]] std::vector<std::string> Daemons() const;
  /// Stamp of a new change. Throws UsageError when the operator's name is empty or too long.
  [[nodiscard]] ChangeStamp NewStamp() const;
  [[nodiscard]] Duration Timeout() const { return std::chrono::milliseconds(timeout_ms_.getValue()); }
  /// Version on which the change must be based; 0 for any version.
  [[nodiscard]] std::uint64_t ExpectedVersion() const { return expected_version_.getValue(); }

 private:
  TCLAP::ValueArg<std::string> deployment_;
  TCLAP::MultiArg<std::string> platforms_;
  TCLAP::MultiArg<std::string> daemons_;
  TCLAP::ValueArg<std::string> operator_name_;
  TCLAP::ValueArg<std::uint64_t> expected_version_;
  TCLAP::ValueArg<std::uint32_t> timeout_ms_;
};

/// Event loop and clients of one run of an operator subcommand. `options` must outlive the session.
class OperatorSession {
 public:
  explicit OperatorSession(const OperatorOptions& options);

  /// Reads the object at `key`; its version is 0 when it does not exist. Throws std::runtime_error when the platform
  /// does not answer in time or answers with an error.
  PlatformObject Read(const std::string& key);

  /// Changes the object at `key` with `edit` (see ListUpdateOptions), then waits until the new version is in force on
  /// all members or the timeout has passed. Prints the progress to standard output and returns the exit code, which
  /// is 0 when a majority of each cell has the version in force or there is nothing to change. Throws
  /// std::runtime_error when nothing was written or the outcome is unknown.
  int Change(const std::string& key, std::function<std::optional<std::string>(const PlatformObject& current)> edit);

 private:
  int WaitUntilInForce(const PlatformObject& object);
  void ReportTimeout(const std::string& version_text, const AcceptanceMonitor& monitor) const;

  const OperatorOptions& options_;
  SystemClock clock_;
  EventLoop loop_{clock_};
  HttpClient http_{loop_};
  HttpPlatformClient platform_;
  PrefixedPlatformClient deployment_objects_;  // adds the deployment's prefix to keys
  TimePoint deadline_;
};

/// Throws UsageError that names `option` and the first address that is not "IP:port".
void CheckAddresses(const std::string& option, const std::vector<std::string>& addresses);

}  // namespace pimentomoor
