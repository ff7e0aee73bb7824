#include "egretspindle/adapters/host_list_client.hpp"

#include "json_call.hpp"

namespace egretspindle
{

namespace
{

struct host_list_body
{
    std::vector<host_entry> hosts;
};

template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const host_list_body* /*tag*/)
{
    visit("hosts", value.hosts);
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
        absl::StatusOr<host_list_body> body =
            json_call<host_list_body>(client_, call);
        if (!body.ok())
        {
            return body.status();
        }
        return std::move(body->hosts);
    }

private:
    http_client client_;
};

} // namespace

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
