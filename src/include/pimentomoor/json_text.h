// Quoting of strings for JSON documents that are written without a JSON library.
#pragma once

#include <string>
#include <string_view>

namespace pimentomoor {

/// Returns `text` as a quoted JSON string. Control characters become spaces; bytes above 0x7f are copied unchanged.
std::string JsonQuote(std::string_view text);

}  // namespace pimentomoor
