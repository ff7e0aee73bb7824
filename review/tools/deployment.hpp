// A small deployment: the project's own entry hosts as separate processes,
// started as deploy/system.toml says, and stand-ins in this process.
#pragma once

#include "platform.hpp"

#include <filesystem>

namespace review
{

struct step
{
    std::int64_t count = 1;
    std::int64_t cpu = 1'000;
    std::int64_t memory_mb = 10;
    std::int64_t estimate_ms = 1'000;
    std::string more; // further members, such as `,"gang":true`
};

inline std::string job_body(const std::vector<step>& steps,
                            const std::string& spec = "x")
{
    std::string text = "{\"spec\":" + quote(spec) + ",\"steps\":[";
    for (std::size_t n = 0; n < steps.size(); ++n)
    {
        const step& item = steps[n];
        text += (n == 0 ? "" : ",") + std::string("{\"count\":") +
                std::to_string(item.count) +
                ",\"cpu\":" + std::to_string(item.cpu) +
                ",\"memMb\":" + std::to_string(item.memory_mb) +
                ",\"estimateMs\":" + std::to_string(item.estimate_ms) +
                item.more + "}";
    }
    return text + "]}";
}

struct host
{
    std::string name;
    std::string zone;
    std::string front;
    std::string ready;
    std::string peer;
    std::string settings;
    std::string store; // address of the store for this host
    std::atomic<bool> is_turned_away{false}; // by the store, with 503
    std::unique_ptr<http_server> store_server;
    child process;
};

class deployment
{
public:
    // `top` is the repository, `folder` that of the case.
    deployment(std::string top, const std::string& folder)
        : lines(folder + "/record.txt"), events(lines), top_(std::move(top))
    {
        char name[] = "/tmp/egretspindle-review-XXXXXX";
        directory_ = mkdtemp(name);
        const char* trouble = std::getenv("TROUBLE");
        has_trouble = trouble == nullptr || std::string(trouble) != "0";
        lines.line(has_trouble ? "with the disruption"
                               : "TROUBLE=0: without the disruption");
    }

    // Ends all processes and removes their files. The threads of the stand-ins
    // run until the end of this process, so that a deployment is not destroyed.
    void finish()
    {
        for (const std::unique_ptr<host>& item : hosts)
        {
            item->process.kill();
        }
        std::error_code ec;
        if (std::getenv("KEEP_LOGS") == nullptr)
        {
            std::filesystem::remove_all(directory_, ec);
        }
        else
        {
            std::fprintf(stderr, "logs: %s\n", directory_.c_str());
        }
    }

    void add_worker(const std::string& rack, std::int64_t cpu,
                    std::int64_t memory_mb)
    {
        static int number = 0;
        char id[32];
        std::snprintf(id, sizeof id, "5e7a%012x", ++number);
        workers.push_back(std::make_unique<worker>(
            id, "a", rack, cpu, memory_mb,
            [this](const std::string& task, std::int64_t run)
            { return work(task, run); },
            events));
        workers.back()->on_gang_end =
            [this](const std::string& step, std::int64_t run)
        {
            const std::lock_guard<std::mutex> lock(gang_mutex_);
            ended_gangs_.emplace(step, run);
        };
    }

    void set_config(std::int64_t version, const std::string& routes)
    {
        platform.put("op", "config",
                     "{\"version\":" + std::to_string(version) +
                         ",\"routes\":[" + routes +
                         "],\"services\":[{\"name\":\"work\","
                         "\"rejectsOverload\":true}],\"limits\":{}}");
        lines.line("operator: configuration " + std::to_string(version) +
                   " acknowledged, routes [" + routes + "]");
    }

    static std::string route(const std::string& name, int max_attempts)
    {
        return "{\"name\":\"" + name +
               "\",\"host\":\"jobs.example\",\"pathPrefix\":\"/" + name +
               "/\",\"service\":\"work\",\"priority\":1,\"maxAttempts\":" +
               std::to_string(max_attempts) +
               ",\"stretch\":2,\"targetDurationMs\":2000,\"timeoutMs\":3000}";
    }

    // Starts hosts and waits until all report that they are ready.
    bool start_hosts(int count)
    {
        std::thread([this] { register_loop(); }).detach();
        for (int n = 0; n < count; ++n)
        {
            auto item = std::make_unique<host>();
            item->name = "front-a-" + std::to_string(n + 1);
            item->zone = "a";
            item->front = free_address();
            item->ready = free_address();
            item->peer = free_address();
            item->store = free_address();
            item->store_server = std::make_unique<http_server>(
                item->store,
                [this, at = item.get()](const http_message& request,
                                        int& status, std::string& body)
                {
                    if (at->is_turned_away)
                    {
                        status = 503;
                        body = "{}";
                        return true;
                    }
                    return platform.handle(request, status, body);
                });
            item->settings = directory_ + "/" + item->name + ".toml";
            write_settings(*item);
            start(*item);
            hosts.push_back(std::move(item));
        }
        const std::int64_t until = steady_ms() + 20'000;
        for (const std::unique_ptr<host>& item : hosts)
        {
            while (!is_ready(*item))
            {
                if (steady_ms() > until)
                {
                    lines.line(item->name + " did not become ready");
                    return false;
                }
                sleep_ms(100);
            }
        }
        sleep_ms(3'000); // racks are taken over and workers are listed
        return true;
    }

    void start(host& item)
    {
        item.process.start(top_, "target/bin/egretspindle", item.settings,
                           directory_ + "/" + item.name + ".log");
        lines.line(item.name + " started");
    }

    void kill(host& item)
    {
        item.process.kill();
        lines.line(item.name + " killed (SIGKILL)");
    }

    static bool is_ready(const host& item)
    {
        return call(item.ready, "GET", "/egretspindle/ready", "x", "", 500)
                   .status == 200;
    }

    // Sends a call of a consumer once and records it.
    http_message send(const host& to, const std::string& method,
                      const std::string& path, const std::string& body = "",
                      bool is_shown = true)
    {
        if (is_shown)
        {
            lines.line("consumer: " + method + " " + path + " to " + to.name +
                       (body.size() > 300
                            ? " (" + std::to_string(body.size()) + " bytes)"
                            : " " + body));
        }
        const http_message answer =
            call(to.front, method, path, "jobs.example", body, 3'000,
                 "Egretspindle-Deadline-Ms: 3000\r\n");
        if (is_shown)
        {
            lines.line(
                "consumer: answer to " + method + " " + path + ": " +
                (answer.status == 0 ? "none" : std::to_string(answer.status)) +
                " " + answer.body);
        }
        return answer;
    }

    // Hands a job in as a consumer does: the same id again, at another host,
    // after no answer, 429, 502, 503 or 504. Returns the last status.
    int submit(const std::string& path, const std::string& body,
               int attempts = 5, bool is_shown = true)
    {
        int status = 0;
        for (int n = 0; n < attempts; ++n)
        {
            status = send(*hosts[next_++ % hosts.size()], "POST", path, body,
                          is_shown)
                         .status;
            if (status == 200 || status == 400 || status == 404)
            {
                break;
            }
            sleep_ms(1'000);
        }
        return status;
    }

    // Returns the state of a job by the first host that tells it; empty: none.
    std::string state(const std::string& path, bool is_shown = true)
    {
        for (std::size_t n = 0; n < hosts.size(); ++n)
        {
            const http_message answer =
                send(*hosts[next_++ % hosts.size()], "GET", path, "", is_shown);
            const std::size_t at = answer.body.find("\"state\":\"");
            if (answer.status == 200 && at != std::string::npos)
            {
                const std::size_t from = at + 9;
                return answer.body.substr(from,
                                          answer.body.find('"', from) - from);
            }
            if (answer.status == 410 || answer.status == 404)
            {
                return std::to_string(answer.status);
            }
        }
        return "";
    }

    // Waits until a job has a state, or for the given time.
    std::string wait_for_state(const std::string& path,
                               const std::string& wanted, std::int64_t ms)
    {
        const std::int64_t until = steady_ms() + ms;
        std::string last;
        for (;;)
        {
            const std::string now = state(path, false);
            if (now != last)
            {
                lines.line(std::string("consumer: ").append(path) +
                           " is shown as '" + now + "'");
                last = now;
            }
            if (now == wanted || steady_ms() > until)
            {
                return now;
            }
            sleep_ms(300);
        }
    }

    record lines;
    event_log events;
    store platform;
    bool has_trouble = true;
    std::function<task_work(const std::string& task, std::int64_t run)> work;
    std::vector<std::unique_ptr<worker>> workers;
    std::vector<std::unique_ptr<host>> hosts;

private:
    void write_settings(const host& item)
    {
        std::ifstream in(top_ + "/deploy/settings.toml.template");
        std::string text{std::istreambuf_iterator<char>(in), {}};
        const std::size_t colon = item.peer.find(':');
        const std::vector<std::pair<std::string, std::string>> values{
            {"nodeName", item.name},
            {"zone", item.zone},
            {"listenAddrs.front", item.front},
            {"listenAddrs.ready", item.ready},
            {"ip", item.peer.substr(0, colon)},
            {"portRange.0", item.peer.substr(colon + 1)},
            {"platform.address", item.store},
            {"platform.across|json", "true"},
            {"bounds.maxHoldMs", "10000"},
            {"bounds.thawSlackMs", "300"},
            {"bounds.drainMs", "2000"},
            {"limits.cpuShare", "0.25"}};
        for (const auto& [name, value] : values)
        {
            const std::string mark = "{{" + name + "}}";
            for (std::size_t at = text.find(mark); at != std::string::npos;
                 at = text.find(mark))
            {
                text.replace(at, mark.size(), value);
            }
        }
        std::ofstream(item.settings) << text;
    }

    // Workers write their entries every 1,100 ms.
    void register_loop()
    {
        std::int64_t next = 0;
        for (;;)
        {
            for (const std::unique_ptr<worker>& item : workers)
            {
                item->advance();
            }
            std::set<std::pair<std::string, std::int64_t>> ended;
            {
                const std::lock_guard<std::mutex> lock(gang_mutex_);
                ended.swap(ended_gangs_);
            }
            for (const auto& [step, run] : ended)
            {
                for (const std::unique_ptr<worker>& item : workers)
                {
                    item->break_gang(step, run);
                }
            }
            if (steady_ms() >= next)
            {
                next = steady_ms() + 1'100;
                for (const std::unique_ptr<worker>& item : workers)
                {
                    if (!platform.is_down && !item->is_dead())
                    {
                        platform.put("servers", item->id(), item->entry());
                    }
                }
            }
            sleep_ms(10);
        }
    }

    std::mutex gang_mutex_;
    std::set<std::pair<std::string, std::int64_t>> ended_gangs_;
    std::string top_;
    std::string directory_;
    std::atomic<std::size_t> next_{0};
};

// --- checks ------------------------------------------------------------------

// TWICE: a start after a run of the task has ended `done`, if that end is taken
// note of then or later; or two runs of a task at the same time. Returns the
// number of tasks concerned.
inline int count_twice(deployment& all)
{
    struct history
    {
        std::vector<std::pair<std::int64_t, std::int64_t>> begun; // at, run
        std::map<std::int64_t, worker_event> ended;               // by run
        std::set<std::int64_t> noted;                             // runs
    };
    std::map<std::string, history> tasks;
    for (const worker_event& item : all.events.all())
    {
        history& task = tasks[item.task];
        if (item.what == "begun")
        {
            task.begun.emplace_back(item.at, item.run);
        }
        else if (item.what == "ended")
        {
            task.ended[item.run] = item;
        }
        else if (!item.is_lapsed)
        {
            task.noted.insert(item.run);
        }
    }
    int count = 0;
    for (const auto& [name, task] : tasks)
    {
        std::string fault;
        for (const auto& [run, end] : task.ended)
        {
            for (const auto& [at, other] : task.begun)
            {
                if (other != run && end.how == "done" && at > end.at &&
                    task.noted.count(run) > 0)
                {
                    fault = "run " + std::to_string(other) + " began " +
                            std::to_string(at - end.at) + " ms after run " +
                            std::to_string(run) +
                            " had ended done, and that end was noted";
                }
            }
        }
        for (const auto& [at, run] : task.begun)
        {
            for (const auto& [later, other] : task.begun)
            {
                const auto end = task.ended.find(run);
                if (run != other && later >= at &&
                    (end == task.ended.end() || end->second.at > later))
                {
                    fault = "runs " + std::to_string(run) + " and " +
                            std::to_string(other) + " at the same time";
                }
            }
        }
        if (!fault.empty())
        {
            ++count;
            all.lines.line(std::string("TWICE: ").append(name) + ": " + fault);
        }
    }
    return count;
}

} // namespace review
