/// \file
/// Measures the time of a placement pass over the queue of a full rack after
/// one target has reported new response times, with all caches of the targets
/// and the queue cleared before the pass (`made anew`) and with them kept
/// (`kept`).

#include "egretspindle/rack/rack_decision.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace
{

using namespace egretspindle;

constexpr unsigned seed = 7;
constexpr int run_count = 15;
constexpr int passes_per_run = 400;
constexpr int target_count = 8;
constexpr int serving_images = 10;
constexpr int backfill_images = 18;
constexpr int serving_per_target = 6;
constexpr int backfill_per_target = 6;
constexpr int step_count = 60;
constexpr int starts_per_step = 5;

std::string serving_name(int n)
{
    return "registry/cooperative/serving-" + std::to_string(n);
}

std::string backfill_name(int n)
{
    return "registry/cooperative/filling-" + std::to_string(n);
}

interference_model make_model()
{
    std::vector<pair_interference> learned;
    for (int s = 0; s < serving_images; ++s)
    {
        for (int f = 0; f < backfill_images; ++f)
        {
            learned.push_back({serving_name(s), backfill_name(f),
                               (s + f) % 3 == 0 ? 0.2 : 0.01, 2'000});
        }
    }
    interference_model model;
    update_peer_interference(model, "host-2", 1, learned);
    merge_interference(model);
    model.reserved_shares = {{backfill_name(3), 0.3}, {backfill_name(7), 0.3}};
    return model;
}

std::shared_ptr<const step_terms>
make_terms(const std::string& step, const std::string& image, bool is_serving)
{
    step_terms terms;
    terms.step = step;
    terms.service = "rota-service";
    terms.size = {4'000, 100, 0};
    terms.image = image;
    terms.response_target_ms = is_serving ? 50 : 0;
    terms.uses_idle_cpu = !is_serving;
    return std::make_shared<const step_terms>(std::move(terms));
}

void add_run(rack_target& target, const std::string& task,
             std::shared_ptr<const step_terms> terms)
{
    placed_run run;
    run.task = task;
    run.run = 1;
    run.terms = std::move(terms);
    run.is_confirmed = true;
    run.own_headroom = 2.0;
    target.runs[{task, 1}] = std::move(run);
}

// Returns a rack with full targets and 300 queued starts.
rack_state make_rack()
{
    rack_state rack;
    rack.name = "rack-1";
    for (int n = 0; n < target_count; ++n)
    {
        rack_target target;
        target.entry.id = "target-" + std::to_string(n);
        target.entry.service = "rota-service";
        target.entry.capacity = {32'000, 125'000, 0};
        target.is_recorded = true;
        target.is_reached = true;
        for (int k = 0; k < serving_per_target; ++k)
        {
            const std::string image = serving_name((n + k) % serving_images);
            add_run(target, "serving.0.0." + std::to_string(k),
                    make_terms("serving.0.0", image, true));
        }
        for (int k = 0; k < backfill_per_target; ++k)
        {
            const std::string image =
                backfill_name((n * 3 + k) % backfill_images);
            add_run(target, "filling.0.0." + std::to_string(k),
                    make_terms("filling.0.0", image, false));
        }
        rack.targets[target.entry.id] = std::move(target);
    }
    for (int n = 0; n < step_count; ++n)
    {
        const std::string step = "job-" + std::to_string(n) + ".0.0";
        const std::shared_ptr<const step_terms> terms =
            make_terms(step, backfill_name(n % backfill_images), false);
        for (int k = 0; k < starts_per_step; ++k)
        {
            queued_start item;
            item.task = step + "." + std::to_string(k);
            item.run = 1;
            item.terms = terms;
            rack.queue.push_back(std::move(item));
        }
    }
    return rack;
}

void clear_caches(rack_state& rack)
{
    for (auto& [id, target] : rack.targets)
    {
        target.cached = {};
    }
    for (queued_start& item : rack.queue)
    {
        item.refused_at_change = 0;
    }
}

// Changes the response times that one target has reported.
void change_response_times(rack_state& rack, int pass, double change)
{
    const std::string id = "target-" + std::to_string(pass % target_count);
    for (auto& [name, run] : rack.targets.at(id).runs)
    {
        run.own_headroom = 2.0 + change;
    }
}

/// Returns the mean time of a pass in microseconds.
double time_passes(rack_state& rack, const interference_model& model,
                   bool is_recomputed)
{
    std::minstd_rand random(seed);
    std::uniform_real_distribution<double> change(-0.1, 0.1);
    std::chrono::duration<double, std::micro> spent{0};
    for (int pass = 0; pass < passes_per_run; ++pass)
    {
        change_response_times(rack, pass, change(random));
        if (is_recomputed)
        {
            clear_caches(rack);
        }
        const time_point begin = std::chrono::steady_clock::now();
        const std::vector<placement> placed =
            place_starts(rack, model, begin, 0);
        spent += std::chrono::steady_clock::now() - begin;
        if (!placed.empty())
        {
            std::abort(); // the rack must be full
        }
    }
    return spent.count() / passes_per_run;
}

void print(const char* name, std::vector<double> values, const char* unit)
{
    std::sort(values.begin(), values.end());
    std::printf("%-14s %d runs: %.2f, %.2f, %.2f%s\n", name, run_count,
                values.front(), values[values.size() / 2], values.back(), unit);
}

} // namespace

int main()
{
    const interference_model model = make_model();
    rack_state rack = make_rack();
    std::vector<double> recomputed;
    std::vector<double> cached_times;
    std::vector<double> ratios;
    for (int run = 0; run < run_count; ++run)
    {
        recomputed.push_back(time_passes(rack, model, true));
        cached_times.push_back(time_passes(rack, model, false));
        ratios.push_back(recomputed.back() / cached_times.back());
    }
    std::printf("%d targets, %zu queued starts; minimum, median, maximum\n",
                target_count, rack.queue.size());
    print("made anew", recomputed, " us");
    print("kept", cached_times, " us");
    print("ratio", ratios, "");
}
