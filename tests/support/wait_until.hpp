/// \file
/// Waiting for a condition.

#ifndef EGRETSPINDLE_TESTS_SUPPORT_WAIT_UNTIL_HPP
#define EGRETSPINDLE_TESTS_SUPPORT_WAIT_UNTIL_HPP

#include <chrono>
#include <thread>

namespace egretspindle::test
{

/// Polls a condition.
///
/// \returns whether it became true within the limit
template <typename Condition>
[[nodiscard]] bool
wait_until(Condition condition,
           std::chrono::seconds limit = std::chrono::seconds(30))
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() > end)
        {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return true;
}

} // namespace egretspindle::test

#endif
