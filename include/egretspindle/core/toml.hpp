/// \file
/// Includes toml++ with assertions that throw. Include this header in place of
/// `toml++/toml.h`, and only in source files: the inline functions of toml++
/// must be the same in the whole program (one-definition rule).
///
/// toml++ 3.3 validates parts of its input by assertions: a table header such
/// as `[=x]` aborts the process, or is undefined behaviour with `NDEBUG`. The
/// assertions therefore stay enabled in release builds.

#ifndef EGRETSPINDLE_CORE_TOML_HPP
#define EGRETSPINDLE_CORE_TOML_HPP

#ifdef TOML_ASSERT
#error "include egretspindle/core/toml.hpp in place of toml++/toml.h"
#endif

namespace egretspindle
{

/// Throws `toml::parse_error` when an assertion of toml++ fails.
[[noreturn]] void fail_toml_assertion(const char* condition);

} // namespace egretspindle

#define TOML_ASSERT(expr)                                                      \
    ((expr) ? static_cast<void>(0) : ::egretspindle::fail_toml_assertion(#expr))

// With NDEBUG the library would assume that the assertions hold.
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
