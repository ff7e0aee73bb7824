#include "egretspindle/admin/admin_service.hpp"

#include "egretspindle/adapters/caller_response.hpp"
#include "egretspindle/admin/admin_messages.hpp"
#include "egretspindle/admin/authenticate.hpp"
#include "egretspindle/admin/collect_status.hpp"
#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/error.hpp"
#include "egretspindle/core/utf8.hpp"
#include "egretspindle/logging/log.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace egretspindle
{

namespace
{

using namespace admin_message;

constexpr std::string_view prefix = "/admin/v1/";
constexpr int default_history_limit = 20;
constexpr int default_request_limit = 200;
constexpr int max_request_limit = 1000;

/// Arguments of a handler.
struct handler_context
{
    const http_request& request;
    const operator_settings& requester;
    plan_actor actor;
    std::string path_suffix; ///< path after the route
    plan_service& plans;
    plan_table& table;
    const admin_hooks& hooks;
};

/// Handler of a method and path.
struct admin_route
{
    std::string_view method;
    std::string_view path; ///< after the prefix; with `/` at the end for a
                           ///< path that continues with a request key
    http_response (*handle)(const handler_context& context);
};

http_response error(error_kind kind, std::string_view message)
{
    return format_error(make_error(kind, message));
}

template <typename T>
http_response reply(const T& value)
{
    http_response response;
    response.body = to_json(value);
    return response;
}

template <typename T>
http_response reply(const absl::StatusOr<T>& value)
{
    return value.ok() ? reply(*value) : format_error(value.status());
}

http_response unavailable_response()
{
    return error(error_kind::unavailable,
                 "this host does not offer this information; ask another");
}

/// Decodes the body of a request; unknown fields are errors.
template <typename T>
absl::StatusOr<T> read_body(const handler_context& context)
{
    // The JSON parser would replace invalid bytes and thereby change the text.
    if (!is_valid_utf8(context.request.body))
    {
        return make_error(error_kind::invalid_argument,
                          "the body is not UTF-8; convert it");
    }
    return from_json<T>(context.request.body, codec::unknown_fields::reject);
}

int read_limit(const handler_context& context, int default_value, int highest)
{
    const auto it = context.request.query.find("limit");
    int value = default_value;
    if (it != context.request.query.end())
    {
        std::from_chars(it->second.data(),
                        it->second.data() + it->second.size(), value);
    }
    return std::clamp(value, 1, highest);
}

void log_change(const handler_context& context, std::string_view change,
                std::string_view object, const absl::Status& status)
{
    log_info(
        "operator requested a change",
        {{"change", change},
         {"object", object.substr(0, 128)},
         {"operator", context.requester.name},
         {"team", context.requester.team},
         {"result", status.ok() ? std::string("applied")
                                : std::string(to_string(kind_of(status)))}});
}

http_response plan_show(const handler_context& context)
{
    return reply(context.plans.draft());
}

http_response plan_accepted(const handler_context& context)
{
    const std::shared_ptr<const plan_in_force> plan = context.table.current();
    return plan == nullptr
               ? error(error_kind::not_found, "no plan is in force; accept one")
               : reply(plan->accepted);
}

http_response conflict_response(const edit_result& result)
{
    edit_conflict conflict;
    conflict.error.kind = std::string(to_string(error_kind::conflict));
    conflict.error.message = fmt::format(
        "{} edited section {} after you read it, it has version {} now; merge "
        "both texts and send yours against that version",
        result.current.edited_by, result.current.name, result.current.version);
    conflict.current = result.current;
    conflict.proposed = result.proposed;
    http_response response = reply(conflict);
    response.status = http_status_of(error_kind::conflict);
    return response;
}

http_response plan_edit(const handler_context& context)
{
    const absl::StatusOr<section_edit> edit = read_body<section_edit>(context);
    if (!edit.ok())
    {
        return format_error(edit.status());
    }
    const absl::StatusOr<edit_result> result =
        context.plans.edit(context.actor, *edit);
    const bool is_conflict = result.ok() && !result->applied;
    log_change(context, "edit", edit->name,
               is_conflict ? make_error(error_kind::conflict, "")
                           : result.status());
    return is_conflict ? conflict_response(*result) : reply(result);
}

http_response plan_accept(const handler_context& context)
{
    const absl::StatusOr<accept_request> request =
        read_body<accept_request>(context);
    if (!request.ok())
    {
        return format_error(request.status());
    }
    const absl::StatusOr<accept_result> result =
        context.plans.accept(context.actor, *request);
    log_change(context, "accept", request->digest, result.status());
    return reply(result);
}

http_response plan_diff_text(const handler_context& context)
{
    const absl::StatusOr<std::string> text = context.plans.diff();
    return text.ok() ? reply(text_reply{*text}) : format_error(text.status());
}

http_response plan_check(const handler_context& context)
{
    const absl::StatusOr<std::vector<plan_problem>> problems =
        context.plans.check();
    return problems.ok() ? reply(check_reply{problems->empty(), *problems})
                         : format_error(problems.status());
}

http_response plan_history(const handler_context& context)
{
    const absl::StatusOr<std::vector<plan_record>> versions =
        context.plans.history(read_limit(context, default_history_limit, 50));
    return versions.ok() ? reply(history_reply{*versions})
                         : format_error(versions.status());
}

http_response show_status(const handler_context& context)
{
    if (!context.hooks.local_status || !context.hooks.peer_status)
    {
        return unavailable_response();
    }
    return reply(collect_status(context.hooks));
}

http_response show_targets(const handler_context& context)
{
    if (!context.hooks.targets)
    {
        return unavailable_response();
    }
    targets_reply result{context.hooks.targets(), context.plans.drains().all()};
    for (target_status& target : result.targets)
    {
        target.drained = context.plans.drains().is_drained(target.name);
    }
    return reply(result);
}

http_response show_requests(const handler_context& context)
{
    if (!context.hooks.requests)
    {
        return unavailable_response();
    }
    return reply(requests_reply{context.hooks.requests(
        read_limit(context, default_request_limit, max_request_limit))});
}

http_response show_request(const handler_context& context)
{
    return context.hooks.find_request
               ? reply(context.hooks.find_request(context.path_suffix))
               : unavailable_response();
}

http_response explain(const handler_context& context)
{
    if (!context.hooks.explain)
    {
        return unavailable_response();
    }
    const absl::StatusOr<std::string> text =
        context.hooks.explain(context.path_suffix);
    return text.ok() ? reply(text_reply{*text}) : format_error(text.status());
}

http_response set_drained(const handler_context& context, bool drained)
{
    const absl::StatusOr<target_name> name = read_body<target_name>(context);
    if (!name.ok())
    {
        return format_error(name.status());
    }
    const absl::StatusOr<drained_target> result =
        context.plans.set_drained(context.actor, name->target, drained);
    log_change(context, drained ? "drain" : "resume", name->target,
               result.status());
    return reply(result);
}

http_response drain(const handler_context& context)
{
    return set_drained(context, true);
}

http_response resume(const handler_context& context)
{
    return set_drained(context, false);
}

constexpr std::array<admin_route, 14> routes{{
    {"GET", "plan", plan_show},
    {"GET", "plan/accepted", plan_accepted},
    {"POST", "plan/edit", plan_edit},
    {"POST", "plan/accept", plan_accept},
    {"GET", "plan/diff", plan_diff_text},
    {"GET", "plan/check", plan_check},
    {"GET", "plan/history", plan_history},
    {"GET", "status", show_status},
    {"GET", "targets", show_targets},
    {"GET", "requests", show_requests},
    {"GET", "requests/", show_request},
    {"GET", "explain/", explain},
    {"POST", "drain", drain},
    {"POST", "resume", resume},
}};

bool matches(const admin_route& route, std::string_view path)
{
    return route.path.back() == '/'
               ? path.size() > route.path.size() &&
                     path.substr(0, route.path.size()) == route.path
               : path == route.path;
}

// A key is `team/id`; neither contains characters that need URL encoding.
bool is_request_key(std::string_view key)
{
    const std::size_t slash = key.find('/');
    return key.size() <= 256 && slash != std::string_view::npos && slash > 0 &&
           slash + 1 < key.size() &&
           key.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                 "abcdefghijklmnopqrstuvwxyz0123456789._-/") ==
               std::string_view::npos &&
           key.find('/', slash + 1) == std::string_view::npos;
}

const admin_route* find_route(std::string_view method, std::string_view path,
                              bool& is_path_known)
{
    for (const admin_route& route : routes)
    {
        if (matches(route, path))
        {
            is_path_known = true;
            if (route.method == method)
            {
                return &route;
            }
        }
    }
    return nullptr;
}

} // namespace

http_limits make_admin_limits() noexcept
{
    http_limits limits;
    // A section of 64 KiB may double in size when encoded as JSON.
    limits.max_body_bytes = 160 * 1024;
    limits.max_in_service = 32;
    return limits;
}

admin_service::admin_service(std::vector<operator_settings> operators,
                             plan_service& plans, plan_table& table,
                             admin_hooks hooks)
    : operators_(std::move(operators)), plans_(plans), table_(table),
      hooks_(std::move(hooks))
{
}

http_response admin_service::handle(const http_request& request)
{
    const operator_settings* requester =
        authenticate(operators_, request.authorization);
    if (requester == nullptr)
    {
        return error(error_kind::unauthorized,
                     "no operator has this token; send `Authorization: Bearer "
                     "TOKEN` with a token from the settings");
    }
    const std::string_view path = request.path;
    bool is_path_known = false;
    const admin_route* route =
        path.substr(0, prefix.size()) == prefix
            ? find_route(request.method, path.substr(prefix.size()),
                         is_path_known)
            : nullptr;
    if (route == nullptr)
    {
        return error(is_path_known ? error_kind::invalid_argument
                                   : error_kind::not_found,
                     is_path_known
                         ? "wrong method for this path; see docs/OPERATIONS.md"
                         : "unknown path; see docs/OPERATIONS.md");
    }
    handler_context context{
        request,
        *requester,
        {requester->name, requester->team,
         requester->role == operator_role::supervisor},
        std::string(path.substr(
            std::min(path.size(), prefix.size() + route->path.size()))),
        plans_,
        table_,
        hooks_};
    if (route->path.back() == '/' && !is_request_key(context.path_suffix))
    {
        return error(error_kind::invalid_argument,
                     "name the request as TEAM/ID");
    }
    return route->handle(context);
}

} // namespace egretspindle
