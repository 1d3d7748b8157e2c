// Merge of the rows of a whole message, as an owner does it answer by answer.
#pragma once

#include <cstddef>
#include <utility>

#include "pimentomoor/row_merge.h"

namespace pimentomoor {

inline void MergeAnswers(proto::SubAnswers& answers, std::size_t limit) {
  BestRows best(limit);
  for (auto& answer : *answers.mutable_items()) {
    const auto rows = std::exchange(*answer.mutable_rows(), {});
    AddRows(rows, best, answer);
  }
  DropOutrankedRows(answers, best);
}

}  // namespace pimentomoor
