#include "egretspindle/jobs/gang.hpp"
#include "egretspindle/jobs/job_machine.hpp"
#include "egretspindle/jobs/job_record.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <set>

using namespace egretspindle;

namespace
{

constexpr std::int64_t now_ms = 1'000'000;
constexpr std::int64_t max_attempts = 2;

step_spec make_step(std::int64_t count, std::vector<std::int64_t> after = {})
{
    step_spec step;
    step.count = count;
    step.cpu_milli = 1'000;
    step.estimate_ms = 500;
    step.after = std::move(after);
    return step;
}

job make_two_step_job()
{
    job_spec spec;
    spec.text = "payload";
    spec.steps = {make_step(2), make_step(1, {0})};
    return make_job("0123456789abcdef", "queue", spec, now_ms);
}

end_effect end_task(job& value, std::size_t step, std::size_t index,
                    std::int64_t run, run_end how,
                    const std::string& checkpoint = "")
{
    return end_run(value, {value.id, 0, step, index}, run, how, checkpoint,
                   max_attempts, now_ms);
}

} // namespace

TEST_CASE("a step starts once all tasks of the steps it depends on are done",
          "[jobs]")
{
    job value = make_two_step_job();
    REQUIRE(due_steps(value).size() == 1);
    REQUIRE(due_steps(value).front().tasks.size() == 2);
    assign_run(value, {value.id, 0, 0, 0}, "r1");
    assign_run(value, {value.id, 0, 0, 1}, "r1");
    REQUIRE(due_steps(value).empty());
    end_task(value, 0, 0, 1, run_end::done);
    REQUIRE(due_steps(value).empty());
    end_task(value, 0, 1, 1, run_end::done);
    REQUIRE(due_steps(value).size() == 1);
    REQUIRE(due_steps(value).front().step == 1);
}

TEST_CASE("a job is completed once its last task is done", "[jobs]")
{
    job value = make_two_step_job();
    assign_run(value, {value.id, 0, 0, 0}, "r1");
    assign_run(value, {value.id, 0, 0, 1}, "r1");
    end_task(value, 0, 0, 1, run_end::done);
    end_task(value, 0, 1, 1, run_end::done);
    assign_run(value, {value.id, 0, 1, 0}, "r1");
    REQUIRE(value.outcome == job_outcome::open);
    end_task(value, 1, 0, 1, run_end::done);
    REQUIRE(value.outcome == job_outcome::completed);
}

TEST_CASE("the end of an outdated run has no effect", "[jobs]")
{
    job value = make_two_step_job();
    const task_key key{value.id, 0, 0, 0};
    assign_run(value, key, "r1");
    end_task(value, 0, 0, 1, run_end::lost);
    REQUIRE(assign_run(value, key, "r2") == 2);
    REQUIRE(end_task(value, 0, 0, 1, run_end::done) == end_effect::none);
    REQUIRE(find_task(value, key)->phase == job_task_phase::assigned);
}

TEST_CASE("the end of a run after the latest recorded one is unrecorded",
          "[jobs]")
{
    job value = make_two_step_job();
    REQUIRE(end_task(value, 0, 0, 3, run_end::done) == end_effect::unrecorded);
}

TEST_CASE("only failed runs use up attempts", "[jobs]")
{
    job value = make_two_step_job();
    const task_key key{value.id, 0, 0, 0};
    for (const run_end how : {run_end::lost, run_end::lapsed, run_end::stopped,
                              run_end::not_started, run_end::failed})
    {
        const std::int64_t run = assign_run(value, key, "r1");
        end_task(value, 0, 0, run, how);
        REQUIRE(value.outcome == job_outcome::open);
    }
    const std::int64_t run = assign_run(value, key, "r1");
    end_task(value, 0, 0, run, run_end::failed);
    REQUIRE(value.outcome == job_outcome::failed);
}

TEST_CASE("a long-running task restarts after any end", "[jobs]")
{
    job_spec spec;
    spec.steps = {make_step(1)};
    spec.steps.front().is_long_running = true;
    job value = make_job("0123456789abcdef", "queue", spec, now_ms);
    for (const run_end how :
         {run_end::failed, run_end::failed, run_end::failed, run_end::done})
    {
        REQUIRE(due_steps(value).size() == 1);
        const std::int64_t run = assign_run(value, {value.id, 0, 0, 0}, "r1");
        end_task(value, 0, 0, run, how);
        REQUIRE(value.outcome == job_outcome::open);
    }
}

TEST_CASE("the tasks of a gang share a run number and are done together",
          "[jobs]")
{
    job_spec spec;
    spec.steps = {make_step(3)};
    spec.steps.front().is_gang = true;
    job value = make_job("0123456789abcdef", "queue", spec, now_ms);
    const std::vector<due_step> due = due_steps(value);
    REQUIRE(assign_gang(value, due.front(), "r1") == 1);
    end_task(value, 0, 1, 1, run_end::failed);
    // The other members are still assigned, so the gang cannot start again.
    REQUIRE(due_steps(value).empty());
    end_task(value, 0, 0, 1, run_end::broken);
    end_task(value, 0, 2, 1, run_end::broken);
    REQUIRE(assign_gang(value, due_steps(value).front(), "r1") == 2);
    end_task(value, 0, 2, 2, run_end::done);
    REQUIRE(value.outcome == job_outcome::completed);
}

TEST_CASE("a checkpoint is saved for the next run", "[jobs]")
{
    job_spec spec;
    spec.steps = {make_step(1)};
    spec.steps.front().is_checkpointing = true;
    job value = make_job("0123456789abcdef", "queue", spec, now_ms);
    assign_run(value, {value.id, 0, 0, 0}, "r1");
    end_task(value, 0, 0, 1, run_end::stopped, "half");
    REQUIRE(find_task(value, {value.id, 0, 0, 0})->checkpoint == "half");
}

TEST_CASE("occurrences become due at their scheduled times", "[jobs]")
{
    job_spec spec;
    spec.steps = {make_step(1)};
    spec.repeat_count = 3;
    spec.start_at_ms = now_ms + 100;
    spec.interval_ms = 50;
    job value = make_job("0123456789abcdef", "queue", spec, now_ms);
    REQUIRE(due_steps(value).empty());
    REQUIRE_FALSE(add_due_occurrences(value, now_ms + 99));
    REQUIRE(add_due_occurrences(value, now_ms + 160));
    REQUIRE(value.occurrences.size() == 2);
    REQUIRE(due_steps(value).size() == 2);
}

TEST_CASE("a cancelled job has no due steps", "[jobs]")
{
    job value = make_two_step_job();
    REQUIRE(cancel_job(value, now_ms));
    REQUIRE_FALSE(cancel_job(value, now_ms));
    REQUIRE(due_steps(value).empty());
    REQUIRE(state_name(value) == "cancelled");
}

TEST_CASE("a record preserves the state of tasks", "[jobs]")
{
    job value = make_two_step_job();
    value.spec.steps[0].is_checkpointing = true;
    assign_run(value, {value.id, 0, 0, 0}, "rack one");
    end_task(value, 0, 0, 1, run_end::failed, "a b.c");
    assign_run(value, {value.id, 0, 0, 0}, "rack two");
    const std::string text = encode_job(value, encode_spec(value.spec));
    const absl::StatusOr<job> read = decode_job(value.id, text);
    REQUIRE(read.ok());
    const job_task* task = find_task(*read, {value.id, 0, 0, 0});
    REQUIRE(task->phase == job_task_phase::assigned);
    REQUIRE(task->run == 2);
    REQUIRE(task->failures == 1);
    REQUIRE(task->rack == "rack two");
    REQUIRE(task->checkpoint == "a b.c");
    REQUIRE(read->spec.text == "payload");
    REQUIRE(assigned_runs(*read).size() == 1);
}

TEST_CASE("the record of an ended job keeps runs that have not ended", "[jobs]")
{
    job value = make_two_step_job();
    assign_run(value, {value.id, 0, 0, 0}, "r1");
    cancel_job(value, now_ms);
    const absl::StatusOr<job> read =
        decode_job(value.id, encode_job(value, encode_spec(value.spec)));
    REQUIRE(read.ok());
    REQUIRE(assigned_runs(*read).size() == 1);
    end_task(value, 0, 0, 1, run_end::stopped);
    const std::string finished_record =
        encode_job(value, encode_spec(value.spec));
    REQUIRE(finished_record.find("payload") == std::string::npos);
    REQUIRE(decode_job(value.id, finished_record)->outcome ==
            job_outcome::cancelled);
}

TEST_CASE("a damaged record has no extra occurrences and a truncated one is an "
          "error",
          "[jobs]")
{
    const job value = make_two_step_job();
    const std::string text = encode_job(value, encode_spec(value.spec));
    for (std::size_t n = 0; n < text.size(); n += 3)
    {
        std::string damaged = text;
        damaged[n] = '\x01';
        const absl::StatusOr<job> read = decode_job(value.id, damaged);
        if (read.ok())
        {
            REQUIRE(read->occurrences.size() <= 1);
        }
    }
    REQUIRE_FALSE(decode_job("id", "").ok());
    REQUIRE_FALSE(decode_job("id", text.substr(0, text.size() / 2)).ok());
}

TEST_CASE("task keys are formatted and parsed, and malformed ones rejected",
          "[jobs]")
{
    const task_key key{"0123456789abcdef", 3, 1, 17};
    REQUIRE(to_string(key) == "0123456789abcdef.3.1.17");
    REQUIRE(parse_task_key(to_string(key))->index == 17);
    REQUIRE_FALSE(parse_task_key("a.b.c"));
    REQUIRE_FALSE(parse_task_key("1.2.3"));
    REQUIRE_FALSE(parse_task_key("job.1.2.x"));
}

TEST_CASE("specifications without steps or with invalid ones are rejected",
          "[jobs]")
{
    job_spec spec;
    REQUIRE_FALSE(check_job(spec).ok());
    spec.steps = {make_step(1, {0})};
    REQUIRE_FALSE(check_job(spec).ok());
    spec.steps = {make_step(0)};
    REQUIRE_FALSE(check_job(spec).ok());
    spec.steps = {make_step(1), make_step(2, {0})};
    REQUIRE(check_job(spec).ok());
}

// Guards against submissions that exhaust the memory of a host or overflow its
// sums.
TEST_CASE("a job with numbers out of range is rejected", "[jobs]")
{
    constexpr std::int64_t large = 9'223'372'036'854'775'807;
    const auto is_accepted = [](const auto& change)
    {
        job_spec spec;
        spec.steps = {make_step(2)};
        spec.repeat_count = 2;
        change(spec);
        return check_job(spec).ok();
    };
    CHECK(is_accepted([](job_spec&) {}));
    CHECK(is_accepted([](job_spec& it)
                      { it.start_at_ms = 1'796'000'000'000; })); // 2026
    CHECK_FALSE(is_accepted([](job_spec& it) { it.repeat_count = large; }));
    CHECK_FALSE(is_accepted([](job_spec& it) { it.interval_ms = large; }));
    CHECK_FALSE(is_accepted([](job_spec& it) { it.start_at_ms = large; }));
    CHECK_FALSE(is_accepted([](job_spec& it) { it.start_at_ms = -large; }));
    CHECK_FALSE(is_accepted([](job_spec& it) { it.steps[0].count = large; }));
    for (std::int64_t step_spec::*field :
         {&step_spec::cpu_milli, &step_spec::memory_mb,
          &step_spec::accelerators, &step_spec::estimate_ms,
          &step_spec::max_per_target, &step_spec::response_target_ms,
          &step_spec::max_absent})
    {
        CHECK_FALSE(
            is_accepted([&](job_spec& it) { it.steps[0].*field = large; }));
        CHECK_FALSE(
            is_accepted([&](job_spec& it) { it.steps[0].*field = -1; }));
    }
    CHECK_FALSE(is_accepted([](job_spec& it)
                            { it.steps.assign(1'000, make_step(100'000)); }));
}

// Guards against records that grow with each task that is done.
TEST_CASE("a record has no checkpoints that no run can start from", "[jobs]")
{
    job value = make_two_step_job();
    value.spec.steps[0].is_checkpointing = true;
    for (const std::size_t index : {0, 1})
    {
        assign_run(value, {value.id, 0, 0, index}, "r1");
        end_task(value, 0, index, 1, run_end::stopped, "half");
        assign_run(value, {value.id, 0, 0, index}, "r1");
    }
    end_task(value, 0, 0, 2, run_end::done, "all");
    const auto reload = [&value]
    {
        return *decode_job(value.id,
                           encode_job(value, encode_spec(value.spec)));
    };
    CHECK(find_task(reload(), {value.id, 0, 0, 0})->checkpoint.empty());
    CHECK(find_task(reload(), {value.id, 0, 0, 1})->checkpoint == "half");
    cancel_job(value, now_ms);
    CHECK(find_task(reload(), {value.id, 0, 0, 1})->checkpoint.empty());
    CHECK(assigned_runs(reload()).size() == 1);
}

// Guards against jobs that are accepted although no row of the store can hold
// their state.
TEST_CASE("a job whose record cannot fit into a row is rejected", "[jobs]")
{
    job_spec spec;
    spec.steps = {make_step(9'000)};
    REQUIRE(check_job(spec).ok());
    spec.steps = {make_step(10'000)};
    CHECK_FALSE(check_job(spec).ok());
    spec.steps = {make_step(100)};
    spec.repeat_count = 90;
    CHECK(check_job(spec).ok());
    spec.repeat_count = 100;
    CHECK_FALSE(check_job(spec).ok());
    spec.repeat_count = 0;
    spec.steps.assign(100, make_step(1));
    CHECK(check_job(spec).ok());
    spec.steps.assign(300, make_step(1));
    CHECK_FALSE(check_job(spec).ok());
}

// Guards against a bound that rejects jobs whose record fits.
TEST_CASE("no record of a job is smaller than its lower bound", "[jobs]")
{
    for (const std::int64_t count : {1, 7, 500})
    {
        job_spec spec;
        spec.steps = {make_step(count), make_step(2 * count, {0})};
        spec.repeat_count = 3;
        spec.start_at_ms = now_ms;
        const job value = make_job("0123456789abcdef", "queue", spec, now_ms);
        REQUIRE(value.occurrences.size() == 3);
        CHECK(encode_job(value, encode_spec(spec)).size() >=
              min_record_bytes(spec));
    }
}

// Reports random ends, some of outdated runs, and reloads the record at random.
// At any time a task has at most one run that may be executing, and a task that
// is done never starts again.
TEST_CASE("random ends never lead to two concurrent runs of a task", "[jobs]")
{
    for (unsigned seed = 1; seed <= 200; ++seed)
    {
        CAPTURE(seed);
        std::minstd_rand random(seed);
        job value = make_two_step_job();
        std::map<std::string, std::int64_t> open_runs;
        std::set<std::string> done;
        for (int n = 0; n < 60 && value.outcome == job_outcome::open; ++n)
        {
            for (const due_step& due : due_steps(value))
            {
                for (const std::size_t index : due.tasks)
                {
                    const task_key key{value.id, 0, due.step, index};
                    const std::string name = to_string(key);
                    REQUIRE(open_runs.count(name) == 0);
                    REQUIRE(done.count(name) == 0);
                    open_runs[name] = assign_run(value, key, "r1");
                }
            }
            if (random() % 5 == 0)
            {
                value = *decode_job(value.id,
                                    encode_job(value, encode_spec(value.spec)));
            }
            auto it = open_runs.begin();
            std::advance(it, static_cast<long>(random() % open_runs.size()));
            const task_key key = *parse_task_key(it->first);
            const run_end how = static_cast<run_end>(random() % 8);
            const std::int64_t outdated_by =
                static_cast<std::int64_t>(random() % 2);
            const end_effect effect = end_run(
                value, key, it->second - outdated_by, how, "", 100, now_ms);
            REQUIRE((outdated_by == 0) == (effect == end_effect::changed));
            if (effect == end_effect::changed)
            {
                if (how == run_end::done)
                {
                    done.insert(it->first);
                }
                open_runs.erase(it);
            }
        }
    }
}
