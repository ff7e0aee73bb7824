/// \file
/// Row of the store that hosts use to discover each other.

#ifndef EGRETSPINDLE_MEMBERSHIP_MEMBER_ROW_HPP
#define EGRETSPINDLE_MEMBERSHIP_MEMBER_ROW_HPP

#include <string>
#include <string_view>

namespace egretspindle
{

inline constexpr std::string_view member_row_prefix = "member/";

/// Value of a `member/<data centre>/<name>` row: an address to contact. Rows
/// of hosts that no longer exist are kept; a host is added to the members only
/// after it has answered.
struct member_row
{
    std::string name;
    std::string address; ///< `ip:port`
};

/// Visits the fields of `member_row` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const member_row* /*tag*/)
{
    visit("name", value.name);
    visit("address", value.address);
}

/// Returns the key of a host's row, `member/<data centre>/<name>`.
[[nodiscard]] inline std::string member_row_key(const std::string& data_center,
                                                const std::string& name)
{
    return std::string(member_row_prefix) + data_center + "/" + name;
}

} // namespace egretspindle

#endif
