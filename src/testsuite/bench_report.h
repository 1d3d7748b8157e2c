// Figures of pimentomoor_bench: least-squares lines through measured points, as a Markdown table or JSON.
#pragma once

#include <string>
#include <vector>

namespace pimentomoor {

struct BenchPoint {
  double size = 0;
  double value = 0;
};

struct LineFit {
  double slope = 0;
  double intercept = 0;
  double largest_residual = 0;  // absolute, in the unit of the values
};

/// Returns the least-squares line through the points. Without two different sizes, its slope is 0 and its intercept
/// is the mean of the values.
LineFit FitLine(const std::vector<BenchPoint>& points);

struct BenchFigure {
  std::string part;       // for example "entry"
  std::string name;       // what was measured, with the unit of the value
  std::string size_unit;  // what the size counts; "sizes" in the JSON report
  std::vector<BenchPoint> points;
};

struct BenchReport {
  std::vector<BenchFigure> figures;
  std::vector<std::string> notes;  // checks and derived figures
};

std::string ReportMarkdown(const BenchReport& report);
std::string ReportJson(const BenchReport& report);

}  // namespace pimentomoor
