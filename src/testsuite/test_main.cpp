// Entry point of the test runner.
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestRegistry.h>

int main(int argc, char** argv) {
  // CppUTest's leak detector is off: it reports memory that rapidcheck and log4cxx keep until the end, and its table
  // refers to memory that was allocated before this call and is freed after it. AddressSanitizer checks for leaks
  // instead.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  CommandLineTestRunner runner(argc, argv, TestRegistry::getCurrentRegistry());
  return runner.runAllTestsMain();
}
