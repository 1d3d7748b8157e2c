// Runs the body of a program and reports its exceptions, for the main functions of the programs in src/testsuite.
#pragma once

#include <exception>
#include <iostream>
#include <string_view>

namespace pimentomoor {

/// Runs `body` and returns its exit code. Prints an exception to standard error and returns 1.
template <typename Body>
int RunProgram(std::string_view name, Body body) {
  try {
    return body();
  } catch (const std::exception& error) {
    std::cerr << name << ": " << error.what() << "\n";
    return 1;
  }
}

}  // namespace pimentomoor
