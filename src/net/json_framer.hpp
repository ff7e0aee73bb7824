/// \file
/// Splitting of a byte stream into JSON objects.

#ifndef EGRETSPINDLE_SRC_NET_JSON_FRAMER_HPP
#define EGRETSPINDLE_SRC_NET_JSON_FRAMER_HPP

#include <cstddef>
#include <string>
#include <string_view>

namespace egretspindle
{

/// Collects the bytes of a stream until a JSON object is complete.
class json_framer
{
public:
    /// State of the current object.
    enum class state
    {
        incomplete,
        complete,
        invalid, ///< not an object, or too large
    };

    /// \param max_bytes  size limit of an object
    explicit json_framer(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    /// Adds bytes, at most up to the end of the current object.
    ///
    /// \returns the number of bytes consumed
    std::size_t add(std::string_view bytes);

    /// Returns the state of the current object.
    [[nodiscard]] state current_state() const noexcept
    {
        return state_;
    }

    /// Returns the complete object and starts the next one.
    [[nodiscard]] std::string take_object();

private:
    void process(char c);

    std::size_t max_bytes_;
    std::string text_;
    state state_ = state::incomplete;
    int depth_ = 0;
    bool in_string_ = false;
    bool is_escaped_ = false;
};

} // namespace egretspindle

#endif
