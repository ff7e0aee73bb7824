#include "egretspindle/adapters/store_client.hpp"
#include "egretspindle/core/clock.hpp"
#include "egretspindle/core/error.hpp"

#include "json_call.hpp"

#include <fmt/format.h>

#include <atomic>
#include <random>

namespace egretspindle
{

namespace
{

struct row_page
{
    std::vector<store_row> rows;
};

template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const row_page* /*tag*/)
{
    visit("rows", value.rows);
}

struct transaction_status
{
    bool known = false;
    bool committed = false;
    std::int64_t version = 0;
};

template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value,
                  const transaction_status* /*tag*/)
{
    visit("known", value.known);
    visit("committed", value.committed);
    visit("version", value.version);
}

http_call make_call(std::string method, std::string path,
                    std::chrono::milliseconds timeout)
{
    http_call call;
    call.method = std::move(method);
    call.path = std::move(path);
    call.timeout = timeout;
    return call;
}

class http_store_client : public store_client
{
public:
    explicit http_store_client(endpoint server) : client_(std::move(server)) {}

    absl::StatusOr<commit_result>
    commit(const store_transaction& transaction,
           std::chrono::milliseconds timeout) override
    {
        const absl::StatusOr<http_response> response =
            post(transaction, timeout);
        if (response.ok())
        {
            return decode_result(*response);
        }
        if (kind_of(response.status()) == error_kind::unavailable)
        {
            return response.status();
        }
        return query_transaction(transaction, response.status(), timeout);
    }

    absl::StatusOr<store_row> read(const std::string& key,
                                   std::chrono::milliseconds timeout) override
    {
        const absl::StatusOr<store_row> row = json_call<store_row>(
            client_,
            make_call("GET", "/v1/rows?key=" + encode_query(key), timeout));
        if (!row.ok() && kind_of(row.status()) == error_kind::not_found)
        {
            return store_row{key, 0, ""};
        }
        return row;
    }

    absl::StatusOr<std::vector<store_row>>
    scan(const std::string& prefix, const std::string& after, int limit,
         std::chrono::milliseconds timeout) override
    {
        absl::StatusOr<row_page> page = json_call<row_page>(
            client_,
            make_call("GET",
                      fmt::format("/v1/scan?prefix={}&after={}&limit={}",
                                  encode_query(prefix), encode_query(after),
                                  limit),
                      timeout));
        if (!page.ok())
        {
            return page.status();
        }
        return std::move(page->rows);
    }

    absl::Status put_object(const std::string& key, const std::string& value,
                            std::chrono::milliseconds timeout) override
    {
        http_call call =
            make_call("PUT", "/v1/objects?key=" + encode_query(key), timeout);
        call.body = value;
        call.content_type = "application/octet-stream";
        const absl::StatusOr<http_response> response = client_.send(call);
        return response.ok() ? error_from_response(*response)
                             : response.status();
    }

    absl::StatusOr<std::string>
    get_object(const std::string& key,
               std::chrono::milliseconds timeout) override
    {
        const absl::StatusOr<http_response> response = client_.send(
            make_call("GET", "/v1/objects?key=" + encode_query(key), timeout));
        if (!response.ok())
        {
            return response.status();
        }
        const absl::Status status = error_from_response(*response);
        if (!status.ok())
        {
            return status;
        }
        return response->body;
    }

private:
    absl::StatusOr<http_response> post(const store_transaction& transaction,
                                       std::chrono::milliseconds timeout)
    {
        http_call call = make_call("POST", "/v1/tx", timeout);
        call.body = to_json(transaction);
        return client_.send(call);
    }

    // A conflict is a regular result, not an error.
    static absl::StatusOr<commit_result>
    decode_result(const http_response& response)
    {
        if (response.status != 409)
        {
            const absl::Status status = error_from_response(response);
            if (!status.ok())
            {
                return status;
            }
        }
        return from_json<commit_result>(response.body);
    }

    // Queries the result of a commit whose reply was lost, since the
    // transaction may have been committed.
    absl::StatusOr<commit_result>
    query_transaction(const store_transaction& transaction,
                      const absl::Status& error,
                      std::chrono::milliseconds timeout)
    {
        const absl::StatusOr<transaction_status> status =
            json_call<transaction_status>(
                client_,
                make_call("GET", "/v1/tx/" + encode_query(transaction.tx_id),
                          timeout));
        if (!status.ok() || !status->known)
        {
            // The commit of an unknown transaction may still arrive at the
            // store.
            return error;
        }
        if (!status->committed)
        {
            // The store answers a repeated id with the first result, which has
            // the rows in conflict.
            const absl::StatusOr<http_response> response =
                post(transaction, timeout);
            return response.ok() ? decode_result(*response) : error;
        }
        commit_result result;
        result.committed = true;
        result.version = status->version;
        return result;
    }

    http_client client_;
};

} // namespace

absl::StatusOr<std::unique_ptr<store_client>>
make_http_store_client(const std::string& address)
{
    absl::StatusOr<endpoint> server = parse_endpoint(address);
    if (!server.ok())
    {
        return server.status();
    }
    return std::unique_ptr<store_client>(
        std::make_unique<http_store_client>(*std::move(server)));
}

std::string make_transaction_id(const std::string& host_name)
{
    static const unsigned process_nonce = std::random_device{}();
    static std::atomic<std::uint64_t> counter{0};
    return fmt::format("{}-{:x}-{:x}-{}", host_name, unix_ms(), process_nonce,
                       ++counter);
}

} // namespace egretspindle
