// Implementation of the health reader: one read per draining upstream and period, up to a limit.
#include "pimentomoor/health_reader.h"

#include <algorithm>
#include <charconv>

#include "pimentomoor/strict_yaml.h"

namespace pimentomoor {

namespace {

constexpr std::size_t kMaxHealthBytes = 4'096;
constexpr std::size_t kMaxIncarnationDigits = 20;  // digits of the largest 64-bit number

}  // namespace

std::uint64_t ParseHealthIncarnation(std::string_view body) {
  try {
    const YamlNode root = ParseStrictYaml(body, "health");  // JSON is a subset of YAML
    YamlMapReader reader(root, "health", "");
    const std::string text = reader.OptionalText("incarnation", kMaxIncarnationDigits);
    std::uint64_t incarnation = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), incarnation);
    return error == std::errc() && end == text.data() + text.size() ? incarnation : 0;
  } catch (const ConfigError&) {
    return 0;
  }
}

HealthReader::HealthReader(EventLoop& loop, HttpClient& http, HealthReaderOptions options, HealthReaderHooks hooks)
    : loop_(loop), http_(http), options_(options), hooks_(std::move(hooks)) {
  timer_ = loop_.CallAfter(options_.period, [this] { StartReads(); });
}

HealthReader::~HealthReader() {
  *alive_ = false;
  loop_.Cancel(timer_);
}

void HealthReader::StartReads() {
  timer_ = loop_.CallAfter(options_.period, [this] { StartReads(); });
  std::vector<std::string> upstreams = hooks_.draining_upstreams();
  std::sort(upstreams.begin(), upstreams.end());
  // Starts behind the upstream that was read last, so that all get their turn when there are more than one period may
  // read.
  std::rotate(upstreams.begin(), std::upper_bound(upstreams.begin(), upstreams.end(), last_read_upstream_),
              upstreams.end());
  for (const auto& upstream : upstreams) {
    if (running_reads_.size() >= options_.max_concurrent_reads) {
      return;
    }
    if (running_reads_.insert(upstream).second) {
      last_read_upstream_ = upstream;
      ReadHealth(upstream);
    }
  }
}

void HealthReader::ReadHealth(const std::string& upstream) {
  http_.Call(
      {.target = upstream, .path = "/health", .timeout = options_.timeout, .max_response_bytes = kMaxHealthBytes},
      [this, alive = alive_, upstream](const HttpResult& result) {
        if (!*alive) {
          return;
        }
        running_reads_.erase(upstream);
        const std::uint64_t incarnation = result.ok() ? ParseHealthIncarnation(result.body) : 0;
        if (incarnation != 0) {
          hooks_.report_incarnation(upstream, incarnation);
        }
      });
}

}  // namespace pimentomoor
