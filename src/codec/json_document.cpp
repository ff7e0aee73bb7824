#include "egretspindle/codec/json_document.hpp"

#include "egretspindle/codec/surrogate_pairs.hpp"
#include "egretspindle/core/error.hpp"
#include "egretspindle/core/utf8.hpp"

#include <fmt/format.h>
#include <rapidjson/error/en.h>
#include <rapidjson/reader.h>

#include <algorithm>
#include <utility>

namespace egretspindle
{

namespace
{

// The parser recurses once per level; deeper text could exhaust the stack.
constexpr int max_nesting_depth = 64;

// Most messages have a few hundred bytes. The default of 64 KiB for the first
// block of values would cost more than their parsing.
constexpr std::size_t min_block_bytes = 1024;
constexpr std::size_t max_block_bytes = 64 * 1024;

// The parser needs a null at the end, and may read a block of 16 bytes that
// starts before it.
constexpr std::size_t padding = 16;

// Comments, trailing commas, NaN and infinity are accepted in fields that are
// not read, as before by cxxtools; numbers that are read must be finite.
constexpr unsigned parse_flags =
    rapidjson::kParseInsituFlag | rapidjson::kParseStopWhenDoneFlag |
    rapidjson::kParseFullPrecisionFlag | rapidjson::kParseCommentsFlag |
    rapidjson::kParseTrailingCommasFlag | rapidjson::kParseNanAndInfFlag;

/// Document that ends the parsing when the nesting is too deep.
class bounded_document : public rapidjson::Document
{
public:
    using rapidjson::Document::Document;

    bool StartObject()
    {
        return enter() && rapidjson::Document::StartObject();
    }

    bool EndObject(rapidjson::SizeType count)
    {
        --depth_;
        return rapidjson::Document::EndObject(count);
    }

    bool StartArray()
    {
        return enter() && rapidjson::Document::StartArray();
    }

    bool EndArray(rapidjson::SizeType count)
    {
        --depth_;
        return rapidjson::Document::EndArray(count);
    }

    [[nodiscard]] bool is_too_deep() const noexcept
    {
        return depth_ > max_nesting_depth;
    }

private:
    bool enter() noexcept
    {
        return ++depth_ <= max_nesting_depth;
    }

    int depth_ = 0;
};

absl::Status malformed(std::string_view reason)
{
    return make_error(error_kind::invalid_argument,
                      fmt::format("malformed JSON, correct it: {}", reason));
}

std::string_view without_byte_order_mark(std::string_view text) noexcept
{
    constexpr std::string_view mark = "\xEF\xBB\xBF";
    return text.substr(0, mark.size()) == mark ? text.substr(mark.size())
                                               : text;
}

} // namespace

json_document::json_document(std::string_view text)
    : text_(new char[text.size() + padding]),
      allocator_(std::make_unique<json_value::AllocatorType>(
          std::clamp(2 * text.size(), min_block_bytes, max_block_bytes)))
{
    std::fill_n(std::copy(text.begin(), text.end(), text_.get()), padding,
                '\0');
}

absl::StatusOr<json_document> parse_json(std::string_view text)
{
    text = without_byte_order_mark(text);
    if (!is_valid_utf8(text))
    {
        return malformed("the text is not UTF-8");
    }
    if (!has_valid_surrogate_pairs(text))
    {
        return malformed("it holds half of an escaped surrogate pair");
    }
    json_document result(text);
    rapidjson::InsituStringStream in(result.text_.get());
    bounded_document tree(result.allocator_.get());
    rapidjson::ParseResult parsed;
    const auto generate = [&](rapidjson::Document& /*handler*/)
    {
        parsed = rapidjson::Reader().Parse<parse_flags>(in, tree);
        return !parsed.IsError();
    };
    tree.Populate(generate);
    if (tree.is_too_deep())
    {
        return make_error(
            error_kind::invalid_argument,
            fmt::format("JSON is nested more than {} levels deep; flatten it",
                        max_nesting_depth));
    }
    if (parsed.IsError())
    {
        return malformed(fmt::format("{} (at byte {})",
                                     GetParseError_En(parsed.Code()),
                                     parsed.Offset()));
    }
    if (text.find_first_not_of(" \t\r\n", in.Tell()) != std::string_view::npos)
    {
        return make_error(error_kind::invalid_argument,
                          "text follows the JSON document; send one document");
    }
    result.root_ = std::move(static_cast<json_value&>(tree));
    return result;
}

const json_value* find_member(const json_value& value,
                              std::string_view name) noexcept
{
    if (!value.IsObject())
    {
        return nullptr;
    }
    for (auto it = value.MemberBegin(); it != value.MemberEnd(); ++it)
    {
        if (text_of(it->name) == name)
        {
            return &it->value;
        }
    }
    return nullptr;
}

} // namespace egretspindle
