/// \file
/// Append-only file of lines.

#ifndef EGRETSPINDLE_TOOLS_COMMON_LINE_FILE_HPP
#define EGRETSPINDLE_TOOLS_COMMON_LINE_FILE_HPP

#include <string>
#include <string_view>

namespace egretspindle::standin
{

/// Appends lines with one write each, so that a killed process leaves no
/// partial line behind. Without a path it discards them.
class line_file
{
public:
    explicit line_file(const std::string& path);
    ~line_file();
    line_file(const line_file&) = delete;
    line_file& operator=(const line_file&) = delete;

    /// Appends a line. Calls have to be serialized by the caller.
    void append(std::string_view line);

    /// Returns whether lines are kept.
    [[nodiscard]] bool is_open() const noexcept
    {
        return fd_ >= 0;
    }

private:
    int fd_ = -1;
};

} // namespace egretspindle::standin

#endif
