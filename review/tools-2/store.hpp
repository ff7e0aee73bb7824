// Stand-in for the platform's metadata store: rows, transactions and the feed.
#pragma once

#include "support.hpp"

namespace review
{

constexpr std::size_t max_row_bytes = 65'536; // `rowBytes` of the settings

inline string encode_base64(const string& text)
{
    static const char* const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    string out;
    for (std::size_t n = 0; n < text.size(); n += 3)
    {
        const std::size_t left = std::min<std::size_t>(3, text.size() - n);
        unsigned value = 0;
        for (std::size_t k = 0; k < 3; ++k)
        {
            value = value << 8U |
                    (k < left ? static_cast<unsigned char>(text[n + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k)
        {
            out += k <= left ? digits[value >> (18 - 6 * k) & 63U] : '=';
        }
    }
    return out;
}

inline std::size_t decoded_size(const string& text)
{
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() &&
           text[text.size() - 1 - padding] == '=')
    {
        ++padding;
    }
    return text.size() / 4 * 3 - padding;
}

class store
{
public:
    struct row
    {
        string table, part, key, value; // value in base64
        int64_t version = 0;
        bool is_deleted = false;
    };

    // For the operator and the workers, whose writes are not limited here.
    void put(const string& table, const string& key, const string& text)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        write({table, "", key, encode_base64(text), ++version_, false});
    }

    void remove(const string& table, const string& key)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        drop({table, "", key, "", ++version_, true});
    }

    answer handle(const request_t& request)
    {
        const string target(request.target());
        const string path = target.substr(0, target.find('?'));
        if (path == "/egretspindle/rows-tx")
        {
            return commit(request.body());
        }
        if (path == "/egretspindle/rows-get")
        {
            return read(target);
        }
        if (path == "/egretspindle/rows-feed")
        {
            return follow(target);
        }
        return {404, "{}"};
    }

private:
    using name = std::tuple<string, string, string>;

    void write(row item)
    {
        rows_[{item.table, item.part, item.key}] = item;
        history_.push_back(std::move(item));
        if (history_.size() > 50'000)
        {
            lost_ = history_.front().version;
            history_.pop_front();
        }
        changed_.notify_all();
    }

    void drop(row item)
    {
        if (rows_.erase({item.table, item.part, item.key}) > 0)
        {
            history_.push_back(std::move(item));
            changed_.notify_all();
        }
    }

    static string to_json(const row& item)
    {
        return "{\"table\":" + quote(item.table) +
               ",\"part\":" + quote(item.part) + ",\"key\":" + quote(item.key) +
               ",\"value\":\"" + item.value +
               "\",\"rowVersion\":" + std::to_string(item.version) +
               (item.is_deleted ? ",\"deleted\":true}" : "}");
    }

    static string page(const std::vector<row>& rows, int64_t version,
                       bool has_more)
    {
        string text = "{\"rows\":[";
        for (std::size_t n = 0; n < rows.size(); ++n)
        {
            text += (n == 0 ? "" : ",") + to_json(rows[n]);
        }
        return text + "],\"rowVersion\":" + std::to_string(version) +
               ",\"nowMs\":" + std::to_string(steady_ms()) +
               ",\"hasMore\":" + (has_more ? "true}" : "false}");
    }

    answer commit(const string& body)
    {
        rapidjson::Document tree;
        tree.Parse(body.c_str(), body.size());
        if (tree.HasParseError() || !tree.IsObject() || body.size() > 1'048'576)
        {
            return {400, "{}"};
        }
        static const rapidjson::Value none(rapidjson::kArrayType);
        const auto list = [&tree](const char* field) -> const rapidjson::Value&
        {
            const auto it = tree.FindMember(field);
            return it != tree.MemberEnd() && it->value.IsArray() ? it->value
                                                                 : none;
        };
        const rapidjson::Value& conditions = list("precondition");
        const rapidjson::Value& writes = list("writes");
        const rapidjson::Value& removals = list("remove");
        std::set<string> parts;
        for (const rapidjson::Value* items : {&conditions, &writes, &removals})
        {
            for (const rapidjson::Value& item : items->GetArray())
            {
                parts.insert(text_of(item, "part"));
                const string table = text_of(item, "table");
                if (items != &conditions &&
                    (table == "op" || table == "servers"))
                {
                    return {403, "{}"};
                }
            }
        }
        const auto across = tree.FindMember("across");
        const bool is_across = across != tree.MemberEnd() &&
                               across->value.IsBool() &&
                               across->value.GetBool();
        if (conditions.Size() + writes.Size() + removals.Size() > 100 ||
            (parts.size() > 1 && !is_across))
        {
            return {400, "{}"};
        }
        for (const rapidjson::Value& item : writes.GetArray())
        {
            if (decoded_size(text_of(item, "value")) > max_row_bytes)
            {
                return {400, "{\"error\":\"a value is larger than rowBytes\"}"};
            }
        }
        sleep_ms(is_across ? 6 : 3);
        const std::lock_guard<std::mutex> lock(mutex_);
        bool is_met = true;
        std::vector<row> current;
        for (const rapidjson::Value& item : conditions.GetArray())
        {
            const auto it =
                rows_.find({text_of(item, "table"), text_of(item, "part"),
                            text_of(item, "key")});
            const int64_t found = it == rows_.end() ? 0 : it->second.version;
            is_met &= found == number_of(item, "rowVersion");
            if (it != rows_.end())
            {
                current.push_back(it->second);
            }
        }
        if (!is_met)
        {
            return {412, page(current, version_, false)};
        }
        ++version_;
        for (const rapidjson::Value& item : writes.GetArray())
        {
            write({text_of(item, "table"), text_of(item, "part"),
                   text_of(item, "key"), text_of(item, "value"), version_,
                   false});
        }
        for (const rapidjson::Value& item : removals.GetArray())
        {
            drop({text_of(item, "table"), text_of(item, "part"),
                  text_of(item, "key"), "", version_, true});
        }
        return {200, page({}, version_, false)};
    }

    answer read(const string& target)
    {
        const string table = query_value(target, "table");
        const string part = query_value(target, "part");
        const string from = query_value(target, "from");
        const string until = query_value(target, "target");
        const string limit_text = query_value(target, "limit");
        const std::size_t limit =
            limit_text.empty()
                ? 500
                : std::min<std::size_t>(500, std::stoul(limit_text));
        sleep_ms(2);
        const std::lock_guard<std::mutex> lock(mutex_);
        std::vector<row> rows;
        std::size_t bytes = 0;
        bool has_more = false;
        for (auto it = rows_.lower_bound({table, part, from});
             it != rows_.end() && it->second.table == table &&
             it->second.part == part &&
             (until.empty() || it->second.key < until);
             ++it)
        {
            bytes += it->second.value.size() + 100;
            if (rows.size() == limit || (bytes > 1'000'000 && !rows.empty()))
            {
                has_more = true;
                break;
            }
            rows.push_back(it->second);
        }
        return {200, page(rows, version_, has_more)};
    }

    answer follow(const string& target)
    {
        const string table = query_value(target, "table");
        const int64_t after = std::stoll("0" + query_value(target, "after"));
        const int64_t wait = std::min<int64_t>(
            30'000, std::stoll("0" + query_value(target, "waitMs")));
        const auto end =
            std::chrono::steady_clock::now() + std::chrono::milliseconds(wait);
        std::unique_lock<std::mutex> lock(mutex_);
        for (;;)
        {
            if (after < lost_)
            {
                return {410, "{}"};
            }
            std::vector<row> rows;
            int64_t version = version_;
            auto it = std::upper_bound(history_.begin(), history_.end(), after,
                                       [](int64_t bound, const row& item)
                                       { return bound < item.version; });
            for (; it != history_.end(); ++it)
            {
                if (it->table != table)
                {
                    continue;
                }
                if (rows.size() >= 400 && rows.back().version != it->version)
                {
                    version = rows.back().version;
                    break;
                }
                rows.push_back(*it);
            }
            if (!rows.empty() ||
                changed_.wait_until(lock, end) == std::cv_status::timeout)
            {
                return {200, page(rows, version, false)};
            }
        }
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<name, row> rows_;
    std::deque<row> history_;
    int64_t version_ = 100;
    int64_t lost_ = 0;
};

} // namespace review
