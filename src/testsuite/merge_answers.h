// Merge of the rows of a message from an owner, for tests and measurements of the entry.
#pragma once

#include <cstddef>
#include <utility>

#include "pimentomoor/row_merge.h"

namespace pimentomoor {

/// Drops and counts the rows of the message that can't be among the `limit` best, as an owner does while it adds one
/// answer after another to the message.
inline void MergeAnswers(proto::SubAnswers& answers, std::size_t limit) {
  BestRows best(limit);
  for (auto& answer : *answers.mutable_items()) {
    const auto rows = std::exchange(*answer.mutable_rows(), {});
    AddRows(rows, best, answer);
  }
  DropOutrankedRows(answers, best);
}

}  // namespace pimentomoor
