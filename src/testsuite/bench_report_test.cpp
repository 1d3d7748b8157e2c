// Tests of the line fit and the output of pimentomoor_bench.
#include "bench_report.h"

// CppUTest's macros come last, because they redefine names that other headers use.
#include <CppUTest/TestHarness.h>

namespace pimentomoor {

TEST_GROUP(BenchReport){};

// Guards against a slope or residual that does not belong to the points, and would make capacity estimates wrong.
TEST(BenchReport, FitsTheLeastSquaresLine) {
  const LineFit exact = FitLine({{1, 5}, {2, 7}, {4, 11}});
  DOUBLES_EQUAL(2, exact.slope, 1e-9);
  DOUBLES_EQUAL(3, exact.intercept, 1e-9);
  DOUBLES_EQUAL(0, exact.largest_residual, 1e-9);
  const LineFit bent = FitLine({{0, 0}, {1, 3}, {2, 0}});
  DOUBLES_EQUAL(0, bent.slope, 1e-9);
  DOUBLES_EQUAL(1, bent.intercept, 1e-9);
  DOUBLES_EQUAL(2, bent.largest_residual, 1e-9);
}

// Guards against a division by zero that prints as "nan" when all sizes are equal.
TEST(BenchReport, OneSizeHasNoSlope) {
  const LineFit fit = FitLine({{4, 1}, {4, 3}});
  DOUBLES_EQUAL(0, fit.slope, 1e-9);
  DOUBLES_EQUAL(2, fit.intercept, 1e-9);
}

// Guards against a figure or note that is missing from one of the two outputs.
TEST(BenchReport, BothOutputsHoldEveryFigureAndNote) {
  const BenchReport report{
      .figures = {{.part = "entry", .name = "a", .size_unit = "s", .points = {{1, 5}, {2, 7}}}, {.part = "owner"}},
      .notes = {"limit"}};
  STRCMP_CONTAINS("| entry | a | s | 2 | 3 | 0 | 1: 5, 2: 7 |", ReportMarkdown(report).c_str());
  STRCMP_CONTAINS("| owner |", ReportMarkdown(report).c_str());
  STRCMP_CONTAINS("- limit\n", ReportMarkdown(report).c_str());
  STRCMP_CONTAINS("\"points\":[[1,5],[2,7]]", ReportJson(report).c_str());
  STRCMP_CONTAINS("\"owner\"", ReportJson(report).c_str());
  STRCMP_CONTAINS("\"limit\"", ReportJson(report).c_str());
}

}  // namespace pimentomoor
