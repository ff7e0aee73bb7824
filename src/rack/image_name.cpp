#include "egretspindle/rack/image_name.hpp"

#include "egretspindle/rack/image_name_codec.hpp"

#include <map>
#include <mutex>

namespace egretspindle
{

// Returns a pointer to the entry of a name. Map nodes have stable addresses.
const image_name::entry* image_name::find(const std::string& text)
{
    static std::mutex mutex;
    static std::map<std::string, std::size_t> names;
    const std::lock_guard<std::mutex> lock(mutex);
    return &*names.emplace(text, names.size()).first;
}

image_name::image_name()
{
    static const entry* const empty = find("");
    entry_ = empty;
}

image_name::image_name(const std::string& text) : entry_(find(text)) {}

image_name::image_name(const char* text) : entry_(find(text)) {}

absl::Status read(const json_value& tree, image_name& value,
                  codec::unknown_fields unknown, const codec::field_path& path)
{
    std::string text;
    absl::Status status = codec::read(tree, text, unknown, path);
    if (status.ok())
    {
        value = text;
    }
    return status;
}

void write(codec::json_writer& out, const image_name& value)
{
    out.text(value.str());
}

} // namespace egretspindle
