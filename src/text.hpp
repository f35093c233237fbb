/// String helpers. Debian builds Abseil with its own absl::string_view, to
/// which std::string_view does not convert implicitly.
#pragma once

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace arbutusgate {

inline absl::string_view to_absl(std::string_view it)
{
    return {it.data(), it.size()};
}

template <class T>
const T& to_absl(const T& it)
{
    return it;
}

/// absl::StrCat that also takes std::string_view.
template <class... Args>
std::string concat(const Args&... args)
{
    return absl::StrCat(to_absl(args)...);
}

/// 16 hexadecimal digits.
inline std::string to_hex(std::uint64_t n)
{
    return absl::StrCat(absl::Hex(n, absl::kZeroPad16));
}

} // namespace arbutusgate
