#include "egretspindle/cluster/store_contact.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;

namespace
{

const liveness_limits limits;
const time_point start = time_point{} + milliseconds(1'000'000);
// Time of the check, on the clock of the reports.
const boot_time_point now{std::chrono::seconds(5'000)};

// View of the hosts `h1` to `h3` after one read.
cluster_view make_view()
{
    std::vector<known_host> hosts;
    for (const char* name : {"h1", "h2", "h3"})
    {
        known_host host;
        host.row.name = name;
        host.version = 1;
        hosts.push_back(host);
    }
    cluster_view view;
    apply_read(view, hosts, limits, start);
    return view;
}

} // namespace

// Otherwise a host that the store alone rejects would renew its leases without
// end.
TEST_CASE("an outage counts as cluster-wide only if every live host reports it",
          "[cluster]")
{
    const cluster_view view = make_view();
    contact_reports reports;
    REQUIRE_FALSE(is_cluster_wide_outage(view, "h1", reports, limits, now));
    reports["h2"] = {now, false};
    REQUIRE_FALSE(is_cluster_wide_outage(view, "h1", reports, limits, now));
    reports["h3"] = {now, true};
    REQUIRE_FALSE(is_cluster_wide_outage(view, "h1", reports, limits, now));
    reports["h3"] = {now, false};
    REQUIRE(is_cluster_wide_outage(view, "h1", reports, limits, now));
    // A host that is not in the view yet may have read the store.
    reports["h4"] = {now, true};
    REQUIRE_FALSE(is_cluster_wide_outage(view, "h1", reports, limits, now));
}

TEST_CASE("a report does not count once contact_report_lifetime has passed",
          "[cluster]")
{
    const cluster_view view = make_view();
    contact_reports reports;
    reports["h2"] = {now, false};
    reports["h3"] = {now - contact_report_lifetime, false};
    REQUIRE_FALSE(is_cluster_wide_outage(view, "h1", reports, limits, now));
}

TEST_CASE("a host that was not live at the last read need not report",
          "[cluster]")
{
    cluster_view view = make_view();
    view.hosts["h3"].row.is_leaving = true;
    contact_reports reports;
    reports["h2"] = {now, false};
    REQUIRE(is_cluster_wide_outage(view, "h1", reports, limits, now));
}
