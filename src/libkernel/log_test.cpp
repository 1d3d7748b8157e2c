// Tests of the format of log lines.
#include "pimentomoor/log.h"

// CppUTest's macros come last, because they redefine names that other headers use.
#include <CppUTest/TestHarness.h>

namespace pimentomoor {

TEST_GROUP(Log){};

// Guards against values of other programs that add lines or fields to the log, or that control a terminal.
TEST(Log, AnEventIsOneLineWhateverItsValuesHold) {
  const std::string line = FormatLogLine(
      "entry unusable",
      {{"name", "i-1\r\n2026 INFO forged=1"}, {"plain", "a-b.c"}, {"escape", "\x1b[2J\x7f"}, {"empty", ""}});
  STRCMP_EQUAL(R"(entry unusable name="i-1  2026 INFO forged=1" plain=a-b.c escape=" [2J " empty="")", line.c_str());
  STRCMP_EQUAL(R"(e quoted="a\"b\\c" nul="x y")",
               FormatLogLine("e", {{"quoted", "a\"b\\c"}, {"nul", std::string("x\0y", 3)}}).c_str());
}

}  // namespace pimentomoor
