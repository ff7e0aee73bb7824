/// \file
/// Temporary directory of a test.

#ifndef EGRETSPINDLE_TESTS_SUPPORT_TEMPORARY_DIRECTORY_HPP
#define EGRETSPINDLE_TESTS_SUPPORT_TEMPORARY_DIRECTORY_HPP

#include <string>

namespace egretspindle::test
{

/// Creates a directory and removes it in the destructor, unless
/// EGRETSPINDLE_KEEP_LOGS is set.
class temporary_directory
{
public:
    temporary_directory();
    ~temporary_directory();
    temporary_directory(const temporary_directory&) = delete;
    temporary_directory& operator=(const temporary_directory&) = delete;

    /// Returns the path of a file in the directory.
    [[nodiscard]] std::string file(const std::string& name) const
    {
        return path_ + "/" + name;
    }

    [[nodiscard]] const std::string& path() const noexcept
    {
        return path_;
    }

private:
    std::string path_;
};

/// Writes a whole file.
void write_file(const std::string& path, const std::string& text);

/// Returns the content of a file, or an empty text when it cannot be read.
[[nodiscard]] std::string read_file(const std::string& path);

} // namespace egretspindle::test

#endif
