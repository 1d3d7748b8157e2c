// Implementation of the line fit and of both output formats.
#include "bench_report.h"

#include <algorithm>
#include <cmath>
#include <sstream>

#include "pimentomoor/json_text.h"

namespace pimentomoor {
namespace {

std::string FormatNumber(double value) {
  std::ostringstream text;
  text.precision(4);
  if (std::abs(value) >= 10'000) {
    text << std::fixed;
    text.precision(0);
  }
  text << value;
  return text.str();
}

std::string FormatPoints(const std::vector<BenchPoint>& points) {
  std::string text;
  for (const BenchPoint& point : points) {
    text += (text.empty() ? "" : ", ") + FormatNumber(point.size) + ": " + FormatNumber(point.value);
  }
  return text;
}

std::string FigureJson(const BenchFigure& figure) {
  const LineFit fit = FitLine(figure.points);
  std::ostringstream out;
  out << "{\"part\":" << JsonQuote(figure.part) << ",\"name\":" << JsonQuote(figure.name)
      << ",\"sizes\":" << JsonQuote(figure.size_unit) << ",\"slope\":" << fit.slope
      << ",\"intercept\":" << fit.intercept << ",\"largest_residual\":" << fit.largest_residual << ",\"points\":[";
  for (std::size_t i = 0; i < figure.points.size(); ++i) {
    out << (i == 0 ? "" : ",") << "[" << figure.points[i].size << "," << figure.points[i].value << "]";
  }
  out << "]}";
  return out.str();
}

}  // namespace

LineFit FitLine(const std::vector<BenchPoint>& points) {
  LineFit fit;
  if (points.empty()) {
    return fit;
  }
  const auto count = static_cast<double>(points.size());
  double mean_size = 0;
  double mean_value = 0;
  for (const BenchPoint& point : points) {
    mean_size += point.size / count;
    mean_value += point.value / count;
  }
  double products = 0;
  double squares = 0;
  for (const BenchPoint& point : points) {
    products += (point.size - mean_size) * (point.value - mean_value);
    squares += (point.size - mean_size) * (point.size - mean_size);
  }
  fit.slope = squares > 0 ? products / squares : 0;
  fit.intercept = mean_value - fit.slope * mean_size;
  for (const BenchPoint& point : points) {
    fit.largest_residual =
        std::max(fit.largest_residual, std::abs(point.value - fit.intercept - fit.slope * point.size));
  }
  return fit;
}

std::string ReportMarkdown(const BenchReport& report) {
  std::string out =
      "| part | figure | per | slope | intercept | largest residual | points (size: value) |\n"
      "|---|---|---|---|---|---|---|\n";
  for (const BenchFigure& figure : report.figures) {
    const LineFit fit = FitLine(figure.points);
    out += "| " + figure.part + " | " + figure.name + " | " + figure.size_unit + " | " + FormatNumber(fit.slope) +
           " | " + FormatNumber(fit.intercept) + " | " + FormatNumber(fit.largest_residual) + " | " +
           FormatPoints(figure.points) + " |\n";
  }
  out += "\n";
  for (const std::string& note : report.notes) {
    out += "- " + note + "\n";
  }
  return out;
}

std::string ReportJson(const BenchReport& report) {
  std::string out = "{\"figures\":[";
  for (std::size_t i = 0; i < report.figures.size(); ++i) {
    out += (i == 0 ? "\n" : ",\n") + FigureJson(report.figures[i]);
  }
  out += "],\n\"notes\":[";
  for (std::size_t i = 0; i < report.notes.size(); ++i) {
    out += (i == 0 ? "\n" : ",\n") + JsonQuote(report.notes[i]);
  }
  return out + "]}\n";
}

}  // namespace pimentomoor
