// Checks a property with rapidcheck over generated cases with a fixed seed, so that every run has the same result.
//
// rc::check() isn't used, because rapidcheck reads the variable RC_PARAMS once per process: the first test that runs
// would decide the seed and the number of cases of all later tests.
#pragma once

#include <rapidcheck.h>

#include <cstdint>
#include <iostream>
#include <string>
#include <utility>

namespace pimentomoor {

constexpr std::uint64_t kPropertySeed = 1;

/// Returns whether `testable` held for `cases` generated cases. If not, prints the smallest counterexample found.
template <typename Testable>
bool CheckProperty(int cases, const std::string& name, Testable&& testable) {
  rc::detail::TestParams params;
  params.seed = kPropertySeed;
  params.maxSuccess = cases;
  const rc::detail::TestMetadata metadata{name, name};
  const auto result = rc::detail::checkTestable(std::forward<Testable>(testable), metadata, params);
  if (result.template is<rc::detail::SuccessResult>()) {
    return true;
  }
  std::cerr << "property '" << name << "', seed " << kPropertySeed << ":\n";
  rc::detail::printResultMessage(result, std::cerr);
  std::cerr << std::endl;
  return false;
}

}  // namespace pimentomoor
