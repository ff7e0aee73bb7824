#include "egretspindle/adapters/host_list_client.hpp"
#include "egretspindle/core/error.hpp"

#include "json_call.hpp"

namespace egretspindle
{

namespace
{

bool is_usable(const host_entry& entry)
{
    return !entry.name.empty() &&
           (entry.role != "target" || parse_endpoint(entry.address).ok());
}

class http_host_list_client : public host_list_client
{
public:
    explicit http_host_list_client(endpoint server) : client_(std::move(server))
    {
    }

    absl::StatusOr<std::vector<host_entry>> hosts() override
    {
        http_call call;
        call.path = "/v1/hosts";
        const absl::StatusOr<http_response> response = client_.send(call);
        if (!response.ok())
        {
            return response.status();
        }
        const absl::Status status = error_from_response(*response);
        return status.ok() ? decode_host_list(response->body) : status;
    }

private:
    http_client client_;
};

} // namespace

absl::StatusOr<std::vector<host_entry>> decode_host_list(std::string_view text)
{
    const absl::StatusOr<json_document> document = parse_json(text);
    if (!document.ok())
    {
        return document.status();
    }
    const json_value* list = find_member(document->root(), "hosts");
    if (list == nullptr || !list->IsArray())
    {
        return make_error(error_kind::internal,
                          "the host list has no array 'hosts'");
    }
    std::vector<host_entry> hosts;
    for (const json_value& value : list->GetArray())
    {
        host_entry entry;
        const absl::Status status = codec::read(
            value, entry, codec::unknown_fields::ignore, codec::field_path{});
        if (status.ok() && is_usable(entry))
        {
            hosts.push_back(std::move(entry));
        }
    }
    return hosts;
}

absl::StatusOr<std::unique_ptr<host_list_client>>
make_http_host_list_client(const std::string& address)
{
    absl::StatusOr<endpoint> server = parse_endpoint(address);
    if (!server.ok())
    {
        return server.status();
    }
    return std::unique_ptr<host_list_client>(
        std::make_unique<http_host_list_client>(*std::move(server)));
}

} // namespace egretspindle
