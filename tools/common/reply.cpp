#include "reply.hpp"

#include "egretspindle/net/error_reply.hpp"

#include <cstdlib>

namespace egretspindle::standin
{

http_response json_reply(int status, std::string body)
{
    http_response response;
    response.status = status;
    response.body = std::move(body);
    return response;
}

http_response error_reply(int status, error_kind kind, std::string_view message)
{
    const egretspindle::error_reply body{
        {std::string(to_string(kind)), std::string(message)}};
    return json_reply(status, to_json(body));
}

http_response bad_request(const absl::Status& status)
{
    const absl::string_view message = status.message();
    return error_reply(400, error_kind::invalid_argument,
                       {message.data(), message.size()});
}

std::string query_of(const http_request& request, const std::string& name)
{
    const auto it = request.query.find(name);
    return it == request.query.end() ? std::string() : it->second;
}

long query_number(const http_request& request, const std::string& name,
                  long fallback)
{
    const std::string text = query_of(request, name);
    return text.empty() ? fallback : std::strtol(text.c_str(), nullptr, 10);
}

} // namespace egretspindle::standin
