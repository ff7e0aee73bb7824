// Handlers of the messages from other hosts.

#include "egretspindle/protocol/host_status.hpp"
#include "egretspindle/protocol/message_type.hpp"
#include "egretspindle/protocol/ping_message.hpp"
#include "egretspindle/protocol/submit_request.hpp"

#include "node_parts.hpp"

namespace egretspindle
{

void node::impl::register_messages()
{
    messages.on<ping_message, ping_message>(
        message_type::ping,
        [this](const std::string& sender, const ping_message& message)
        { return members->handle_ping(sender, message); });
    messages.on<ping_message, ping_message>(
        message_type::ping_request,
        [this](const std::string& sender, const ping_message& message)
        { return members->handle_ping_request(sender, message); });
    messages.on<submit_request, request_reply>(
        message_type::submit,
        [this](const std::string&, const submit_request& message) {
            return requests->submit(message.spec,
                                    milliseconds(message.wait_ms));
        });
    messages.on<key_query, request_reply>(
        message_type::wait, [this](const std::string&, const key_query& query)
        { return requests->wait(query); });
    messages.on<key_query, request_reply>(
        message_type::cancel, [this](const std::string&, const key_query& query)
        { return requests->cancel(query.key); });
    messages.on<find_request, find_reply>(
        message_type::find,
        [this](const std::string&,
               const find_request& query) -> absl::StatusOr<find_reply>
        { return rack_routes->find_local(query); });
    messages.on<place_request, place_reply>(
        message_type::place,
        [this](const std::string&, const place_request& message)
        { return rack_routes->place(message); });
    messages.on<task_query, task_report>(
        message_type::task_state,
        [this](const std::string&, const task_query& query)
        { return rack_routes->task_state(query); });
    messages.on<task_query, task_report>(
        message_type::task_stop,
        [this](const std::string&, const task_query& query)
        { return rack_routes->stop(query); });
    messages.on<task_query, task_query>(
        message_type::task_ack,
        [this](const std::string&,
               const task_query& query) -> absl::StatusOr<task_query>
        {
            const absl::Status status = rack_routes->acknowledge(query);
            if (!status.ok())
            {
                return status;
            }
            return query;
        });
    messages.on<ended_message, key_query>(
        message_type::task_ended,
        [this](const std::string&,
               const ended_message& message) -> absl::StatusOr<key_query>
        {
            const absl::Status status =
                request_routes->report_end(config.host.data_center, message);
            if (!status.ok())
            {
                return status;
            }
            return key_query{message.report.task.key, 0};
        });
    messages.on<rack_release, rack_release>(
        message_type::release_rack,
        [this](const std::string& sender, const rack_release& message)
        { return ownership->handle_release(sender, message); });
    messages.on<plan_query, accepted_plan>(
        message_type::get_plan,
        [this](const std::string&, const plan_query& query)
        { return plan_operations->get_plan(query); });
    messages.on<key_query, egretspindle::host_status>(
        message_type::host_status,
        [this](const std::string&,
               const key_query&) -> absl::StatusOr<egretspindle::host_status>
        { return make_host_status(); });
}

egretspindle::host_status node::impl::make_host_status() const
{
    egretspindle::host_status status;
    status.members = members->members();
    for (const member_digest& member : status.members)
    {
        if (member.name == config.host.name)
        {
            status.self = member;
        }
    }
    status.open_requests = requests->open_count();
    status.queued_batch = requests->queued_count();
    status.ready = not_ready_reason().empty();
    status.store_reachable = requests->is_store_healthy();
    const std::shared_ptr<const plan_in_force> plan = plans.current();
    if (plan)
    {
        status.plan_version = plan->accepted.version;
        status.plan_digest = plan->accepted.digest;
    }
    return status;
}

} // namespace egretspindle
