/// \file
/// Interned name of an image.

#ifndef EGRETSPINDLE_RACK_IMAGE_NAME_HPP
#define EGRETSPINDLE_RACK_IMAGE_NAME_HPP

#include <cstdint>
#include <string>
#include <utility>

namespace egretspindle
{

/// Interned name of an image. Copies and comparisons are as cheap as those of
/// an integer.
///
/// Placement looks up pairs of images thousands of times a second, and the
/// names within a fleet share long prefixes. Names are never removed; a fleet
/// runs some dozens of images. Names are ordered by their first use in the
/// process.
class image_name
{
public:
    /// Makes the empty name.
    image_name();

    // NOLINTBEGIN(google-explicit-constructor)
    image_name(const std::string& text);
    image_name(const char* text);

    operator const std::string&() const noexcept
    {
        return str();
    }
    // NOLINTEND(google-explicit-constructor)

    [[nodiscard]] const std::string& str() const noexcept
    {
        return entry_->first;
    }

    /// Returns the index of the name: how many names were interned before it.
    [[nodiscard]] std::size_t number() const noexcept
    {
        return entry_->second;
    }

    [[nodiscard]] bool empty() const noexcept
    {
        return str().empty();
    }

    friend bool operator==(image_name lhs, image_name rhs) noexcept
    {
        return lhs.entry_ == rhs.entry_;
    }

    friend bool operator!=(image_name lhs, image_name rhs) noexcept
    {
        return lhs.entry_ != rhs.entry_;
    }

    friend bool operator<(image_name lhs, image_name rhs) noexcept
    {
        return lhs.number() < rhs.number();
    }

private:
    using entry = std::pair<const std::string, std::size_t>;

    static const entry* find(const std::string& text);

    const entry* entry_;
};

} // namespace egretspindle

#endif
