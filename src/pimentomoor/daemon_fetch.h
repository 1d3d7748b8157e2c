// The same GET call to several daemons at once, for subcommands that show the state of daemons.
#pragma once

#include <string>
#include <vector>

#include "command_line.h"
#include "pimentomoor/clock.h"
#include "pimentomoor/http.h"

namespace pimentomoor {

/// Options that name the daemons to call and the timeout.
class DaemonOptions {
 public:
  explicit DaemonOptions(TCLAP::CmdLine& line);

  /// HTTP addresses of the daemons, "IP:port". Throws UsageError that names a malformed address.
  [[nodiscard]] std::vector<std::string> Daemons() const;
  [[nodiscard]] Duration Timeout() const { return std::chrono::milliseconds(timeout_ms_.getValue()); }

 private:
  TCLAP::MultiArg<std::string> daemons_;
  TCLAP::ValueArg<std::uint32_t> timeout_ms_;
};

/// Sends GET `path` to each daemon and returns the results in the order of `daemons`. The result of a daemon that
/// does not answer within `timeout` is a failure.
std::vector<HttpResult> FetchFromDaemons(const std::vector<std::string>& daemons, const std::string& path,
                                         Duration timeout);

/// Body of a successful result. Throws std::runtime_error that names the error or the status otherwise.
const std::string& RequireBody(const HttpResult& result);

}  // namespace pimentomoor
