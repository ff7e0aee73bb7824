/// \file
/// Request to place one attempt of a task.

#ifndef EGRETSPINDLE_PLACEMENT_TASK_REQUEST_HPP
#define EGRETSPINDLE_PLACEMENT_TASK_REQUEST_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/core/request_spec.hpp"
#include "egretspindle/core/resources.hpp"

#include <optional>
#include <string>
#include <vector>

namespace egretspindle
{

/// Properties of a request that the placement decision needs.
struct task_request
{
    std::string key;
    int attempt = 1;
    std::string kind;
    std::string team;
    bool urgent = false;
    bool checkpointable = false;
    resources size;                     ///< declared
    double expected_ms = 0;             ///< declared; 0 if not known
    std::optional<time_point> deadline; ///< absent if there is none
    std::vector<std::string> excluded;  ///< targets that must not be used
    /// Whether batch tasks may be evicted or the request queued. If false, the
    /// decision is `place` or `reject` at once, so that a coordinator can try
    /// another rack first: a network hop of milliseconds is cheaper than an
    /// eviction.
    bool may_evict = true;
};

/// Makes the placement request for an attempt.
///
/// \param spec      request of the caller
/// \param attempt   number of the attempt
/// \param deadline  when the answer is due
[[nodiscard]] task_request
make_task_request(const request_spec& spec, int attempt,
                  std::optional<time_point> deadline);

} // namespace egretspindle

#endif
