// The same call to several daemons at once, for subcommands that show what daemons tell.
#pragma once

#include <string>
#include <vector>

#include "command_line.h"
#include "pimentomoor/clock.h"
#include "pimentomoor/http.h"

namespace pimentomoor {

/// Options of a subcommand that asks daemons.
class DaemonOptions {
 public:
  explicit DaemonOptions(TCLAP::CmdLine& line);

  /// Throws UsageError that names a malformed address.
  [[nodiscard]] std::vector<std::string> Daemons() const;
  [[nodiscard]] Duration Timeout() const { return std::chrono::milliseconds(timeout_ms_.getValue()); }

 private:
  TCLAP::MultiArg<std::string> daemons_;
  TCLAP::ValueArg<std::uint32_t> timeout_ms_;
};

/// The results of a GET of `path` at each daemon, in their order. A daemon that does not answer within `timeout` has
/// a failure.
std::vector<HttpResult> FetchAll(const std::vector<std::string>& daemons, const std::string& path, Duration timeout);

/// The body of a success. Throws std::runtime_error that tells why there is none.
const std::string& RequireBody(const HttpResult& result);

}  // namespace pimentomoor
