/// \file
/// Reads the value of a series from a metrics text.

#ifndef EGRETSPINDLE_TESTS_SCHEDULER_METRIC_VALUE_HPP
#define EGRETSPINDLE_TESTS_SCHEDULER_METRIC_VALUE_HPP

#include <cstdlib>
#include <string>

namespace egretspindle
{

/// Returns the value of a series, for example `a_total{kind="b"}`, or -1 when
/// the text does not contain it.
inline double metric_value(const std::string& text, const std::string& series)
{
    const std::string prefix = "\n" + series + " ";
    const std::size_t at = text.find(prefix);
    return at == std::string::npos
               ? -1
               : std::strtod(text.c_str() + at + prefix.size(), nullptr);
}

} // namespace egretspindle

#endif
