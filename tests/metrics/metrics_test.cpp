#include "egretspindle/metrics/metric_registry.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <random>
#include <thread>
#include <vector>

using namespace egretspindle;

// Guards against lost updates and duplicate instances of one series.
TEST_CASE("concurrent updates are all counted", "[metrics]")
{
    metric_registry registry;
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int it = 0; it < 4; ++it)
    {
        threads.emplace_back(
            [&registry]
            {
                for (int n = 0; n < 5000; ++n)
                {
                    registry.get_counter("c_total", "C.", {{"k", "v"}}).add();
                    registry.get_gauge("g", "G.").add(n % 2 == 0 ? 2 : -1);
                    registry.get_summary("s_ms", "S.").observe(1);
                }
            });
    }
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    CHECK(registry.get_counter("c_total", "C.", {{"k", "v"}}).value() == 20000);
    CHECK(registry.get_gauge("g", "G.").value() == 10000);
    CHECK(registry.get_summary("s_ms", "S.").snapshot().count == 20000);
}

// Guards against output that a Prometheus server rejects.
TEST_CASE("metrics are formatted for Prometheus", "[metrics]")
{
    metric_registry registry;
    registry.get_counter("b_total", "B\nb.", {{"kind", "a\"b\\c\nd"}}).add(2);
    registry.get_summary("a_ms", "A.", {{"x", "y"}}).observe(4);
    const std::string text = registry.prometheus_text();
    CHECK(text.find("# HELP a_ms A.\n# TYPE a_ms summary\n"
                    "a_ms{x=\"y\",quantile=\"0.5\"} 4\n"
                    "a_ms{x=\"y\",quantile=\"0.9\"} 4\n"
                    "a_ms{x=\"y\",quantile=\"0.99\"} 4\n"
                    "a_ms_sum{x=\"y\"} 4\na_ms_count{x=\"y\"} 1\n") == 0);
    CHECK(text.find("# HELP b_total B\\nb.\n# TYPE b_total counter\n"
                    "b_total{kind=\"a\\\"b\\\\c\\nd\"} 2\n") !=
          std::string::npos);
}

// Guards against a text whose size depends on the digits of measured times:
// each had up to 17, of which a scrape needs few.
TEST_CASE("numbers are shown with few decimals", "[metrics]")
{
    metric_registry registry;
    gauge& level = registry.get_gauge("g", "G.");
    const auto shows = [&](double value, const std::string& text)
    {
        level.set(value);
        INFO(registry.prometheus_text());
        CHECK(registry.prometheus_text().find("\ng " + text + "\n") !=
              std::string::npos);
    };
    shows(5.063048110536975, "5.063");
    shows(2935.5724689999993, "2935.572");
    shows(-2935.5726, "-2935.573");
    shows(0.05306300000000001, "0.053063");
    shows(0.99999999, "1");
    shows(40, "40");
    shows(123456789012.3456, "123456789012.346");
    shows(9007199254740993.0, "9007199254740992");
    latency_summary& summary = registry.get_summary("s_ms", "S.");
    summary.observe(1.0 / 3);
    summary.observe(1e6 / 3);
    const std::string text = registry.prometheus_text();
    CHECK(text.find("\ns_ms_sum 333333.667\n") != std::string::npos);
}

// Guards against large errors of the tail quantiles.
TEST_CASE("estimated quantiles are close to the exact ones", "[metrics]")
{
    const unsigned seed = 7;
    INFO("seed " << seed);
    std::mt19937 random(seed);
    std::lognormal_distribution<double> distribution(2, 0.8);
    for (const std::size_t count : {std::size_t{50}, std::size_t{20'000}})
    {
        latency_summary summary;
        std::vector<double> values;
        for (std::size_t n = 0; n < count; ++n)
        {
            values.push_back(distribution(random));
            summary.observe(values.back());
        }
        std::sort(values.begin(), values.end());
        const auto exact = [&values](double p)
        {
            return values[static_cast<std::size_t>(
                p * static_cast<double>(values.size() - 1))];
        };
        const latency_snapshot estimated = summary.snapshot();
        CHECK(estimated.p50 == Approx(exact(0.5)).epsilon(0.05));
        CHECK(estimated.p90 == Approx(exact(0.9)).epsilon(0.05));
        CHECK(estimated.p99 == Approx(exact(0.99)).epsilon(0.05));
    }
}

// Guards against quantiles that are dominated by old observations.
TEST_CASE("quantiles cover the last two minutes", "[metrics]")
{
    latency_summary summary;
    const time_point start = steady_clock::now();
    for (int second = 0; second < 1000; ++second)
    {
        const time_point now = start + std::chrono::seconds(second);
        if (second > 0 && std::isnan(summary.snapshot(now).p50))
        {
            FAIL("no quantile at second " << second);
        }
        summary.observe(second < 500 ? 10 : 20, now);
    }
    CHECK(summary.snapshot(start + std::chrono::seconds(1000)).p50 == 20);
    CHECK(std::isnan(summary.snapshot(start + std::chrono::seconds(2000)).p50));
    CHECK(summary.snapshot(start + std::chrono::seconds(2000)).count == 1000);
}

// Guards against memory use that grows with label values from callers.
TEST_CASE("the number of series is limited", "[metrics]")
{
    metric_registry registry(10);
    for (int n = 0; n < 100; ++n)
    {
        registry.get_counter("c_total", "C.", {{"kind", std::to_string(n)}})
            .add();
    }
    registry.get_gauge("c_total", "Another type.").set(1);
    const std::string text = registry.prometheus_text();
    CHECK(std::count(text.begin(), text.end(), '\n') == 2 + 10 + 3);
    CHECK(text.find("egretspindle_metrics_dropped_total 91\n") !=
          std::string::npos);
}

// Guards against output that grows with the number of observations, such as a
// series for each value. A number has at most 24 characters.
TEST_CASE("the size of the output depends only on the number of series",
          "[metrics]")
{
    constexpr std::size_t max_number_length = 24;
    metric_registry registry;
    latency_summary& summary = registry.get_summary("s_ms", "S.");
    counter& count = registry.get_counter("c_total", "C.");
    gauge& level = registry.get_gauge("g", "G.");
    const std::string before = registry.prometheus_text();
    for (int n = 0; n < 50'000; ++n)
    {
        summary.observe(n * 1.0e9 / 3);
        count.add(std::uint64_t{1} << 40);
        level.add(-1.0e9 / 3);
    }
    const std::string after = registry.prometheus_text();
    CHECK(std::count(after.begin(), after.end(), '\n') ==
          std::count(before.begin(), before.end(), '\n'));
    CHECK(after.size() <= before.size() + 7 * max_number_length);
    CHECK(after.find("c_total 54975581388800000\n") != std::string::npos);
}
