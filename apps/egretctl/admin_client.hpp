/// \file
/// Client of the operators' interface.

#ifndef EGRETSPINDLE_APPS_EGRETCTL_ADMIN_CLIENT_HPP
#define EGRETSPINDLE_APPS_EGRETCTL_ADMIN_CLIENT_HPP

#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/endpoint.hpp"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace egretspindle::ctl
{

/// Sends requests to the configured servers in order, until one replies.
class admin_client
{
public:
    /// \param servers     `ip:port` of each server
    /// \param token_file  file with the operator's token
    [[nodiscard]] static absl::StatusOr<admin_client>
    create(const std::vector<std::string>& servers,
           const std::string& token_file);

    /// Sends a GET request. The path is relative to `/admin/v1/`.
    [[nodiscard]] absl::StatusOr<std::string> get(const std::string& path);

    /// Sends a POST request. All changes are idempotent, so the next server is
    /// tried when a reply is lost.
    [[nodiscard]] absl::StatusOr<std::string> post(const std::string& path,
                                                   const std::string& body);

    /// Returns the body of the latest error reply.
    [[nodiscard]] const std::string& error_body() const noexcept;

private:
    absl::StatusOr<std::string> send(const std::string& method,
                                     const std::string& path,
                                     const std::string& body);
    absl::StatusOr<std::string> send_to(const endpoint& server,
                                        const std::string& method,
                                        const std::string& path,
                                        const std::string& body);

    std::vector<endpoint> servers_;
    std::string token_;
    std::string error_body_;
};

/// Reads a path and decodes the reply.
template <typename T>
[[nodiscard]] absl::StatusOr<T> get_as(admin_client& client,
                                       const std::string& path)
{
    const absl::StatusOr<std::string> body = client.get(path);
    return body.ok() ? from_json<T>(*body) : absl::StatusOr<T>(body.status());
}

} // namespace egretspindle::ctl

#endif
