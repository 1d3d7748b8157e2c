// Implementation of the calls to several daemons.
#include "daemon_fetch.h"

#include <stdexcept>
#include <utility>

#include "list_change.h"

namespace pimentomoor {

DaemonOptions::DaemonOptions(TCLAP::CmdLine& line)
    : daemons_("", "daemon", "HTTP address of a daemon; repeat for more", true, "IP:port", line),
      timeout_ms_("", "timeout-ms", "Longest time to wait for the daemons; default 2000", false, 2'000,
                  "milliseconds", line) {}

std::vector<std::string> DaemonOptions::Daemons() const {
  CheckAddresses("--daemon", daemons_.getValue());
  return daemons_.getValue();
}

std::vector<HttpResult> FetchFromDaemons(const std::vector<std::string>& daemons, const std::string& path,
                                         Duration timeout) {
  const SystemClock clock;
  EventLoop loop(clock);
  HttpClient http(loop);
  std::vector<HttpResult> results(daemons.size(), {.failure = HttpFailure::kTimeout, .error = "timeout"});
  std::size_t finished_calls = 0;
  for (std::size_t i = 0; i < daemons.size(); ++i) {
    http.Call({.target = daemons[i], .path = path, .timeout = timeout}, [&, i](HttpResult result) {
      results[i] = std::move(result);
      ++finished_calls;
    });
  }
  loop.RunUntil([&] { return finished_calls == daemons.size(); }, timeout + std::chrono::seconds(1));
  return results;
}

const std::string& RequireBody(const HttpResult& result) {
  if (!result.ok()) {
    throw std::runtime_error(result.error.empty() ? "unexpected answer with status " + std::to_string(result.status)
                                                  : result.error);
  }
  return result.body;
}

}  // namespace pimentomoor
