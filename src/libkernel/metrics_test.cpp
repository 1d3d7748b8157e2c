// Tests of the metrics and their rendering as text.
#include "pimentomoor/metrics.h"

#include <CppUTest/TestHarness.h>

namespace pimentomoor {

TEST_GROUP(Metrics){};

// Guards against text that a Prometheus scraper can't parse: labels outside braces, or a second TYPE line for a name.
TEST(Metrics, RendersCountersGaugesAndSummaries) {
  Metrics metrics;
  metrics.Count("pimentomoor_test_total", 2, "reason=\"a\"");
  metrics.Count("pimentomoor_test_total", 1, "reason=\"b\"");
  metrics.SetGauge("pimentomoor_test_members", 6);
  for (int i = 1; i <= 1'000; ++i) {
    metrics.Observe("pimentomoor_test_seconds", std::chrono::milliseconds(i));
  }
  const std::string text = metrics.Render();
  STRCMP_CONTAINS("# TYPE pimentomoor_test_total counter\npimentomoor_test_total{reason=\"a\"} 2\n", text.c_str());
  STRCMP_CONTAINS("pimentomoor_test_members 6\n", text.c_str());
  STRCMP_CONTAINS("pimentomoor_test_seconds_count 1000\n", text.c_str());
  STRCMP_CONTAINS("pimentomoor_test_seconds{quantile=\"0.99\"} ", text.c_str());
}

}  // namespace pimentomoor
