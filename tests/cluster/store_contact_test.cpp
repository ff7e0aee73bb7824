#include "egretspindle/cluster/store_contact.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;

namespace
{

const liveness_limits limits;
const time_point start = time_point{} + milliseconds(1'000'000);
const boot_time_point now{std::chrono::seconds(5'000)};

// Hosts `h1` to `h3`, read once.
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

// A host that the store rejects alone went on renewing leases for good.
TEST_CASE("an outage concerns all only if every live host says so", "[cluster]")
{
    const cluster_view view = make_view();
    contact_reports reports;
    REQUIRE_FALSE(is_outage_for_all(view, "h1", reports, limits, now));
    reports["h2"] = {now, false};
    REQUIRE_FALSE(is_outage_for_all(view, "h1", reports, limits, now));
    reports["h3"] = {now, true};
    REQUIRE_FALSE(is_outage_for_all(view, "h1", reports, limits, now));
    reports["h3"] = {now, false};
    REQUIRE(is_outage_for_all(view, "h1", reports, limits, now));
    // A host that is not known yet may have read the store.
    reports["h4"] = {now, true};
    REQUIRE_FALSE(is_outage_for_all(view, "h1", reports, limits, now));
}

TEST_CASE("an old report says nothing of the store", "[cluster]")
{
    const cluster_view view = make_view();
    contact_reports reports;
    reports["h2"] = {now, false};
    reports["h3"] = {now - contact_report_age, false};
    REQUIRE_FALSE(is_outage_for_all(view, "h1", reports, limits, now));
}

TEST_CASE("a host that was not live at the last read need not report",
          "[cluster]")
{
    cluster_view view = make_view();
    view.hosts["h3"].row.is_leaving = true;
    contact_reports reports;
    reports["h2"] = {now, false};
    REQUIRE(is_outage_for_all(view, "h1", reports, limits, now));
}
