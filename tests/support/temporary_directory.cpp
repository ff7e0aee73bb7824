#include "support/temporary_directory.hpp"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace egretspindle::test
{

temporary_directory::temporary_directory()
{
    path_ = std::filesystem::temp_directory_path() / "egretspindle-XXXXXX";
    if (mkdtemp(path_.data()) == nullptr)
    {
        throw std::runtime_error("cannot create " + path_);
    }
}

temporary_directory::~temporary_directory()
{
    if (std::getenv("EGRETSPINDLE_KEEP_LOGS") == nullptr)
    {
        std::error_code ec;
        std::filesystem::remove_all(path_, ec);
    }
}

void write_file(const std::string& path, const std::string& text)
{
    std::ofstream out(path, std::ios::trunc);
    out << text;
    out.close();
    if (!out)
    {
        throw std::runtime_error("cannot write " + path);
    }
}

std::string read_file(const std::string& path)
{
    std::ifstream in(path);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace egretspindle::test
