// Implementation of JSON string quoting.
#include "pimentomoor/json_text.h"

namespace pimentomoor {

std::string JsonQuote(std::string_view text) {
  std::string quoted = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      quoted += '\\';
    }
    quoted += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
  }
  return quoted + "\"";
}

}  // namespace pimentomoor
