#pragma once

#include <cstdint>
#include <string>

namespace pomelorouter::tools
{

/// Text of one token: a function of prompt and index, so that any engine makes the same
/// text.
std::string token_text(const std::string& prompt, std::int64_t index);

} // namespace pomelorouter::tools
