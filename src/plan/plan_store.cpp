#include "egretspindle/plan/plan_store.hpp"

#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/error.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <thread>

namespace egretspindle
{

namespace
{

const std::string accepted_key = "plan/accepted";
const std::string section_prefix = "plan/section/";
const std::string drain_prefix = "plan/drain/";
const std::string history_prefix = "plan/history/";

constexpr int page_size = 100;
// With a timeout of 1 s for each attempt, a caller waits at most about 10 s.
constexpr int max_commit_attempts = 5;
constexpr std::chrono::milliseconds retry_pause{200};

std::string history_key(std::int64_t version)
{
    // Zero padding makes the order of keys that of the versions.
    return fmt::format("{}{:012}", history_prefix, version);
}

template <typename T>
absl::StatusOr<T> decode(const store_row& row)
{
    absl::StatusOr<T> value = from_json<T>(row.value);
    if (!value.ok())
    {
        return make_error(error_kind::internal,
                          fmt::format("row {} cannot be read ({}); restore it "
                                      "from the store's backup",
                                      row.key,
                                      std::string(value.status().message())));
    }
    return value;
}

absl::StatusOr<plan_section> decode_section(const store_row& row)
{
    absl::StatusOr<plan_section> section = decode<plan_section>(row);
    if (section.ok())
    {
        section->version = row.version;
    }
    return section;
}

} // namespace

plan_store::plan_store(store_client& store, std::string host_name,
                       std::chrono::milliseconds timeout)
    : store_(store), host_name_(std::move(host_name)), timeout_(timeout)
{
}

absl::StatusOr<accepted_row> plan_store::read_accepted()
{
    const absl::StatusOr<store_row> row = store_.read(accepted_key, timeout_);
    if (!row.ok())
    {
        return row.status();
    }
    if (row->version == 0)
    {
        return accepted_row{};
    }
    absl::StatusOr<accepted_row> accepted = decode<accepted_row>(*row);
    if (accepted.ok())
    {
        accepted->row_version = row->version;
    }
    return accepted;
}

absl::StatusOr<plan_record> plan_store::read_record(std::int64_t version)
{
    const absl::StatusOr<store_row> row =
        store_.read(history_key(version), timeout_);
    if (!row.ok())
    {
        return row.status();
    }
    if (row->version == 0)
    {
        return make_error(error_kind::not_found,
                          fmt::format("plan version {} was never accepted; "
                                      "list versions with `egretctl plan "
                                      "history`",
                                      version));
    }
    return decode<plan_record>(*row);
}

absl::StatusOr<std::vector<plan_record>>
plan_store::read_history(std::int64_t latest, int limit)
{
    std::vector<plan_record> records;
    const std::int64_t first = std::max<std::int64_t>(latest - limit, 0);
    const absl::StatusOr<std::vector<store_row>> rows =
        store_.scan(history_prefix, history_key(first), limit, timeout_);
    if (!rows.ok())
    {
        return rows.status();
    }
    for (const store_row& row : *rows)
    {
        absl::StatusOr<plan_record> record = decode<plan_record>(row);
        if (!record.ok())
        {
            return record.status();
        }
        records.push_back(*std::move(record));
    }
    std::reverse(records.begin(), records.end());
    return records;
}

absl::StatusOr<std::vector<store_row>>
plan_store::scan_all(const std::string& prefix)
{
    std::vector<store_row> all;
    std::string after;
    while (true)
    {
        absl::StatusOr<std::vector<store_row>> rows =
            store_.scan(prefix, after, page_size, timeout_);
        if (!rows.ok())
        {
            return rows.status();
        }
        all.insert(all.end(), rows->begin(), rows->end());
        if (rows->size() < page_size)
        {
            return all;
        }
        after = all.back().key;
    }
}

absl::StatusOr<std::vector<plan_section>> plan_store::read_sections()
{
    const absl::StatusOr<std::vector<store_row>> rows =
        scan_all(section_prefix);
    if (!rows.ok())
    {
        return rows.status();
    }
    std::vector<plan_section> sections;
    for (const store_row& row : *rows)
    {
        absl::StatusOr<plan_section> section = decode_section(row);
        if (!section.ok())
        {
            return section.status();
        }
        sections.push_back(*std::move(section));
    }
    return sections;
}

absl::StatusOr<std::vector<drained_target>> plan_store::read_drains()
{
    const absl::StatusOr<std::vector<store_row>> rows = scan_all(drain_prefix);
    if (!rows.ok())
    {
        return rows.status();
    }
    std::vector<drained_target> drains;
    for (const store_row& row : *rows)
    {
        absl::StatusOr<drained_target> target = decode<drained_target>(row);
        if (!target.ok())
        {
            return target.status();
        }
        drains.push_back(*std::move(target));
    }
    return drains;
}

absl::StatusOr<commit_result>
plan_store::write_drain(const drained_target& target)
{
    const std::string key = drain_prefix + target.target;
    const absl::StatusOr<store_row> row = store_.read(key, timeout_);
    if (!row.ok())
    {
        return row.status();
    }
    store_transaction transaction;
    transaction.tx_id = make_tx_id();
    transaction.checks = {{key, row->version}};
    transaction.writes = {{key, to_json(target), false}};
    return commit(transaction);
}

absl::StatusOr<plan_section> plan_store::read_section(const std::string& name)
{
    const absl::StatusOr<store_row> row =
        store_.read(section_prefix + name, timeout_);
    if (!row.ok())
    {
        return row.status();
    }
    if (row->version == 0)
    {
        plan_section absent;
        absent.name = name;
        return absent;
    }
    return decode_section(*row);
}

absl::StatusOr<commit_result>
plan_store::write_section(const plan_section& section,
                          std::int64_t base_version,
                          const accepted_row& accepted)
{
    store_transaction transaction;
    transaction.tx_id = section.tx_id;
    transaction.checks = {{accepted_key, accepted.row_version},
                          {section_prefix + section.name, base_version}};
    transaction.writes = {
        {section_prefix + section.name, to_json(section), false}};
    return commit(transaction);
}

absl::StatusOr<commit_result>
plan_store::write_accepted(const plan_record& record,
                           const accepted_row& accepted,
                           const std::vector<plan_section>& sections)
{
    store_transaction transaction;
    transaction.tx_id = record.tx_id;
    transaction.checks = {{accepted_key, accepted.row_version},
                          {history_key(record.plan.version), 0}};
    for (const plan_section& section : sections)
    {
        transaction.checks.push_back(
            {section_prefix + section.name, section.version});
    }
    accepted_row next;
    next.version = record.plan.version;
    next.digest = record.plan.digest;
    next.tx_id = record.tx_id;
    transaction.writes = {
        {accepted_key, to_json(next), false},
        {history_key(record.plan.version), to_json(record), false}};
    return commit(transaction);
}

std::string plan_store::make_tx_id() const
{
    return make_transaction_id(host_name_);
}

const std::string& plan_store::host_name() const noexcept
{
    return host_name_;
}

// Repeats a transaction with the same id until its result is known. The store
// applies it at most once and returns the first result.
absl::StatusOr<commit_result>
plan_store::commit(const store_transaction& transaction)
{
    absl::Status unknown;
    absl::Status last;
    for (int attempt = 0; attempt < max_commit_attempts; ++attempt)
    {
        if (attempt > 0)
        {
            std::this_thread::sleep_for(retry_pause * attempt);
        }
        absl::StatusOr<commit_result> result =
            store_.commit(transaction, timeout_);
        if (result.ok())
        {
            return result;
        }
        last = result.status();
        const error_kind kind = kind_of(last);
        if (kind == error_kind::deadline_exceeded)
        {
            unknown = last;
        }
        else if (kind != error_kind::unavailable &&
                 kind != error_kind::overloaded)
        {
            break;
        }
    }
    return unknown.ok() ? last : unknown;
}

} // namespace egretspindle
