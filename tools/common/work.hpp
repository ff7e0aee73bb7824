/// \file
/// Simulated work that the body of a request describes.

#ifndef EGRETSPINDLE_TOOLS_COMMON_WORK_HPP
#define EGRETSPINDLE_TOOLS_COMMON_WORK_HPP

#include <string>
#include <string_view>

namespace egretspindle::standin
{

/// Work, resource usage and answer of a simulated task.
struct work
{
    double work_ms = 5;     ///< run time when alone on the target
    double cpu = 1.0;       ///< cores used
    double memory_mb = 100; ///< memory used
    bool fail = false;      ///< ends with an error
    long answer_bytes = 0;  ///< size of the payload in the answer
    bool is_echo = false;   ///< the body describes no work and is echoed
};

/// Visits the fields of `work` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const work* /*tag*/)
{
    visit("work_ms", value.work_ms);
    visit("cpu", value.cpu);
    visit("memory_mb", value.memory_mb);
    visit("fail", value.fail);
    visit("answer_bytes", value.answer_bytes);
}

/// Reads the work from a request's body. A body that is not a JSON object of
/// this form is echoed after 5 ms.
[[nodiscard]] work parse_work(std::string_view body);

/// Returns the answer of a task: `key|digest|payload|end`, so that a reader can
/// check that it is complete and belongs to this key and body.
[[nodiscard]] std::string answer_of(std::string_view key,
                                    std::string_view body);

} // namespace egretspindle::standin

#endif
