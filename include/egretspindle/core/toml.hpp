/// \file
/// toml++ with assertions that throw. Include only in source files, always in
/// place of `toml++/toml.h`, since its inline functions must be the same in
/// the whole program.
///
/// toml++ 3.3 asserts properties of its input: a header such as `[=x]` ends
/// the process, or is undefined behaviour with `NDEBUG`.

#ifndef EGRETSPINDLE_CORE_TOML_HPP
#define EGRETSPINDLE_CORE_TOML_HPP

#ifdef NDEBUG
#error "toml++ needs its assertions on malformed input; build without NDEBUG"
#endif
#ifdef TOML_ASSERT
#error "include egretspindle/core/toml.hpp in place of toml++/toml.h"
#endif

namespace egretspindle
{

/// Throws `toml::parse_error` where toml++ asserts a property of its input.
[[noreturn]] void fail_toml_assertion(const char* condition);

} // namespace egretspindle

#define TOML_ASSERT(expr)                                                      \
    ((expr) ? static_cast<void>(0) : ::egretspindle::fail_toml_assertion(#expr))

#include <toml++/toml.h>

inline void egretspindle::fail_toml_assertion(const char* /*condition*/)
{
    throw toml::parse_error("a table header or key is malformed",
                            toml::source_region{});
}

#endif
