// Stand-ins for workers: they run tasks under leases, list their runs and ends,
// and register in the store.
//
// The `spec` of a job says what its tasks do: words `cpu=`, `mem=` (as in the
// steps of the job), `ms=` (work) and `gang=` (members; 0: no gang).
#pragma once

#include "store.hpp"

namespace review
{

struct run_record
{
    string task;
    int64_t run = 0;
    string worker;
    string kind; // first label of the boot that began the run
    int64_t begun = 0;
    int64_t ended = -1;
    string how;
    int64_t acked = -1;     // its end was taken note of
    bool is_lapsed = false; // the lease lapsed between the end and that
    bool is_late = false;   // begun by an order that was carried out late
    int64_t token = 0;
};

struct worker_options
{
    string id;
    string zone;
    string rack;
    string kind = "general";
    string service = "work";
    int64_t cpu = 32'000;
    int64_t mem = 125'000;
    unsigned short port = 0;
};

// Orders that stay unanswered and are carried out late.
struct late_orders
{
    double share = 0;
    int64_t until = 0; // on the clock of the case
};

class fleet
{
public:
    fleet(store& rows, recorder& record, unsigned seed)
        : rows_(rows), record_(record), random_(seed)
    {
    }

    ~fleet()
    {
        is_stopping_ = true;
        if (ticker_.joinable())
        {
            ticker_.join();
        }
        for (auto& [id, item] : workers_)
        {
            item->listener->stop();
        }
    }

    void add(const worker_options& options)
    {
        auto item = std::make_unique<worker>();
        item->options = options;
        worker* const self = item.get();
        item->listener =
            std::make_unique<server>("127.0.0.1", options.port,
                                     [this, self](const request_t& request)
                                     { return handle(*self, request); });
        workers_[options.id] = std::move(item);
        boot(options.id, options.kind);
    }

    void start()
    {
        ticker_ = std::thread([this] { tick(); });
    }

    // Ends a boot and all that runs there at once. Nothing listens then.
    void crash(const string& id)
    {
        worker& item = *workers_.at(id);
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            item.is_up = false;
            for (const auto& [name, index] : item.running)
            {
                end(item, index, "crashed", false);
            }
            item.running.clear();
            item.ends.clear();
            changed_.notify_all();
        }
        item.listener->stop();
        record_.write("worker " + id + " crashes");
    }

    void boot(const string& id, const string& kind)
    {
        worker& item = *workers_.at(id);
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            item.options.kind = kind;
            item.is_up = true;
            ++item.boots;
            item.born = std::max(item.born + 1, unix_ms());
            item.booted = steady_ms();
            item.token = 0;
            item.lease_until = 0;
            item.last_end = 0;
            item.highest.clear();
            register_worker(item); // before it takes any order
        }
        item.listener->start();
        record_.write("worker " + id + " starts, kind " + kind);
    }

    // A worker that fails all that it starts.
    void set_failing(const string& id, bool is_failing)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        workers_.at(id)->is_failing = is_failing;
        record_.write(
            "worker " + id +
            (is_failing ? " fails all that it starts" : " works again"));
    }

    void set_late_orders(const late_orders& late)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        late_ = late;
    }

    std::vector<run_record> runs()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return runs_;
    }

    // Returns the free processors and memory of the workers that are up.
    std::vector<std::pair<int64_t, int64_t>> room()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::vector<std::pair<int64_t, int64_t>> free;
        for (const auto& [id, item] : workers_)
        {
            if (item->is_up)
            {
                free.emplace_back(item->options.cpu - used(*item, "cpu"),
                                  item->options.mem - used(*item, "mem"));
            }
        }
        return free;
    }

    // Returns the largest number of ends that a worker has listed at a time.
    std::size_t longest_list() const
    {
        return longest_list_;
    }

    int64_t unanswered() const
    {
        return unanswered_;
    }

private:
    static constexpr int64_t longest_lease = 10'000;
    static constexpr int64_t gang_wait = 3'000;
    static constexpr int64_t stop_time = 100;
    static constexpr int64_t beat = 1'100;
    static constexpr std::size_t ends_per_answer = 500;

    using run_name = std::pair<string, int64_t>;

    struct listed_end
    {
        int64_t number = 0;
        std::size_t index = 0; // in `runs_`
    };

    struct worker
    {
        worker_options options;
        std::unique_ptr<server> listener;
        bool is_up = false;
        bool is_failing = false;
        int boots = 0;
        int64_t born = 0;
        int64_t booted = 0;
        int64_t registered = 0;
        int64_t sequence = 0;
        int64_t token = 0;
        int64_t lease_until = 0; // on the clock of this boot; 0: none
        int64_t last_end = 0;
        std::map<run_name, std::size_t> running; // index in `runs_`
        std::map<string, int64_t> highest; // run stopped or ended, by task
        std::deque<listed_end> ends;
    };

    struct live
    {
        int64_t cpu = 0;
        int64_t mem = 0;
        int64_t work = 0;
        int64_t gang = 0;
        int64_t ends_at = 0; // steady time; 0: a gang that is not complete
        string outcome = "done";
        string gang_name;
    };

    static int64_t word(const string& spec, const string& name)
    {
        std::istringstream in(spec);
        for (string item; in >> item;)
        {
            if (item.compare(0, name.size() + 1, name + "=") == 0)
            {
                return std::stoll(item.substr(name.size() + 1));
            }
        }
        return 0;
    }

    int64_t used(const worker& item, const string& what) const
    {
        int64_t sum = 0;
        for (const auto& [name, index] : item.running)
        {
            const live& run = live_.at(index);
            sum += what == "cpu" ? run.cpu : run.mem;
        }
        return sum;
    }

    static int64_t clock_of(const worker& item)
    {
        return steady_ms() - item.booted;
    }

    static string head(const worker& item)
    {
        return "{\"clockMs\":" + std::to_string(clock_of(item));
    }

    void register_worker(worker& item)
    {
        item.registered = steady_ms();
        const worker_options& options = item.options;
        string text =
            "{\"service\":" + quote(options.service) +
            ",\"address\":\"127.0.0.1:" + std::to_string(options.port) +
            "\",\"zone\":" + quote(options.zone) +
            ",\"version\":\"v1\",\"slots\":8,\"state\":\"" +
            "ready\",\"coldRemainingMs\":0,\"capacity\":{\"cpu\":" +
            std::to_string(options.cpu) +
            ",\"memMb\":" + std::to_string(options.mem) +
            ",\"gpu\":0},\"labels\":[" + quote(options.kind) + "," +
            quote(options.rack) +
            "],\"clockMs\":" + std::to_string(clock_of(item)) +
            ",\"born\":" + std::to_string(item.born) +
            ",\"seq\":" + std::to_string(++item.sequence);
        rows_.put("servers", options.id, text + "}");
    }

    void end(worker& item, std::size_t index, string how, bool is_listed)
    {
        run_record& run = runs_[index];
        run.ended = record_.now();
        run.how = how;
        live_.erase(index);
        record_.write("ended    " + run.task + " run " +
                      std::to_string(run.run) + " on " + run.worker + ": " +
                      how);
        if (is_listed)
        {
            int64_t& highest = item.highest[run.task];
            highest = std::max(highest, run.run);
            item.ends.push_back({++item.last_end, index});
            longest_list_ = std::max(longest_list_.load(), item.ends.size());
        }
    }

    void advance(worker& item, int64_t now)
    {
        if (!item.is_up)
        {
            return;
        }
        bool has_ended = false;
        for (auto it = item.running.begin(); it != item.running.end();)
        {
            const live& run = live_.at(it->second);
            if (run.ends_at > 0 && run.ends_at <= now)
            {
                end(item, it->second, run.outcome, true);
                it = item.running.erase(it);
                has_ended = true;
            }
            else
            {
                ++it;
            }
        }
        if (item.lease_until > 0 && item.booted + item.lease_until <= now)
        {
            item.lease_until = 0;
            for (const listed_end& listed : item.ends)
            {
                runs_[listed.index].is_lapsed = true;
            }
            for (const auto& [name, index] : item.running)
            {
                end(item, index, "lapsed", true);
            }
            has_ended |= !item.running.empty();
            item.running.clear();
        }
        if (has_ended)
        {
            changed_.notify_all();
        }
    }

    // Lets gangs work whose members are all there, and ends the others.
    void advance_gangs(int64_t now)
    {
        std::map<string, std::vector<std::size_t>> members;
        for (const auto& [index, run] : live_)
        {
            if (run.gang > 0)
            {
                members[run.gang_name].push_back(index);
            }
        }
        for (const auto& [name, indexes] : members)
        {
            const bool is_complete = static_cast<int64_t>(indexes.size()) ==
                                     live_.at(indexes.front()).gang;
            const bool was_complete = complete_gangs_.count(name) > 0;
            for (const std::size_t index : indexes)
            {
                live& run = live_.at(index);
                if (is_complete && !was_complete)
                {
                    run.ends_at = now + run.work;
                }
                else if (was_complete && !is_complete &&
                         run.outcome == "done" && run.ends_at > now)
                {
                    run.outcome = "broken";
                    run.ends_at = now;
                }
                else if (!was_complete && !is_complete && run.ends_at == 0 &&
                         record_.now() - runs_[index].begun > gang_wait)
                {
                    run.outcome = "alone";
                    run.ends_at = now;
                }
            }
            if (is_complete)
            {
                complete_gangs_.insert(name);
            }
        }
    }

    void tick()
    {
        while (!is_stopping_)
        {
            {
                const std::lock_guard<std::mutex> lock(mutex_);
                const int64_t now = steady_ms();
                advance_gangs(now);
                for (auto& [id, item] : workers_)
                {
                    advance(*item, now);
                    if (item->is_up && now - item->registered >= beat)
                    {
                        register_worker(*item);
                    }
                    // The entry goes after three intervals of silence.
                    if (!item->is_up && item->registered > 0 &&
                        now - item->registered >= 3 * beat)
                    {
                        rows_.remove("servers", id);
                        item->registered = 0;
                    }
                }
            }
            sleep_ms(5);
        }
    }

    void renew(worker& item, int64_t until)
    {
        if (until > 0)
        {
            item.lease_until =
                std::max(item.lease_until,
                         std::min(until, clock_of(item) + longest_lease));
        }
    }

    answer refuse(const worker& item, const string& reason)
    {
        return {409, head(item) + ",\"reason\":\"" + reason + "\"}"};
    }

    // Called with the lock. Returns whether the token is new enough.
    bool admit(worker& item, int64_t token)
    {
        advance(item, steady_ms());
        if (token < item.token)
        {
            return false;
        }
        item.token = token;
        return true;
    }

    answer start_run(worker& item, const rapidjson::Value& tree, bool is_late)
    {
        const int64_t token = number_of(tree, "fencingToken");
        if (!admit(item, token))
        {
            return refuse(item, "fence");
        }
        const string task = text_of(tree, "task");
        const string spec = text_of(tree, "spec");
        const int64_t number = number_of(tree, "run");
        const int64_t deadline = number_of(tree, "deadlineMs");
        if (deadline <= clock_of(item))
        {
            return refuse(item, "late");
        }
        renew(item, deadline);
        if (item.running.count({task, number}) > 0)
        {
            return {200, head(item) + "}"};
        }
        const auto highest = item.highest.find(task);
        const auto later = item.running.upper_bound({task, number});
        if ((highest != item.highest.end() && number <= highest->second) ||
            (later != item.running.end() && later->first.first == task))
        {
            return refuse(item, "old");
        }
        live run;
        run.cpu = word(spec, "cpu");
        run.mem = word(spec, "mem");
        run.work = word(spec, "ms");
        run.gang = word(spec, "gang");
        if (used(item, "cpu") + run.cpu > item.options.cpu ||
            used(item, "mem") + run.mem > item.options.mem)
        {
            return refuse(item, "room");
        }
        if (item.is_failing)
        {
            run.outcome = "failed";
            run.work /= 2;
        }
        if (run.gang == 0)
        {
            run.ends_at = steady_ms() + run.work;
        }
        run.gang_name =
            task.substr(0, task.rfind('.')) + "/" + std::to_string(number);
        const std::size_t index = runs_.size();
        runs_.push_back({task, number, item.options.id, item.options.kind,
                         record_.now(), -1, "", -1, false, is_late, token});
        live_[index] = run;
        item.running[{task, number}] = index;
        record_.write("begun    " + task + " run " + std::to_string(number) +
                      " on " + item.options.id + " kind " + item.options.kind +
                      " token " + std::to_string(token) +
                      (is_late ? ", carried out late" : ""));
        return {200, head(item) + "}"};
    }

    answer stop_run(worker& item, const rapidjson::Value& tree)
    {
        if (!admit(item, number_of(tree, "fencingToken")))
        {
            return refuse(item, "fence");
        }
        const string task = text_of(tree, "task");
        const int64_t number = number_of(tree, "run");
        int64_t& highest = item.highest[task];
        highest = std::max(highest, number);
        for (auto it = item.running.lower_bound({task, 0});
             it != item.running.end() && it->first.first == task &&
             it->first.second <= number;
             ++it)
        {
            live& run = live_.at(it->second);
            run.outcome = "stopped";
            run.ends_at = steady_ms() + stop_time;
        }
        return {200, head(item) + "}"};
    }

    answer hold(worker& item, const rapidjson::Value& tree,
                std::unique_lock<std::mutex>& lock)
    {
        if (!admit(item, number_of(tree, "fencingToken")))
        {
            return refuse(item, "fence");
        }
        const int64_t cursor = number_of(tree, "ackCursor");
        while (!item.ends.empty() && item.ends.front().number <= cursor)
        {
            run_record& run = runs_[item.ends.front().index];
            run.acked = record_.now();
            record_.write("noted    " + run.task + " run " +
                          std::to_string(run.run) + " on " + run.worker + ": " +
                          run.how);
            item.ends.pop_front();
        }
        renew(item, number_of(tree, "deadlineMs"));
        const int boots = item.boots;
        const auto until = std::chrono::steady_clock::now() +
                           std::chrono::milliseconds(std::min<int64_t>(
                               2'000, number_of(tree, "waitMs")));
        changed_.wait_until(lock, until,
                            [&]
                            {
                                return !item.ends.empty() || !item.is_up ||
                                       item.boots != boots || is_stopping_;
                            });
        if (!item.is_up || item.boots != boots)
        {
            return {421, "{}", true};
        }
        string text = head(item) + ",\"born\":" + std::to_string(item.born) +
                      ",\"running\":[";
        bool is_first = true;
        for (const auto& [name, index] : item.running)
        {
            text += string(is_first ? "" : ",") + "[" + quote(name.first) +
                    "," + std::to_string(name.second) + ",\"\",50," +
                    std::to_string(live_.at(index).cpu) + "]";
            is_first = false;
        }
        text += "],\"finished\":[";
        for (std::size_t n = 0; n < std::min(item.ends.size(), ends_per_answer);
             ++n)
        {
            const run_record& run = runs_[item.ends[n].index];
            text += string(n == 0 ? "" : ",") + "[" +
                    std::to_string(item.ends[n].number) + "," +
                    quote(run.task) + "," + std::to_string(run.run) + ",\"" +
                    run.how + "\",\"\"]";
        }
        return {200, text + "]}"};
    }

    answer handle(worker& item, const request_t& request)
    {
        rapidjson::Document tree;
        tree.Parse(request.body().c_str(), request.body().size());
        if (tree.HasParseError() || !tree.IsObject())
        {
            return {400, "{}"};
        }
        const string path(request.target());
        const string wanted(request["Egretspindle-Expected-Instance"]);
        if (!wanted.empty() && wanted != item.options.id)
        {
            return {421, "{}"};
        }
        bool is_late = false;
        int64_t delay = 0;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            if (path == "/egretspindle/run-start" &&
                record_.now() < late_.until &&
                std::uniform_real_distribution<>(0, 1)(random_) < late_.share)
            {
                is_late = true;
                delay = std::uniform_int_distribution<int64_t>(2'000,
                                                               12'000)(random_);
                ++unanswered_;
                record_.write("unanswered start " + text_of(tree, "task") +
                              " run " + std::to_string(number_of(tree, "run")) +
                              " on " + item.options.id +
                              ", carried out after " + std::to_string(delay) +
                              " ms");
            }
        }
        if (is_late)
        {
            sleep_ms(delay);
        }
        std::unique_lock<std::mutex> lock(mutex_);
        if (!item.is_up || is_stopping_)
        {
            return {421, "{}", true};
        }
        answer result{404, "{}"};
        if (path == "/egretspindle/run-start")
        {
            result = start_run(item, tree, is_late);
        }
        else if (path == "/egretspindle/run-stop")
        {
            result = stop_run(item, tree);
        }
        else if (path == "/egretspindle/hold")
        {
            result = hold(item, tree, lock);
        }
        else if (path == "/egretspindle/pace")
        {
            result = {200, head(item) + "}"};
        }
        result.is_silent |= is_late;
        return result;
    }

    store& rows_;
    recorder& record_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::mt19937 random_;
    std::map<string, std::unique_ptr<worker>> workers_;
    std::vector<run_record> runs_;
    std::map<std::size_t, live> live_; // by index in `runs_`
    std::set<string> complete_gangs_;
    late_orders late_;
    std::atomic<bool> is_stopping_{false};
    std::atomic<std::size_t> longest_list_{0};
    std::atomic<int64_t> unanswered_{0};
    std::thread ticker_;
};

} // namespace review
