#include "egretspindle/codec/field_path.hpp"

#include <fmt/format.h>

namespace egretspindle::codec
{

std::string to_text(const field_path& path)
{
    if (path.parent == nullptr)
    {
        return {};
    }
    const std::string parent = to_text(*path.parent);
    if (path.name.data() == nullptr)
    {
        return fmt::format("{}[{}]", parent, path.index);
    }
    return parent.empty() ? std::string(path.name)
                          : fmt::format("{}.{}", parent, path.name);
}

} // namespace egretspindle::codec
