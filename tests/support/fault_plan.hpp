/// \file
/// Choice of random faults.

#ifndef EGRETSPINDLE_TESTS_SUPPORT_FAULT_PLAN_HPP
#define EGRETSPINDLE_TESTS_SUPPORT_FAULT_PLAN_HPP

#include "support/cluster.hpp"

#include <chrono>
#include <functional>
#include <random>
#include <string>

namespace egretspindle::test
{

/// A fault that can be injected and removed once.
struct fault
{
    std::string text;
    std::string component; ///< component that has at most one fault at a time
    std::chrono::milliseconds length{0};
    std::function<void()> inject;
    std::function<void()> remove;
};

/// Chooses a fault: a killed, paused or restarted entry host; a killed,
/// paused, failing, slow, leaving or unreachable target; slow or cut links;
/// a data centre that is cut off; a store that is down, slow or loses answers.
[[nodiscard]] fault choose_fault(std::mt19937& random, cluster& nodes);

} // namespace egretspindle::test

#endif
