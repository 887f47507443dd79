#pragma once

#include <cstdint>
#include <string>

namespace pomelorouter::tools
{

/// Returns the text of one token. It depends only on prompt and index, so that every
/// engine generates the same text.
std::string token_text(const std::string& prompt, std::int64_t index);

} // namespace pomelorouter::tools
