/// \file
/// Error of a JSON-RPC 2.0 response.

#ifndef EGRETSPINDLE_SRC_NET_RPC_ERROR_HPP
#define EGRETSPINDLE_SRC_NET_RPC_ERROR_HPP

#include <string>

namespace egretspindle
{

/// Error of a JSON-RPC 2.0 response.
struct rpc_error
{
    int code = 0; ///< `error_kind`
    std::string message;
};

/// Visits the fields of `rpc_error` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const rpc_error* /*tag*/)
{
    visit("code", value.code);
    visit("message", value.message);
}

} // namespace egretspindle

#endif
