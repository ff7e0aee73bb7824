/// \file
/// Calls of the admin interface by the operators of tests.

#ifndef EGRETSPINDLE_TESTS_INTEGRATION_ADMIN_CALLER_HPP
#define EGRETSPINDLE_TESTS_INTEGRATION_ADMIN_CALLER_HPP

#include "egretspindle/codec/json.hpp"
#include "egretspindle/net/http_client.hpp"
#include "egretspindle/plan/accept_request.hpp"
#include "egretspindle/plan/accept_result.hpp"
#include "egretspindle/plan/edit_result.hpp"
#include "egretspindle/plan/plan_draft.hpp"
#include "egretspindle/plan/section_edit.hpp"

#include "support/make_cluster.hpp"

#include <absl/status/statusor.h>

#include <string>

namespace egretspindle::test
{

/// Settings of the operators: supervisors `ayu` and `budi` of team `rota`, and
/// operator `chai` of team `archive`.
inline constexpr const char* operator_settings_text = R"([[operators]]
name = "ayu"
team = "rota"
role = "supervisor"
token = "token of ayu for tests"
[[operators]]
name = "budi"
team = "rota"
role = "supervisor"
token = "token of budi for tests"
[[operators]]
name = "chai"
team = "archive"
role = "operator"
token = "token of chai for tests"
)";

/// Returns a plan with these break windows.
inline std::string
plan_with_break(const std::string& windows = R"("00:00-12:00", "12:00-00:00")")
{
    return "[team.rota]\nweight = 2\nurgent_floor = 0.3\n"
           "[team.archive]\nbatch_floor = 0.3\n"
           "[hosts]\nteam = \"rota\"\n"
           "[break]\nteam = \"rota\"\nwindows = [" +
           windows + "]\n";
}

/// Calls the admin interface of one entry host as one operator.
class admin_caller
{
public:
    admin_caller(std::string address, const std::string& name)
        : address_(std::move(address)),
          authorization_("Bearer token of " + name + " for tests")
    {
    }

    [[nodiscard]] absl::StatusOr<http_response>
    send(const std::string& method, const std::string& path,
         const std::string& body = "",
         std::chrono::milliseconds timeout = std::chrono::seconds(20)) const
    {
        http_client client(*parse_endpoint(address_));
        http_call call;
        call.method = method;
        call.path = "/admin/v1/" + path;
        call.body = body;
        call.authorization = authorization_;
        call.timeout = timeout;
        call.connection = connection_use::fresh;
        return client.send(call);
    }

    [[nodiscard]] absl::StatusOr<http_response> edit(const std::string& section,
                                                     const std::string& text,
                                                     std::int64_t base) const
    {
        return send("POST", "plan/edit",
                    to_json(section_edit{section, text, base, false}));
    }

    [[nodiscard]] absl::StatusOr<http_response>
    accept(const std::string& digest, std::int64_t base) const
    {
        return send("POST", "plan/accept",
                    to_json(accept_request{digest, base}));
    }

    /// Throws when the sections cannot be read.
    [[nodiscard]] plan_draft draft() const
    {
        return from_json<plan_draft>(send("GET", "plan").value().body).value();
    }

    /// Returns the version in force at the host; -1 when it does not answer.
    [[nodiscard]] std::int64_t version() const
    {
        const absl::StatusOr<http_response> response =
            send("GET", "plan/accepted", "", std::chrono::milliseconds(500));
        if (!response.ok() || response->status != 200)
        {
            return -1;
        }
        return from_json<accepted_plan>(response->body)->version;
    }

private:
    std::string address_;
    std::string authorization_;
};

/// Returns the HTTP status; 0 when there was no answer.
inline int status_of(const absl::StatusOr<http_response>& response)
{
    return response.ok() ? response->status : 0;
}

/// Returns the version of a section; 0 when it does not exist.
inline std::int64_t version_of(const plan_draft& draft,
                               const std::string& section)
{
    for (const plan_section& candidate : draft.sections)
    {
        if (candidate.name == section)
        {
            return candidate.version;
        }
    }
    return 0;
}

/// Writes the sections of `plan_with_break` and returns their document.
inline plan_draft write_sections(const admin_caller& ayu,
                                 const admin_caller& chai)
{
    (void)ayu.edit("team.rota", "urgent_floor = 0.3\n", 0);
    (void)chai.edit("team.archive", "batch_floor = 0.3\n", 0);
    (void)ayu.edit("hosts", "team = \"rota\"\n", 0);
    (void)ayu.edit("break",
                   "team = \"rota\"\n"
                   "windows = [\"00:00-12:00\", \"12:00-00:00\"]\n",
                   0);
    plan_draft draft = ayu.draft();
    if (draft.sections.size() != 4)
    {
        throw std::runtime_error("sections cannot be written");
    }
    return draft;
}

} // namespace egretspindle::test

#endif
