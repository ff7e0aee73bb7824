#include "http_store.hpp"
#include "http_target.hpp"
#include "probe_interface.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;
using namespace egretspindle::platform;

// Guards against metrics that are not served on any address, and against
// reporting readiness on other paths.
TEST_CASE("the probe interface serves readiness and metrics", "[platform]")
{
    http_store store(endpoint{"127.0.0.1", 1});
    http_target targets;
    scheduler_options options;
    options.host = "h1";
    job_scheduler scheduler(store, targets, options);
    http_request request;
    request.method = "GET";
    request.path = "/metrics";
    const http_response metrics = handle_probe_request(request, scheduler);
    CHECK(metrics.status == 200);
    CHECK(metrics.content_type == "text/plain; version=0.0.4");
    for (const char* series :
         {"\negretspindle_racks_owned 0\n", "\negretspindle_open_jobs 0\n",
          "\negretspindle_config_version 0\n"})
    {
        CAPTURE(series);
        CHECK(metrics.body.find(series) != std::string::npos);
    }
    for (const char* path : {"/egretspindle/ready", "/", "/metrics/other"})
    {
        CAPTURE(path);
        request.path = path;
        CHECK(handle_probe_request(request, scheduler).status == 503);
    }
}
