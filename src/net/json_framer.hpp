/// \file
/// Splitting of a byte stream into JSON documents.

#ifndef EGRETSPINDLE_SRC_NET_JSON_FRAMER_HPP
#define EGRETSPINDLE_SRC_NET_JSON_FRAMER_HPP

#include <cstddef>
#include <string>
#include <string_view>

namespace egretspindle
{

/// Collects bytes until a JSON object is complete.
class json_framer
{
public:
    /// State of the current document.
    enum class state
    {
        incomplete,
        complete,
        invalid, ///< not an object, or larger than the limit
    };

    /// \param max_bytes  size limit of a document
    explicit json_framer(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    /// Adds bytes, at most up to the end of the current document.
    ///
    /// \returns the number of bytes consumed
    std::size_t add(std::string_view bytes);

    /// Returns the state of the current document.
    [[nodiscard]] state current() const noexcept
    {
        return state_;
    }

    /// Returns the complete document and starts the next one.
    [[nodiscard]] std::string take();

private:
    void advance(char c);

    std::size_t max_bytes_;
    std::string text_;
    state state_ = state::incomplete;
    int depth_ = 0;
    bool in_string_ = false;
    bool is_escaped_ = false;
};

} // namespace egretspindle

#endif
