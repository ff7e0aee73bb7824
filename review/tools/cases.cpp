// Cases of the review. usage: case_runner NAME TOP FOLDER
// Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't
// run.
#include "deployment.hpp"

using namespace review;

namespace
{

constexpr int held = 0;
constexpr int broken = 1;
constexpr int not_run = 2;

int verdict(deployment& all, bool is_broken, const std::string& text)
{
    all.lines.line((is_broken ? "BROKEN: " : "held: ") + text);
    std::printf("%s%s\n", is_broken ? "BROKEN: " : "held: ", text.c_str());
    return is_broken ? broken : held;
}

// More than 500 ends of one worker are unacknowledged when its list is read.
int many_ends(deployment& all, bool by_kill)
{
    constexpr int tasks = 1'400;
    // Tasks end one after the other, over 3 s.
    all.work = [](const std::string& task, std::int64_t)
    {
        const int index = std::atoi(task.substr(task.rfind('.') + 1).c_str());
        return task_work{10, 20, 1'000 + 3'000 * index / tasks, "done"};
    };
    all.add_worker("r1-1", 32'000, 128'000);
    all.add_worker("r1-1", 32'000, 128'000);
    all.set_config(3, deployment::route("calc", 4));
    if (!all.start_hosts(3))
    {
        return not_run;
    }
    const std::string path = "/calc/00000000000000a1";
    if (all.submit(path, job_body({{tasks, 10, 20, 5'000, ""}})) != 200)
    {
        return not_run;
    }
    const std::int64_t until = steady_ms() + 15'000;
    while (all.events.count("begun") < tasks && steady_ms() < until)
    {
        sleep_ms(50);
    }
    all.lines.line("starts so far: " +
                   std::to_string(all.events.count("begun")));
    if (all.has_trouble)
    {
        if (by_kill)
        {
            all.kill(*all.hosts[0]);
        }
        else
        {
            all.platform.is_down = true;
            all.lines.line("store: down (503)");
            sleep_ms(4'500);
            all.platform.is_down = false;
            all.lines.line("store: up again");
        }
    }
    const std::string state = all.wait_for_state(path, "completed", 40'000);
    sleep_ms(3'000);
    for (const std::unique_ptr<worker>& item : all.workers)
    {
        all.lines.line("worker " + item->id() + ": most ends in its list: " +
                       std::to_string(item->longest_list));
    }
    const int count = count_twice(all);
    return verdict(all, count > 0,
                   std::to_string(count) + " of " + std::to_string(tasks) +
                       " tasks ran twice; the job is shown as '" + state + "'");
}

// The route of a job is removed for some seconds while a run of it fails.
int removed_route(deployment& all)
{
    constexpr int tasks = 6;
    constexpr int max_attempts = 4;
    // The first run of the first task fails by its own fault after 3 s; its
    // later runs, and the other tasks, end done.
    all.work = [](const std::string& task, std::int64_t run)
    {
        const bool fails = run == 1 && task.substr(task.rfind('.')) == ".0";
        return task_work{1'000, 100, fails ? 3'000 : 6'000,
                         fails ? "failed" : "done"};
    };
    all.add_worker("r1-1", 32'000, 128'000);
    all.add_worker("r1-1", 32'000, 128'000);
    const std::string other = deployment::route("other", 4);
    const std::string both =
        deployment::route("calc", max_attempts) + "," + other;
    all.set_config(3, both);
    if (!all.start_hosts(3))
    {
        return not_run;
    }
    const std::string path = "/calc/00000000000000b1";
    if (all.submit(path, job_body({{tasks, 1'000, 100, 6'000, ""}})) != 200)
    {
        return not_run;
    }
    const std::int64_t until = steady_ms() + 5'000;
    while (all.events.count("begun") < tasks && steady_ms() < until)
    {
        sleep_ms(20);
    }
    if (all.events.count("begun") < tasks)
    {
        return not_run;
    }
    if (all.has_trouble)
    {
        all.set_config(8, other);
        sleep_ms(5'000);
        all.set_config(11, both);
        sleep_ms(2'000); // configApplyMs
    }
    const std::string state = all.wait_for_state(path, "completed", 20'000);
    const std::size_t failed = all.events.count("ended", "failed");
    return verdict(all, state == "failed" && failed < max_attempts,
                   "the job is shown as '" + state + "' after " +
                       std::to_string(failed) +
                       " run that ended failed; maxAttempts is " +
                       std::to_string(max_attempts));
}

std::string path_of(std::uint32_t number)
{
    char text[64];
    std::snprintf(text, sizeof text, "/calc/%08x%08x", number * 2654435761U,
                  number);
    return text;
}

// Returns a job of steps of one task each, which follow one another.
std::string chain_body(int steps)
{
    std::vector<step> chain(static_cast<std::size_t>(steps),
                            step{1, 500, 50, 1'000, ""});
    for (int n = 1; n < steps; ++n)
    {
        chain[static_cast<std::size_t>(n)].more =
            ",\"after\":[" + std::to_string(n - 1) + "]";
    }
    return job_body(chain);
}

// Hands jobs in at the same time. Returns the paths of those accepted.
std::vector<std::string> submit_jobs(deployment& all, std::uint32_t first,
                                     int count, const std::string& body,
                                     std::int64_t pause_ms)
{
    std::mutex mutex;
    std::vector<std::string> accepted;
    std::vector<std::thread> consumers;
    consumers.reserve(static_cast<std::size_t>(count));
    for (int n = 0; n < count; ++n)
    {
        consumers.emplace_back(
            [&, n]
            {
                const std::string path =
                    path_of(first + static_cast<std::uint32_t>(n));
                if (all.submit(path, body) == 200)
                {
                    const std::lock_guard<std::mutex> lock(mutex);
                    accepted.push_back(path);
                }
            });
        sleep_ms(pause_ms);
    }
    for (std::thread& item : consumers)
    {
        item.join();
    }
    return accepted;
}

// Jobs of many small steps come, whose records are larger than a row of the
// store.
int large_jobs(deployment& all)
{
    constexpr int small_jobs = 24;
    constexpr int jobs = 20;
    constexpr int steps = 220;
    all.work = [](const std::string&, std::int64_t)
    {
        return task_work{500, 50, 1'000, "done"};
    };
    for (int n = 0; n < 4; ++n)
    {
        all.add_worker(n < 2 ? "r1-1" : "r1-2", 32'000, 128'000);
    }
    all.set_config(3, deployment::route("calc", 4));
    if (!all.start_hosts(3))
    {
        return not_run;
    }
    // Two steps, so that a job has to be written again after its acceptance.
    const std::string small_body = job_body(
        {{2, 500, 50, 1'000, ""}, {2, 500, 50, 1'000, ",\"after\":[0]"}});
    std::thread burst(
        [&all]
        {
            sleep_ms(1'000);
            if (all.has_trouble)
            {
                (void)submit_jobs(all, 1'000, jobs, chain_body(steps), 0);
            }
        });
    const std::vector<std::string> accepted =
        submit_jobs(all, 1, small_jobs, small_body, 100);
    burst.join();
    // The work of a small job takes 2 s.
    sleep_ms(20'000);
    std::size_t open = 0;
    for (const std::string& path : accepted)
    {
        open += all.state(path) == "completed" ? 0 : 1;
    }
    all.lines.line("transactions that the store refused as too large: " +
                   std::to_string(all.platform.too_large));
    return verdict(all, open > 0,
                   std::to_string(open) + " of " +
                       std::to_string(accepted.size()) +
                       " accepted small jobs are not completed 20 s after the "
                       "last was handed in; " +
                       std::to_string(small_jobs - accepted.size()) + " of " +
                       std::to_string(small_jobs) + " were never accepted");
}

// Gangs run on a worker that fails all that it starts.
int gang_failures(deployment& all)
{
    constexpr int gangs = 24;
    constexpr int members = 8;
    constexpr int max_attempts = 4;
    all.work = [](const std::string&, std::int64_t)
    {
        task_work work{1'000, 100, 1'500, "done", true};
        return work;
    };
    // Two of 16 workers are grey, an eighth; there are two in each rack.
    for (int n = 0; n < 16; ++n)
    {
        all.add_worker("r1-" + std::to_string(1 + n / 2), 32'000, 128'000);
    }
    all.set_config(3, deployment::route("calc", max_attempts));
    if (!all.start_hosts(3))
    {
        return not_run;
    }
    const auto set_grey = [&all](bool is_grey)
    {
        if (all.has_trouble)
        {
            all.workers[0]->is_grey = is_grey;
            all.workers[4]->is_grey = is_grey;
            all.lines.line(
                "workers " + all.workers[0]->id() + " and " +
                all.workers[4]->id() +
                (is_grey ? " fail all that they start" : " are sound again"));
        }
    };
    set_grey(true);
    const std::int64_t grey_until = steady_ms() + 6'500;
    std::vector<std::string> paths;
    for (int n = 0; n < gangs; ++n)
    {
        char text[64];
        std::snprintf(text, sizeof text, "/calc/%08x000000e1", n * 2654435761U);
        paths.emplace_back(text);
        if (all.submit(paths.back(), job_body({{members, 1'000, 100, 1'500,
                                                ",\"gang\":true"}})) != 200)
        {
            return not_run;
        }
        sleep_ms(100);
    }
    sleep_ms(std::max<std::int64_t>(0, grey_until - steady_ms()));
    set_grey(false);
    sleep_ms(15'000);
    // Runs of each gang of which a member ended failed, by job.
    std::map<std::string, std::set<std::int64_t>> failed;
    for (const worker_event& item : all.events.all())
    {
        if (item.what == "ended" && item.how == "failed")
        {
            failed["/calc/" + item.task.substr(0, 16)].insert(item.run);
        }
    }
    int count = 0;
    for (const std::string& path : paths)
    {
        const std::string state = all.state(path);
        if (state == "failed" && failed[path].size() < max_attempts)
        {
            ++count;
            all.lines.line("LOST: " + path + " is shown as failed after " +
                           std::to_string(failed[path].size()) +
                           " failed run(s) of its gang");
        }
    }
    return verdict(all, count > 0,
                   std::to_string(count) + " of " + std::to_string(gangs) +
                       " jobs are shown as failed before their gang has "
                       "failed " +
                       std::to_string(max_attempts) + " times");
}

// Starts wait behind unanswered orders, and their jobs are cancelled meanwhile.
int cancelled_starts(deployment& all)
{
    constexpr int jobs = 12;
    constexpr std::int64_t cancel_ms = 3'000;
    all.work = [](const std::string&, std::int64_t)
    {
        return task_work{500, 100, 8'000, "done"};
    };
    all.add_worker("r1-1", 32'000, 128'000);
    all.set_config(3, deployment::route("calc", 4));
    if (!all.start_hosts(3))
    {
        return not_run;
    }
    const std::int64_t late_until = steady_ms() + 6'200;
    if (all.has_trouble)
    {
        all.workers[0]->is_late = true;
        all.lines.line("worker " + all.workers[0]->id() +
                       " leaves half of the orders unanswered");
    }
    if (all.submit("/calc/00000000000000f0",
                   job_body({{20, 500, 100, 8'000, ""}})) != 200)
    {
        return not_run;
    }
    sleep_ms(300);
    std::map<std::string, std::int64_t> acknowledged; // by job
    const auto id_of = [](int n)
    {
        return "00000000000000" + std::to_string(11 + n);
    };
    for (int n = 0; n < jobs; ++n)
    {
        if (all.submit("/calc/" + id_of(n),
                       job_body({{4, 500, 100, 8'000, ""}})) != 200)
        {
            return not_run;
        }
    }
    sleep_ms(300);
    for (int n = 0; n < jobs; ++n)
    {
        if (all.send(*all.hosts[0], "DELETE", "/calc/" + id_of(n)).status !=
            200)
        {
            return not_run;
        }
        acknowledged[id_of(n)] = steady_ms();
    }
    sleep_ms(std::max<std::int64_t>(0, late_until - steady_ms()));
    all.workers[0]->is_late = false;
    all.lines.line("worker " + all.workers[0]->id() + " answers all orders");
    sleep_ms(20'000);
    int count = 0;
    for (const worker_event& item : all.events.all())
    {
        const auto ack = acknowledged.find(item.task.substr(0, 16));
        if (item.what == "begun" && !item.is_late &&
            ack != acknowledged.end() && item.at > ack->second + cancel_ms)
        {
            ++count;
            all.lines.line("UNASKED: " + item.task + " began " +
                           std::to_string(item.at - ack->second) +
                           " ms after the cancelling of its job had been "
                           "acknowledged");
        }
    }
    return verdict(all, count > 0,
                   std::to_string(count) + " of " + std::to_string(4 * jobs) +
                       " tasks of cancelled jobs were started more than " +
                       std::to_string(cancel_ms) + " ms after the ack");
}

host* owner_of(deployment& all, const std::string& resource)
{
    const std::string row = all.platform.value_of("cluster", resource);
    for (const std::unique_ptr<host>& item : all.hosts)
    {
        if (row.find("\"" + item->name + "\"") != std::string::npos)
        {
            return item.get();
        }
    }
    return nullptr;
}

// The store turns away the host that gives the orders, and a worker crashes
// after some of its runs have failed.
int late_report(deployment& all)
{
    constexpr int jobs = 30;
    // The first run of each task fails after 4 s, later starts take 12 s.
    std::mutex mutex;
    std::set<std::string> started;
    all.work = [&](const std::string& task, std::int64_t)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        const bool is_first = started.insert(task).second;
        return task_work{500, 100, is_first ? 4'000 : 12'000,
                         is_first ? "failed" : "done"};
    };
    all.add_worker("r1-1", 32'000, 128'000);
    all.add_worker("r1-1", 32'000, 128'000);
    all.set_config(3, deployment::route("calc", 4));
    if (!all.start_hosts(3))
    {
        return not_run;
    }
    for (int n = 0; n < jobs; ++n)
    {
        if (all.submit(path_of(static_cast<std::uint32_t>(n + 1)),
                       job_body({{1, 500, 100, 4'000, ""}})) != 200)
        {
            return not_run;
        }
    }
    host* const away = owner_of(all, "rack/r1-1");
    if (away == nullptr)
    {
        return not_run;
    }
    if (all.has_trouble)
    {
        sleep_ms(2'500);
        away->is_turned_away = true;
        all.lines.line("store: turns " + away->name + " away (503)");
        const std::int64_t until = steady_ms() + 9'000;
        sleep_ms(2'200); // the first runs have failed meanwhile
        all.workers[0]->crash();
        all.lines.line("worker " + all.workers[0]->id() + " crashes");
        sleep_ms(500);
        all.workers[0]->restart();
        all.lines.line("worker " + all.workers[0]->id() +
                       " is back under its id");
        sleep_ms(std::max<std::int64_t>(0, until - steady_ms()));
        away->is_turned_away = false;
        all.lines.line("store: serves " + away->name + " again");
    }
    sleep_ms(30'000);
    const int count = count_twice(all);
    return verdict(all, count > 0,
                   std::to_string(count) + " of " + std::to_string(jobs) +
                       " tasks ran twice");
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4)
    {
        return not_run;
    }
    const std::string name = argv[1];
    int result = not_run;
    try
    {
        auto* const all = new deployment(argv[2], argv[3]);
        if (name == "late_report")
        {
            result = late_report(*all);
        }
        else if (name == "many_ends")
        {
            result = many_ends(*all, false);
        }
        else if (name == "many_ends_kill")
        {
            result = many_ends(*all, true);
        }
        else if (name == "removed_route")
        {
            result = removed_route(*all);
        }
        else if (name == "large_jobs")
        {
            result = large_jobs(*all);
        }
        else if (name == "cancelled_starts")
        {
            result = cancelled_starts(*all);
        }
        else if (name == "gang_failures")
        {
            result = gang_failures(*all);
        }
        all->finish();
        std::fflush(nullptr);
    }
    catch (const std::exception& ex)
    {
        std::fprintf(stderr, "%s\n", ex.what());
    }
    // Server threads of the stand-ins still run.
    std::_Exit(result);
}
