/// \file
/// toml++ with assertions that throw. Include only in source files, always in
/// place of `toml++/toml.h`, since its inline functions must be the same in
/// the whole program.
///
/// toml++ 3.3 asserts properties of its input: a header such as `[=x]` ends
/// the process, or is undefined behaviour with `NDEBUG`. The assertions are
/// kept in release builds as well.

#ifndef EGRETSPINDLE_CORE_TOML_HPP
#define EGRETSPINDLE_CORE_TOML_HPP

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

// With NDEBUG the library would drop the assertions and assume that they hold.
#pragma push_macro("NDEBUG")
#undef NDEBUG
#include <toml++/toml.h>
#pragma pop_macro("NDEBUG")

inline void egretspindle::fail_toml_assertion(const char* /*condition*/)
{
    throw toml::parse_error("a table header or key is malformed",
                            toml::source_region{});
}

#endif
