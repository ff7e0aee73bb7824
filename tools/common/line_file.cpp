#include "line_file.hpp"

#include <fmt/format.h>

#include <cstdlib>
#include <fcntl.h>
#include <unistd.h>

namespace egretspindle::standin
{

line_file::line_file(const std::string& path)
{
    if (path.empty())
    {
        return;
    }
    fd_ = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (fd_ < 0)
    {
        fmt::print(stderr, "cannot append to {}; choose a writable file\n",
                   path);
        std::exit(2);
    }
}

line_file::~line_file()
{
    if (fd_ >= 0)
    {
        close(fd_);
    }
}

void line_file::append(std::string_view line)
{
    if (fd_ < 0)
    {
        return;
    }
    std::string text(line);
    text += '\n';
    if (write(fd_, text.data(), text.size()) !=
        static_cast<ssize_t>(text.size()))
    {
        // A journal with gaps would make a test pass wrongly.
        std::abort();
    }
}

} // namespace egretspindle::standin
