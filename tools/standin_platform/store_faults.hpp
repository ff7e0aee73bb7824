/// \file
/// Faults of the store towards one caller.

#ifndef EGRETSPINDLE_TOOLS_STANDIN_PLATFORM_STORE_FAULTS_HPP
#define EGRETSPINDLE_TOOLS_STANDIN_PLATFORM_STORE_FAULTS_HPP

#include <chrono>
#include <string>

namespace egretspindle::standin
{

/// How the store treats the calls of one caller.
enum class store_mode
{
    pass,
    unavailable,  ///< 503, nothing is done
    overloaded,   ///< 429, nothing is done
    slow,         ///< each call takes `delay` longer
    silent,       ///< no response, nothing is done
    lose_answers, ///< writes take effect and get no response
    late_writes,  ///< writes get no response and take effect `delay` later
};

/// Faults of the store towards one caller. Calls of the modes that give no
/// response hold their connection open.
struct store_faults
{
    store_mode mode = store_mode::pass;
    std::chrono::milliseconds delay{0};
};

/// Returns the mode of a name; `pass` for an unknown one.
[[nodiscard]] inline store_mode store_mode_from(const std::string& name)
{
    const std::pair<const char*, store_mode> names[] = {
        {"unavailable", store_mode::unavailable},
        {"overloaded", store_mode::overloaded},
        {"slow", store_mode::slow},
        {"silent", store_mode::silent},
        {"lose_answers", store_mode::lose_answers},
        {"late_writes", store_mode::late_writes}};
    for (const auto& [text, mode] : names)
    {
        if (name == text)
        {
            return mode;
        }
    }
    return store_mode::pass;
}

} // namespace egretspindle::standin

#endif
