/// \file
/// Commands of egretctl. Each returns the exit code.

#ifndef EGRETSPINDLE_APPS_EGRETCTL_COMMANDS_HPP
#define EGRETSPINDLE_APPS_EGRETCTL_COMMANDS_HPP

#include "admin_client.hpp"
#include "options.hpp"

namespace egretspindle::ctl
{

int plan_show(admin_client& client, const options& opts);
int plan_edit(admin_client& client, const options& opts);
int plan_diff(admin_client& client, const options& opts);
int plan_check(admin_client& client, const options& opts);
int plan_accept(admin_client& client, const options& opts);
int plan_history(admin_client& client, const options& opts);

int show_status(admin_client& client, const options& opts);
int show_hosts(admin_client& client, const options& opts);
int show_targets(admin_client& client, const options& opts);
int show_requests(admin_client& client, const options& opts);
int explain(admin_client& client, const options& opts);
int drain(admin_client& client, const options& opts);
int resume(admin_client& client, const options& opts);

} // namespace egretspindle::ctl

#endif
