#include "comparison.hpp"

namespace egretspindle::bench
{

namespace
{

using results = std::vector<run_result>;

// Default of `policy_limits`.
constexpr double batch_floor = 0.3;
// Additional load of a flood, as a multiple of the slots.
constexpr double flood = 10;

double ratio(double lhs, double rhs)
{
    return rhs > 0 ? lhs / rhs : 0;
}

variant make_variant(std::string name, strategy choice)
{
    variant entry;
    entry.name = std::move(name);
    entry.run.choice = choice;
    return entry;
}

comparison mixed_load()
{
    comparison entry;
    entry.name = "mixed";
    entry.variants = {make_variant("policy", strategy::policy),
                      make_variant("least_loaded", strategy::least_loaded),
                      make_variant("random", strategy::random),
                      make_variant("no_admission", strategy::no_admission)};
    entry.figures = {
        {"urgent p99 / least_loaded",
         [](const results& all)
         { return ratio(all[0].urgent_p99_ms, all[1].urgent_p99_ms); },
         true, 0.6},
        {"batch work / least_loaded",
         [](const results& all)
         { return ratio(all[0].batch_work_s, all[1].batch_work_s); },
         false, 0.95},
        {"urgent p99 / random",
         [](const results& all)
         { return ratio(all[0].urgent_p99_ms, all[2].urgent_p99_ms); },
         true, 0, false},
    };
    return entry;
}

comparison batch_flood()
{
    comparison entry;
    entry.name = "batch_flood";
    entry.variants = {
        make_variant("policy", strategy::policy),
        make_variant("policy, flood", strategy::policy),
        make_variant("no_admission, flood", strategy::no_admission)};
    entry.variants[1].run.batch_flood = flood;
    entry.variants[2].run.batch_flood = flood;
    entry.figures = {
        {"urgent p99 / without flood",
         [](const results& all)
         { return ratio(all[1].urgent_p99_ms, all[0].urgent_p99_ms); },
         true, 1.2},
        {"no_admission p99 / without flood",
         [](const results& all)
         { return ratio(all[2].urgent_p99_ms, all[0].urgent_p99_ms); },
         true, 0, false},
        // Batch requests are rejected on arrival. The cost of a rejection in
        // real time is printed with the decision costs.
        {"batch requests rejected",
         [](const results& all)
         { return static_cast<double>(all[1].flood_rejected); },
         false, 0, false},
        {"longest wait before a rejection, ms",
         [](const results& all) { return all[1].max_reject_ms; }, true, 100},
    };
    return entry;
}

comparison urgent_flood()
{
    comparison entry;
    entry.name = "urgent_flood";
    entry.variants = {
        make_variant("policy, flood", strategy::policy),
        make_variant("no_admission, flood", strategy::no_admission)};
    for (variant& item : entry.variants)
    {
        item.run.urgent_flood = flood;
        item.run.measured_s = 30;
    }
    // This variant is slow, as its queue grows to thousands of requests.
    entry.variants[1].run.measured_s = 5;
    entry.figures = {
        {"batch slots / floor",
         [](const results& all) { return all[0].batch_slots / batch_floor; },
         false, 0.9},
        {"checks within deadline",
         [](const results& all) { return all[0].check_met; }, false, 0.99},
        {"longest wait before a rejection, ms",
         [](const results& all) { return all[0].max_reject_ms; }, true, 0,
         false},
        {"no_admission checks",
         [](const results& all) { return all[1].check_met; }, false, 0, false},
    };
    return entry;
}

comparison wrong_sizes()
{
    comparison entry;
    entry.name = "wrong_sizes";
    entry.variants = {
        make_variant("policy, wrong sizes", strategy::policy),
        make_variant("policy, true sizes", strategy::policy),
        make_variant("policy, wrong sizes, saturated", strategy::policy),
        make_variant("policy, true sizes, saturated", strategy::policy)};
    entry.variants.push_back(
        make_variant("declared, wrong sizes, saturated", strategy::declared));
    for (std::size_t n = 0; n < entry.variants.size(); ++n)
    {
        scenario& run = entry.variants[n].run;
        run.wrong_sizes = n % 2 == 0;
        // Processors and memory are exhausted before the slots.
        run.size_scale = 4;
        run.batch_load = n < 2 ? 0.3 : 1.5;
    }
    entry.figures = {
        {"overloaded target-ticks",
         [](const results& all)
         { return static_cast<double>(all[0].overloads + all[2].overloads); },
         true, 0},
        {"overloaded target-ticks, declared reserved",
         [](const results& all)
         { return static_cast<double>(all[4].overloads); },
         true, 0, false},
        {"batch work / true sizes",
         [](const results& all)
         { return ratio(all[0].batch_work_s, all[1].batch_work_s); },
         false, 0.8},
        {"batch work / true sizes, saturated",
         [](const results& all)
         { return ratio(all[2].batch_work_s, all[3].batch_work_s); },
         false, 0.8},
    };
    return entry;
}

comparison bad_targets()
{
    comparison entry;
    entry.name = "bad_targets";
    entry.variants = {
        make_variant("policy, 2 of 16 bad", strategy::policy),
        make_variant("policy", strategy::policy),
        make_variant("policy, bad targets and jobs", strategy::policy)};
    entry.variants[0].run.bad_targets = 2;
    entry.variants[2].run.bad_targets = 2;
    entry.variants[2].run.bad_jobs = 10;
    entry.figures = {
        {"successful work / without bad targets",
         [](const results& all)
         {
             return ratio(all[0].batch_work_s + all[0].urgent_work_s,
                          all[1].batch_work_s + all[1].urgent_work_s);
         },
         false, 0.85},
        {"batch work / without bad targets",
         [](const results& all)
         { return ratio(all[0].batch_work_s, all[1].batch_work_s); },
         false, 0, false},
        {"urgent work / without bad targets",
         [](const results& all)
         { return ratio(all[0].urgent_work_s, all[1].urgent_work_s); },
         false, 0, false},
        {"good jobs parked",
         [](const results& all) {
             return static_cast<double>(all[0].good_parked +
                                        all[2].good_parked);
         },
         true, 0},
        {"bad jobs parked of 10",
         [](const results& all)
         { return static_cast<double>(all[2].bad_parked); },
         false, 0, false},
    };
    return entry;
}

} // namespace

std::vector<comparison> make_comparisons()
{
    return {mixed_load(), batch_flood(), urgent_flood(), wrong_sizes(),
            bad_targets()};
}

} // namespace egretspindle::bench
