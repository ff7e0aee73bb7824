/// \file
/// Output stream of the JSON writer.

#ifndef EGRETSPINDLE_CODEC_STRING_STREAM_HPP
#define EGRETSPINDLE_CODEC_STRING_STREAM_HPP

#include <string>
#include <string_view>

namespace egretspindle::codec
{

/// Appends to a string.
///
/// `rapidjson::StringBuffer` reserves twelve times the length of each string
/// when non-ASCII characters are escaped, and its content has to be copied at
/// the end.
class string_stream
{
public:
    using Ch = char; // NOLINT(readability-identifier-naming)

    explicit string_stream(std::string& out) noexcept : out_(&out) {}

    void Put(char c)
    {
        out_->push_back(c);
    }

    void Flush() noexcept {}

    /// Appends text that needs no escaping.
    void append(std::string_view text)
    {
        out_->append(text);
    }

private:
    std::string* out_;
};

/// Appends a character. The encodings of RapidJSON find this overload by
/// argument-dependent lookup.
inline void PutUnsafe(string_stream& out, char c)
{
    out.Put(c);
}

} // namespace egretspindle::codec

#endif
