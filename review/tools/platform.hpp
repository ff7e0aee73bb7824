// Stand-in for the users' platform: metadata store and workers, as
// PROTOCOL.md describes them. The scripts change its state by calls.
#pragma once

#include "support.hpp"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace review
{

using json = rapidjson::Document;
using json_value = rapidjson::Value;

inline std::string quote(const std::string& text)
{
    rapidjson::StringBuffer out;
    rapidjson::Writer<rapidjson::StringBuffer> writer(out);
    writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
    return out.GetString();
}

inline std::string text_of(const json_value& tree, const char* name)
{
    const auto it = tree.FindMember(name);
    return it != tree.MemberEnd() && it->value.IsString()
               ? std::string(it->value.GetString(), it->value.GetStringLength())
               : std::string();
}

inline std::int64_t number_of(const json_value& tree, const char* name)
{
    const auto it = tree.FindMember(name);
    return it != tree.MemberEnd() && it->value.IsInt64() ? it->value.GetInt64()
                                                         : 0;
}

inline std::string encode_base64(const std::string& text)
{
    static const char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t n = 0; n < text.size(); n += 3)
    {
        std::uint32_t bits = 0;
        for (std::size_t k = 0; k < 3; ++k)
        {
            bits = bits << 8 | (n + k < text.size()
                                    ? static_cast<unsigned char>(text[n + k])
                                    : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k)
        {
            out +=
                n + k <= text.size() ? digits[bits >> (18 - 6 * k) & 63] : '=';
        }
    }
    return out;
}

inline std::string decode_base64(const std::string& text)
{
    std::string out;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char c : text)
    {
        const int digit = c >= 'A' && c <= 'Z'   ? c - 'A'
                          : c >= 'a' && c <= 'z' ? c - 'a' + 26
                          : c >= '0' && c <= '9' ? c - '0' + 52
                          : c == '+'             ? 62
                          : c == '/'             ? 63
                                                 : -1;
        if (digit < 0)
        {
            break;
        }
        bits = bits << 6U | static_cast<std::uint32_t>(digit);
        count += 6;
        if (count >= 8)
        {
            count -= 8;
            out +=
                static_cast<char>(bits >> static_cast<unsigned>(count) & 255U);
        }
    }
    return out;
}

// Parameter of a path's query, with %XX decoded.
inline std::string query_of(const std::string& path, const std::string& name)
{
    const std::size_t mark = path.find('?');
    if (mark == std::string::npos)
    {
        return {};
    }
    std::istringstream in(path.substr(mark + 1));
    for (std::string item; std::getline(in, item, '&');)
    {
        if (item.compare(0, name.size() + 1, name + "=") != 0)
        {
            continue;
        }
        std::string out;
        for (std::size_t n = name.size() + 1; n < item.size(); ++n)
        {
            if (item[n] == '%' && n + 2 < item.size())
            {
                out += static_cast<char>(
                    std::stoi(item.substr(n + 1, 2), nullptr, 16));
                n += 2;
            }
            else
            {
                out += item[n];
            }
        }
        return out;
    }
    return {};
}

// --- store -------------------------------------------------------------------

class store
{
public:
    static constexpr std::size_t max_row_bytes = 65'536;
    static constexpr std::size_t max_call_bytes = 1'000'000;
    static constexpr std::size_t max_entries = 100;
    static constexpr std::size_t max_page_rows = 500;

    std::atomic<bool> is_down{false}; // answers 503, nothing is done

    // Writes a row of the operator or of a worker.
    void put(const std::string& table, const std::string& key,
             const std::string& value)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++version_;
        set({table, "", key}, encode_base64(value));
        changed_.notify_all();
    }

    void remove(const std::string& table, const std::string& key)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (rows_.erase({table, "", key}) > 0)
        {
            ++version_;
            history_.push_back({{table, "", key}, "", version_, true});
            changed_.notify_all();
        }
    }

    // Returns the value of a row as text, and the part of the row of a key.
    std::string value_of(const std::string& table, const std::string& key)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto it = rows_.find({table, "", key});
        return it == rows_.end() ? "" : decode_base64(it->second.value);
    }

    std::string part_of(const std::string& table, const std::string& key)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const auto& [name, row] : rows_)
        {
            if (std::get<0>(name) == table && std::get<2>(name) == key)
            {
                return std::get<1>(name);
            }
        }
        return "";
    }

    // Refused writes, for the record.
    std::atomic<int> too_large{0};

    bool handle(const http_message& request, int& status, std::string& body)
    {
        body = "{}";
        if (is_down)
        {
            status = 503;
            return true;
        }
        const std::string path = request.path.substr(0, request.path.find('?'));
        if (path == "/egretspindle/rows-tx")
        {
            commit(request.body, status, body);
        }
        else if (path == "/egretspindle/rows-get")
        {
            read(request.path, body);
        }
        else if (path == "/egretspindle/rows-feed")
        {
            feed(request.path, status, body);
        }
        else
        {
            status = 404;
        }
        if (is_down) // went down meanwhile; only reads wait this long
        {
            return path != "/egretspindle/rows-feed";
        }
        return true;
    }

private:
    using name = std::tuple<std::string, std::string, std::string>;
    struct row
    {
        std::string value; // base64
        std::int64_t version = 0;
    };
    struct change
    {
        name key;
        std::string value;
        std::int64_t version = 0;
        bool is_deleted = false;
    };

    void set(const name& key, const std::string& value)
    {
        rows_[key] = {value, version_};
        history_.push_back({key, value, version_, false});
        if (history_.size() > 100'000)
        {
            forgotten_ = history_.front().version;
            history_.pop_front();
        }
    }

    static std::string show(const name& key, const std::string& value,
                            std::int64_t version, bool is_deleted)
    {
        return "{\"table\":" + quote(std::get<0>(key)) +
               ",\"part\":" + quote(std::get<1>(key)) +
               ",\"key\":" + quote(std::get<2>(key)) + ",\"value\":\"" + value +
               "\",\"rowVersion\":" + std::to_string(version) +
               (is_deleted ? ",\"deleted\":true}" : "}");
    }

    std::string close_page(const std::string& rows, bool has_more,
                           std::int64_t version) const
    {
        return "{\"rows\":[" + rows +
               "],\"hasMore\":" + (has_more ? "true" : "false") +
               ",\"rowVersion\":" + std::to_string(version) +
               ",\"nowMs\":" + std::to_string(steady_ms()) + "}";
    }

    static name name_of(const json_value& entry)
    {
        return {text_of(entry, "table"), text_of(entry, "part"),
                text_of(entry, "key")};
    }

    // Returns the status of a refused transaction, otherwise 200.
    int check(const json& tree)
    {
        std::set<std::string> parts;
        std::size_t entries = 0;
        for (const char* list : {"precondition", "writes", "remove"})
        {
            if (!tree.HasMember(list))
            {
                continue;
            }
            for (const json_value& entry : tree[list].GetArray())
            {
                ++entries;
                parts.insert(text_of(entry, "part"));
                const std::string table = text_of(entry, "table");
                const bool is_condition =
                    std::strcmp(list, "precondition") == 0;
                if (!is_condition && (table == "op" || table == "servers"))
                {
                    return 403;
                }
                // Base64 of at most `rowBytes`.
                if (text_of(entry, "value").size() / 4 * 3 > max_row_bytes + 2)
                {
                    ++too_large;
                    return 400;
                }
            }
        }
        const bool is_across = tree.HasMember("across") &&
                               tree["across"].IsBool() &&
                               tree["across"].GetBool();
        return entries <= max_entries && (parts.size() <= 1 || is_across) ? 200
                                                                          : 400;
    }

    void commit(const std::string& text, int& status, std::string& body)
    {
        sleep_ms(3); // txMs
        json tree;
        tree.Parse(text.c_str(), text.size());
        status = 400;
        if (tree.HasParseError() || !tree.IsObject() ||
            text.size() > max_call_bytes)
        {
            too_large += text.size() > max_call_bytes ? 1 : 0;
            return;
        }
        status = check(tree);
        if (status != 200)
        {
            return;
        }
        const std::lock_guard<std::mutex> lock(mutex_);
        std::string current;
        bool is_met = true;
        if (tree.HasMember("precondition"))
        {
            for (const json_value& entry : tree["precondition"].GetArray())
            {
                const name key = name_of(entry);
                const auto it = rows_.find(key);
                is_met &= (it == rows_.end() ? 0 : it->second.version) ==
                          number_of(entry, "rowVersion");
                if (it != rows_.end())
                {
                    current +=
                        (current.empty() ? "" : ",") +
                        show(key, it->second.value, it->second.version, false);
                }
            }
        }
        if (!is_met)
        {
            status = 412;
            body = close_page(current, false, version_);
            return;
        }
        ++version_;
        if (tree.HasMember("writes"))
        {
            for (const json_value& entry : tree["writes"].GetArray())
            {
                set(name_of(entry), text_of(entry, "value"));
            }
        }
        if (tree.HasMember("remove"))
        {
            for (const json_value& entry : tree["remove"].GetArray())
            {
                const name key = name_of(entry);
                if (rows_.erase(key) > 0)
                {
                    history_.push_back({key, "", version_, true});
                }
            }
        }
        status = 200;
        body = close_page("", false, version_);
        changed_.notify_all();
    }

    void read(const std::string& path, std::string& body)
    {
        const std::string table = query_of(path, "table");
        const std::string part = query_of(path, "part");
        const std::string target = query_of(path, "target");
        const std::string limit = query_of(path, "limit");
        const std::size_t most =
            limit.empty()
                ? max_page_rows
                : std::min<std::size_t>(max_page_rows, std::stoul(limit));
        const std::lock_guard<std::mutex> lock(mutex_);
        std::string rows;
        std::size_t count = 0;
        bool has_more = false;
        for (auto it = rows_.lower_bound({table, part, query_of(path, "from")});
             it != rows_.end() && std::get<0>(it->first) == table &&
             std::get<1>(it->first) == part &&
             (target.empty() || std::get<2>(it->first) < target);
             ++it)
        {
            if (count == most || rows.size() > max_call_bytes)
            {
                has_more = true;
                break;
            }
            rows +=
                (count++ == 0 ? "" : ",") +
                show(it->first, it->second.value, it->second.version, false);
        }
        body = close_page(rows, has_more, version_);
    }

    void feed(const std::string& path, int& status, std::string& body)
    {
        const std::string table = query_of(path, "table");
        std::int64_t after = std::atoll(query_of(path, "after").c_str());
        const std::int64_t until =
            steady_ms() + std::atoll(query_of(path, "waitMs").c_str());
        std::unique_lock<std::mutex> lock(mutex_);
        if (after < forgotten_)
        {
            status = 410;
            return;
        }
        for (;;)
        {
            std::string rows;
            std::size_t count = 0;
            std::int64_t last = version_;
            const auto begin =
                std::upper_bound(history_.begin(), history_.end(), after,
                                 [](std::int64_t bound, const change& item)
                                 { return bound < item.version; });
            for (auto it = begin; it != history_.end(); ++it)
            {
                if (std::get<0>(it->key) != table)
                {
                    continue;
                }
                // A page ends between two versions.
                if (count >= max_page_rows && it->version != last)
                {
                    break;
                }
                last = it->version;
                rows += (count++ == 0 ? "" : ",") +
                        show(it->key, it->value, it->version, it->is_deleted);
            }
            const std::int64_t left = until - steady_ms();
            if (count > 0 || left <= 0 || is_down)
            {
                body = close_page(rows, false,
                                  count >= max_page_rows ? last : version_);
                return;
            }
            changed_.wait_for(lock, std::chrono::milliseconds(
                                        std::min<std::int64_t>(left, 200)));
        }
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<name, row> rows_;
    std::deque<change> history_;
    std::int64_t version_ = 0;
    std::int64_t forgotten_ = 0;
};

// --- workers -----------------------------------------------------------------

// What a worker needs to know of a task.
struct task_work
{
    std::int64_t cpu = 1'000; // thousandths of a core
    std::int64_t memory_mb = 1;
    std::int64_t duration_ms = 1'000;
    std::string how = "done";
    bool is_gang = false;
};

struct worker_event
{
    std::int64_t at = 0;
    std::string what; // begun, ended, noted
    std::string worker;
    std::string task;
    std::int64_t run = 0;
    std::string how;
    bool is_lapsed = false; // noted after the lease had lapsed
    bool is_late = false;   // by an order that was carried out late
};

// Events of all workers.
class event_log
{
public:
    explicit event_log(record& lines) : lines_(lines) {}

    void add(worker_event event, bool is_shown = true)
    {
        if (is_shown)
        {
            lines_.line("worker " + event.worker + ": " + event.task + " run " +
                        std::to_string(event.run) + " " + event.what +
                        (event.how.empty() ? "" : " " + event.how) +
                        (event.is_late ? " by an order carried out late" : ""));
        }
        const std::lock_guard<std::mutex> lock(mutex_);
        events_.push_back(std::move(event));
    }

    [[nodiscard]] std::vector<worker_event> all() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return events_;
    }

    [[nodiscard]] std::size_t count(const std::string& what,
                                    const std::string& how = "") const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return static_cast<std::size_t>(std::count_if(
            events_.begin(), events_.end(),
            [&](const worker_event& item)
            { return item.what == what && (how.empty() || item.how == how); }));
    }

private:
    record& lines_;
    mutable std::mutex mutex_;
    std::vector<worker_event> events_;
};

class worker
{
public:
    using work_function =
        std::function<task_work(const std::string& task, std::int64_t run)>;

    worker(std::string id, std::string zone, std::string rack, std::int64_t cpu,
           std::int64_t memory_mb, work_function work, event_log& events)
        : id_(std::move(id)), zone_(std::move(zone)), rack_(std::move(rack)),
          cpu_(cpu), memory_mb_(memory_mb), work_(std::move(work)),
          events_(events), address_(free_address()), born_(unix_ms()),
          started_(steady_ms()),
          server_(address_, [this](const http_message& request, int& status,
                                   std::string& body)
                  { return handle(request, status, body); })
    {
    }

    [[nodiscard]] const std::string& id() const
    {
        return id_;
    }

    std::size_t longest_list = 0; // most ends that were unacknowledged at once
    std::atomic<bool> is_grey{false}; // fails all that it starts
    // Leaves half of the orders unanswered and carries these out after
    // `late_by_ms`.
    std::atomic<bool> is_late{false};
    static constexpr std::int64_t late_by_ms = 10'000;
    // Called when a member of a gang has not ended `done`.
    std::function<void(const std::string& step, std::int64_t run)> on_gang_end;

    // Ends the members of a run of a gang, of which another member has ended.
    void break_gang(const std::string& step, std::int64_t run)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (auto it = runs_.begin(); it != runs_.end();)
        {
            const auto& [task, number] = it->first;
            const bool is_member = it->second.work.is_gang && number == run &&
                                   task.substr(0, task.rfind('.')) == step;
            if (is_member)
            {
                end(it->first, "broken");
            }
            it = is_member ? runs_.erase(it) : std::next(it);
        }
        changed_.notify_all();
    }

    std::string entry()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return "{\"service\":\"work\",\"address\":\"" + address_ +
               "\",\"zone\":\"" + zone_ +
               "\",\"version\":\"1\",\"slots\":8,\"state\":\"ready\","
               "\"coldRemainingMs\":0,\"seq\":" +
               std::to_string(++sequence_) +
               ",\"born\":" + std::to_string(born_) +
               ",\"capacity\":{\"cpu\":" + std::to_string(cpu_) +
               ",\"memMb\":" + std::to_string(memory_mb_) +
               "},\"labels\":[\"a\",\"" + rack_ + "\"]}";
    }

    // Ends the process of the worker: it runs and knows nothing any more, and
    // does not answer.
    void crash()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        is_dead_ = true;
        for (const auto& [key, run] : runs_)
        {
            events_.add(
                {steady_ms(), "ended", id_, key.first, key.second, "crashed"});
        }
        runs_.clear();
        ends_.clear();
        changed_.notify_all();
    }

    // Starts the process again, under the same id and address.
    void restart()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        is_dead_ = false;
        born_ = unix_ms();
        started_ = steady_ms();
        sequence_ = 0;
        token_ = 0;
        lease_ = 0;
        last_end_ = 0;
        highest_.clear();
    }

    [[nodiscard]] bool is_dead()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return is_dead_;
    }

    // Ends what is due.
    void advance()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        advance_locked();
    }

private:
    static constexpr std::int64_t max_hold_ms = 10'000;
    static constexpr std::int64_t stop_grace_ms = 200;
    static constexpr std::size_t ends_per_answer = 500;
    static constexpr std::int64_t failure_period_ms = 500;

    struct live_run
    {
        task_work work;
        std::int64_t began = 0;
        std::int64_t ends = 0;
        std::string how;
    };
    struct listed_end
    {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
        bool is_lapsed = false;
    };

    [[nodiscard]] std::int64_t clock() const
    {
        return steady_ms() - started_;
    }

    void end(const std::pair<std::string, std::int64_t>& key,
             const std::string& how)
    {
        std::int64_t& highest = highest_[key.first];
        highest = std::max(highest, key.second);
        ends_.push_back({++last_end_, key.first, key.second, how, false});
        longest_list = std::max(longest_list, ends_.size());
        events_.add({steady_ms(), "ended", id_, key.first, key.second, how});
    }

    void advance_locked()
    {
        const std::int64_t now = steady_ms();
        bool has_ended = false;
        const bool is_lapsed = lease_ > 0 && clock() >= lease_;
        const bool is_failing = is_grey && now >= next_failure_;
        if (is_failing)
        {
            next_failure_ = now + failure_period_ms;
        }
        for (auto it = runs_.begin(); it != runs_.end();)
        {
            if (it->second.ends <= now || is_lapsed || is_failing)
            {
                const std::string how = is_failing ? "failed"
                                        : it->second.ends <= now
                                            ? it->second.how
                                            : "lapsed";
                const std::string& task = it->first.first;
                end(it->first, how);
                if (it->second.work.is_gang && how != "done" && on_gang_end)
                {
                    on_gang_end(task.substr(0, task.rfind('.')),
                                it->first.second);
                }
                it = runs_.erase(it);
                has_ended = true;
            }
            else
            {
                ++it;
            }
        }
        if (is_lapsed)
        {
            lease_ = 0;
            for (listed_end& item : ends_)
            {
                item.is_lapsed = true;
            }
        }
        if (has_ended)
        {
            changed_.notify_all();
        }
    }

    void renew(std::int64_t until)
    {
        until = std::min(until, clock() + max_hold_ms);
        if (until > clock())
        {
            lease_ = std::max(lease_, until);
        }
    }

    bool handle(const http_message& request, int& status, std::string& body)
    {
        json tree;
        tree.Parse(request.body.c_str(), request.body.size());
        if (tree.HasParseError() || !tree.IsObject())
        {
            status = 400;
            body = "{}";
            return true;
        }
        const auto wanted =
            request.headers.find("egretspindle-expected-instance");
        const bool is_order = request.path != "/egretspindle/hold";
        const bool is_unanswered = is_late && is_order && is_heads();
        if (is_unanswered)
        {
            sleep_ms(late_by_ms);
        }
        std::unique_lock<std::mutex> lock(mutex_);
        if (is_dead_)
        {
            return false;
        }
        advance_locked();
        if (is_unanswered)
        {
            if (wanted == request.headers.end() || wanted->second == id_)
            {
                carry_out_late(request.path, tree);
            }
            return false;
        }
        if (wanted != request.headers.end() && wanted->second != id_)
        {
            status = 421;
            body = "{}";
            return true;
        }
        const std::int64_t token = number_of(tree, "fencingToken");
        std::string reason;
        if (token < token_)
        {
            reason = "fence";
        }
        else
        {
            token_ = token;
            if (request.path == "/egretspindle/hold")
            {
                hold(tree, lock, body);
                return !is_dead_;
            }
            if (request.path == "/egretspindle/run-start")
            {
                reason = start(tree);
            }
            else if (request.path == "/egretspindle/run-stop")
            {
                stop(tree);
            }
        }
        status = reason.empty() ? 200 : 409;
        body = "{\"clockMs\":" + std::to_string(clock()) +
               (reason.empty() ? "}" : ",\"reason\":\"" + reason + "\"}");
        return true;
    }

    bool is_heads()
    {
        const std::lock_guard<std::mutex> lock(random_mutex_);
        return random_() >> 8U & 1U;
    }

    void carry_out_late(const std::string& path, const json& tree)
    {
        const std::int64_t token = number_of(tree, "fencingToken");
        if (token < token_)
        {
            return;
        }
        token_ = token;
        if (path == "/egretspindle/run-start")
        {
            (void)start(tree, true);
        }
        else if (path == "/egretspindle/run-stop")
        {
            stop(tree);
        }
    }

    std::string start(const json& tree, bool is_late_order = false)
    {
        const std::int64_t deadline = number_of(tree, "deadlineMs");
        if (deadline <= clock())
        {
            return "late";
        }
        renew(deadline);
        const std::string task = text_of(tree, "task");
        const std::int64_t run = number_of(tree, "run");
        if (runs_.count({task, run}) > 0)
        {
            return "";
        }
        const auto highest = highest_.find(task);
        if (highest != highest_.end() && run <= highest->second)
        {
            return "old";
        }
        const task_work work = work_(task, run);
        std::int64_t cpu = work.cpu;
        std::int64_t memory_mb = work.memory_mb;
        for (const auto& [key, item] : runs_)
        {
            cpu += item.work.cpu;
            memory_mb += item.work.memory_mb;
        }
        if (cpu > cpu_ || memory_mb > memory_mb_)
        {
            return "room";
        }
        const std::int64_t now = steady_ms();
        runs_[{task, run}] = {work, now, now + work.duration_ms, work.how};
        worker_event event{now, "begun", id_, task, run, ""};
        event.is_late = is_late_order;
        events_.add(std::move(event));
        return "";
    }

    void stop(const json& tree)
    {
        const std::string task = text_of(tree, "task");
        const std::int64_t run = number_of(tree, "run");
        std::int64_t& highest = highest_[task];
        highest = std::max(highest, run);
        for (auto& [key, item] : runs_)
        {
            if (key.first == task && key.second <= run)
            {
                item.how = "stopped";
                item.ends =
                    std::min(item.ends, steady_ms() + stop_grace_ms / 2);
            }
        }
    }

    void hold(const json& tree, std::unique_lock<std::mutex>& lock,
              std::string& body)
    {
        const std::int64_t cursor = number_of(tree, "ackCursor");
        while (!ends_.empty() && ends_.front().number <= cursor)
        {
            const listed_end& item = ends_.front();
            events_.add({steady_ms(), "noted", id_, item.task, item.run,
                         item.how, item.is_lapsed},
                        false);
            ends_.pop_front();
        }
        if (number_of(tree, "deadlineMs") > 0)
        {
            renew(number_of(tree, "deadlineMs"));
        }
        changed_.wait_for(lock,
                          std::chrono::milliseconds(std::clamp<std::int64_t>(
                              number_of(tree, "waitMs"), 0, 2'000)),
                          [this] { return !ends_.empty() || is_dead_; });
        body = "{\"clockMs\":" + std::to_string(clock()) +
               ",\"born\":" + std::to_string(born_) + ",\"running\":[";
        bool is_first = true;
        for (const auto& [key, item] : runs_)
        {
            const std::int64_t length =
                std::max<std::int64_t>(1, item.ends - item.began);
            body += (is_first ? "[\"" : ",[\"") + key.first + "\"," +
                    std::to_string(key.second) + ",\"\"," +
                    std::to_string((steady_ms() - item.began) * 100 / length) +
                    "," + std::to_string(item.work.cpu) + "]";
            is_first = false;
        }
        body += "],\"finished\":[";
        for (std::size_t n = 0; n < std::min(ends_.size(), ends_per_answer);
             ++n)
        {
            const listed_end& item = ends_[n];
            body += (n == 0 ? "[" : ",[") + std::to_string(item.number) +
                    ",\"" + item.task + "\"," + std::to_string(item.run) +
                    ",\"" + item.how + "\",\"\"]";
        }
        body += "]}";
    }

    const std::string id_;
    const std::string zone_;
    const std::string rack_;
    const std::int64_t cpu_;
    const std::int64_t memory_mb_;
    work_function work_;
    event_log& events_;
    const std::string address_;
    std::int64_t born_;
    std::int64_t started_;
    bool is_dead_ = false;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::int64_t sequence_ = 0;
    std::int64_t token_ = 0;
    std::int64_t lease_ = 0;
    std::int64_t last_end_ = 0;
    std::int64_t next_failure_ = 0;
    std::mutex random_mutex_;
    std::minstd_rand random_{7};
    std::map<std::pair<std::string, std::int64_t>, live_run> runs_;
    std::map<std::string, std::int64_t> highest_; // stopped or ended, by task
    std::deque<listed_end> ends_;
    http_server server_;
};

} // namespace review
