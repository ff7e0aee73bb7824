#include "json_framer.hpp"

#include <utility>

namespace egretspindle
{

std::size_t json_framer::add(std::string_view bytes)
{
    std::size_t n = 0;
    while (n < bytes.size() && state_ == state::incomplete)
    {
        advance(bytes[n]);
        ++n;
    }
    return n;
}

std::string json_framer::take()
{
    std::string text = std::exchange(text_, {});
    state_ = state::incomplete;
    depth_ = 0;
    in_string_ = false;
    is_escaped_ = false;
    return text;
}

void json_framer::advance(char c)
{
    if (depth_ == 0)
    {
        if (c == ' ' || c == '\t' || c == '\r' || c == '\n')
        {
            return;
        }
        if (c != '{')
        {
            state_ = state::invalid;
            return;
        }
    }
    text_ += c;
    if (text_.size() > max_bytes_)
    {
        state_ = state::invalid;
        return;
    }
    if (in_string_)
    {
        if (is_escaped_)
        {
            is_escaped_ = false;
        }
        else if (c == '\\')
        {
            is_escaped_ = true;
        }
        else if (c == '"')
        {
            in_string_ = false;
        }
        return;
    }
    if (c == '"')
    {
        in_string_ = true;
    }
    else if (c == '{' || c == '[')
    {
        ++depth_;
    }
    else if (c == '}' || c == ']')
    {
        if (--depth_ == 0)
        {
            state_ = state::complete;
        }
    }
}

} // namespace egretspindle
