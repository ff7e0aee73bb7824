/// \file
/// Request for a place on a rack.

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

/// What the placement decision has to know of a request.
struct task_request
{
    std::string key;
    int attempt = 1;
    std::string kind;
    std::string team;
    bool urgent = false;
    bool checkpointable = false;
    resources size;                     ///< declared
    double expected_ms = 0;             ///< declared; 0 when not known
    std::optional<time_point> deadline; ///< none when absent
    std::vector<std::string> excluded;  ///< targets not to be used
    /// Whether batch may be evicted or the request queued. Without it the
    /// decision is `place` or `reject` at once, so that a coordinator can try
    /// another rack first: a hop of milliseconds instead of an eviction.
    bool may_evict = true;
};

/// Makes the request for an attempt.
///
/// \param spec      what the caller asked for
/// \param attempt   number of the attempt
/// \param deadline  when the answer is due
[[nodiscard]] task_request
make_task_request(const request_spec& spec, int attempt,
                  std::optional<time_point> deadline);

} // namespace egretspindle

#endif
