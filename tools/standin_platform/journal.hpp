/// \file
/// Journal of the targets.

#ifndef EGRETSPINDLE_TOOLS_STANDIN_PLATFORM_JOURNAL_HPP
#define EGRETSPINDLE_TOOLS_STANDIN_PLATFORM_JOURNAL_HPP

#include "egretspindle/codec/json.hpp"

#include "common/line_file.hpp"
#include "common/platform_event.hpp"

#include <mutex>
#include <string>

namespace egretspindle::standin
{

/// Appends events to a file; usable from several threads.
class journal
{
public:
    explicit journal(const std::string& path) : file_(path) {}

    void write(const platform_event& event)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        file_.append(to_json(event));
    }

private:
    std::mutex mutex_;
    line_file file_;
};

} // namespace egretspindle::standin

#endif
