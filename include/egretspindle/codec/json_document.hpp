/// \file
/// Parsed JSON text.

#ifndef EGRETSPINDLE_CODEC_JSON_DOCUMENT_HPP
#define EGRETSPINDLE_CODEC_JSON_DOCUMENT_HPP

#include <absl/status/statusor.h>
#include <rapidjson/document.h>

#include <memory>
#include <string_view>

namespace egretspindle
{

/// Value in a parsed document.
using json_value = rapidjson::Value;

/// Owns the values of a document and the text that its strings refer to.
class json_document
{
public:
    [[nodiscard]] const json_value& root() const noexcept
    {
        return root_;
    }

private:
    friend absl::StatusOr<json_document> parse_json(std::string_view text);

    explicit json_document(std::string_view text);

    std::unique_ptr<char[]> text_; ///< parsed in place
    std::unique_ptr<json_value::AllocatorType> allocator_;
    json_value root_;
};

/// Parses JSON text into a generic document.
///
/// \returns `invalid_argument` for malformed, trailing or too deeply nested
///          text, and for text that is not UTF-8
[[nodiscard]] absl::StatusOr<json_document> parse_json(std::string_view text);

/// Returns the first member with this name, or null if there is none or the
/// value is not an object.
[[nodiscard]] const json_value* find_member(const json_value& value,
                                            std::string_view name) noexcept;

/// Returns the text of a string value.
[[nodiscard]] inline std::string_view text_of(const json_value& value) noexcept
{
    return {value.GetString(), value.GetStringLength()};
}

} // namespace egretspindle

#endif
