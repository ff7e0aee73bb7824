/// \file
/// Names and ranges of the numeric settings, shared by parser and formatter.

#ifndef EGRETSPINDLE_SRC_SETTINGS_NUMBER_FIELDS_HPP
#define EGRETSPINDLE_SRC_SETTINGS_NUMBER_FIELDS_HPP

#include "egretspindle/settings/limit_settings.hpp"
#include "egretspindle/settings/timing_settings.hpp"

namespace egretspindle
{

/// Calls `visit(name, value, lowest, highest)` for each member of
/// `limit_settings`.
template <typename Visitor, typename Limits>
void visit_limits(Visitor&& visit, Limits& value)
{
    constexpr std::int64_t mebibyte = 1024 * 1024;
    visit("max_body_bytes", value.max_body_bytes, 1, 16 * mebibyte);
    visit("max_request_bytes", value.max_request_bytes, 1024, 64 * mebibyte);
    visit("min_threads", value.min_threads, 1, 1024);
    visit("max_threads", value.max_threads, 2, 4096);
    visit("max_urgent_in_service", value.max_urgent_in_service, 1, 4096);
    visit("max_queued_batch", value.max_queued_batch, 1, 1'000'000);
    visit("max_inline_answer", value.max_inline_answer, 0, mebibyte);
    visit("max_wait_ms", value.max_wait_ms, 1, 600'000);
}

/// Calls `visit(name, value, lowest, highest)` for each member of
/// `timing_settings`, in milliseconds.
template <typename Visitor, typename Timing>
void visit_timing(Visitor&& visit, Timing& value)
{
    constexpr std::int64_t minute = 60'000;
    visit("lease_ms", value.lease_ms, 100, 10 * minute);
    visit("lease_margin_ms", value.lease_margin_ms, 0, minute);
    visit("renew_ms", value.renew_ms, 10, minute);
    visit("probe_ms", value.probe_ms, 10, minute);
    visit("probe_timeout_ms", value.probe_timeout_ms, 5, minute);
    visit("suspicion_ms", value.suspicion_ms, 10, 10 * minute);
    visit("cross_probe_ms", value.cross_probe_ms, 10, 10 * minute);
    visit("ownership_read_ms", value.ownership_read_ms, 10, minute);
    visit("handover_delay_ms", value.handover_delay_ms, 0, 60 * minute);
    visit("plan_poll_ms", value.plan_poll_ms, 10, minute);
    visit("host_list_poll_ms", value.host_list_poll_ms, 10, minute);
    visit("store_timeout_ms", value.store_timeout_ms, 10, minute);
    visit("claim_row_ms", value.claim_row_ms, 1, minute);
    visit("shutdown_ms", value.shutdown_ms, 0, 60 * minute);
}

} // namespace egretspindle

#endif
