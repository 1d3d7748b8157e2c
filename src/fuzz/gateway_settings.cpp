// Fuzz target: settings of a gateway. The parser may throw no exception but ConfigError, and must return values
// within their ranges.
#include "pimentomoor/gateway_settings.h"

#include "fuzz_target.h"
#include "pimentomoor/strict_yaml.h"

namespace pimentomoor::fuzz {

namespace {

void ParseAndCheckSettings(std::string_view text) {
  try {
    const GatewaySettings settings = ParseGatewaySettings(text, "input");
    Check(!settings.host.empty() && !settings.failure_domain.empty(), "the host is named");
    // NaN compares false with every bound, so it violates these checks.
    Check(settings.retry.ratio >= 0 && settings.retry.ratio <= 10, "ratio is in range");
    Check(settings.retry.allowance >= 0 && settings.retry.allowance <= 1e6, "allowance is in range");
    Check(settings.retry.window >= std::chrono::seconds(1), "window_s is in range");
    Check(settings.cold_upstreams.rate_factor >= 0 && settings.cold_upstreams.rate_factor <= 100,
          "rate_factor is in range");
    Check(settings.cold_upstreams.slack >= 0 && settings.cold_upstreams.slack <= 1e6, "slack is in range");
    Check(settings.drain_timeout >= std::chrono::seconds(1) && settings.drain_timeout <= std::chrono::hours(1),
          "drain_timeout_s is in range");
    Check(settings.entry_ttl >= std::chrono::seconds(1), "entry_ttl_s is in range");
  } catch (const ConfigError&) {  // expected for most inputs
  }
}

}  // namespace

}  // namespace pimentomoor::fuzz

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes, std::size_t size) {
  pimentomoor::fuzz::ParseAndCheckSettings({reinterpret_cast<const char*>(bytes), size});
  return 0;
}
