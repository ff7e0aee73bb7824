#include "egretspindle/rack/load_message.hpp"

#include "egretspindle/rack/load_period.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace egretspindle
{

namespace
{

// Two decimals of headroom suffice for decisions, which use margins of 0.1 and
// more. Rounded down so that no host sees more headroom than there is.
constexpr double headroom_scale = 100.0;
// Scarcity is a share of at most 18 images, so distinct values differ by more
// than a thousandth. Rounded down, since an image whose harmed share equals
// `reserved` may still use the target.
constexpr double share_scale = 1'000.0;
// Four decimals suffice: a pair is harmful above a headroom of 0.035 per core.
constexpr double per_core_scale = 10'000.0;
constexpr double weight_scale = 10.0;
constexpr std::int64_t milli_per_tenth = 100;
// Count of the numbers of a target that precede those of its images.
constexpr std::size_t fixed_numbers = 8;
constexpr std::size_t numbers_per_pair = 4;
// Fixed overhead in bytes: UDP and IP headers, tag and field names of a
// message; field names of a rack; quotes and comma of a string.
constexpr std::size_t frame_bytes = 130;
constexpr std::size_t rack_bytes = 68;
constexpr std::size_t string_bytes = 3;

std::int64_t round_down(double value, double scale)
{
    // Products such as 0.29 * 100 are slightly below the exact integer.
    constexpr double tolerance = 1e-6;
    return static_cast<std::int64_t>(std::floor(value * scale + tolerance));
}

// Rounded up so that no host takes a rack with just enough room for a full one.
std::int64_t to_tenths(std::int64_t cpu_milli)
{
    return (std::max<std::int64_t>(0, cpu_milli) + milli_per_tenth - 1) /
           milli_per_tenth;
}

std::int64_t index_of(std::vector<std::string>& images, const std::string& name)
{
    const auto it = std::find(images.begin(), images.end(), name);
    const std::ptrdiff_t n = it - images.begin();
    if (it == images.end())
    {
        images.push_back(name);
    }
    return n;
}

const std::string* image_at(const load_message& message, std::int64_t n)
{
    const bool is_listed =
        n >= 0 && n < static_cast<std::int64_t>(message.images.size());
    return is_listed ? &message.images[static_cast<std::size_t>(n)] : nullptr;
}

std::vector<std::int64_t> to_numbers(std::vector<std::string>& images,
                                     const target_load_report& report)
{
    std::vector<std::int64_t> numbers{report.is_open ? 1 : 0,
                                      report.room.cpu_milli,
                                      report.room.memory_mb,
                                      report.backfill_milli,
                                      report.unused_milli,
                                      round_down(report.scarcity, share_scale),
                                      round_down(report.reserved, share_scale),
                                      report.room.accelerators};
    for (const auto& [image, spare_headroom] : report.spare_headroom)
    {
        numbers.push_back(index_of(images, image));
        numbers.push_back(round_down(spare_headroom, headroom_scale));
    }
    while (!numbers.empty() && numbers.back() == 0 &&
           numbers.size() <= fixed_numbers)
    {
        numbers.pop_back();
    }
    return numbers;
}

std::optional<target_load_report>
to_target_report(const load_message& message, const std::string& id,
                 std::vector<std::int64_t> numbers)
{
    numbers.resize(std::max(numbers.size(), fixed_numbers));
    target_load_report report;
    report.id = id;
    report.is_open = numbers[0] != 0;
    report.room = {numbers[1], numbers[2], numbers[7]};
    report.backfill_milli = numbers[3];
    report.unused_milli = numbers[4];
    report.scarcity = static_cast<double>(numbers[5]) / share_scale;
    report.reserved = static_cast<double>(numbers[6]) / share_scale;
    for (std::size_t n = fixed_numbers; n + 1 < numbers.size(); n += 2)
    {
        const std::string* image = image_at(message, numbers[n]);
        if (image == nullptr)
        {
            return std::nullopt;
        }
        report.spare_headroom[*image] =
            static_cast<double>(numbers[n + 1]) / headroom_scale;
    }
    return report;
}

std::string common_prefix(const std::vector<target_load_report>& targets)
{
    std::string prefix = targets.empty() ? std::string() : targets.front().id;
    for (const target_load_report& target : targets)
    {
        const auto ends = std::mismatch(prefix.begin(), prefix.end(),
                                        target.id.begin(), target.id.end());
        prefix.erase(ends.first, prefix.end());
    }
    return prefix;
}

encoded_rack_report to_row(std::vector<std::string>& images,
                           const rack_load_report& report)
{
    encoded_rack_report row;
    row.rack = report.rack;
    row.queued = report.queued;
    row.queued_cpu_milli = report.queued_cpu_milli;
    for (const auto& [image, starts] : report.waiting)
    {
        row.waiting.push_back(index_of(images, image));
        row.waiting.push_back(starts);
    }
    if (report.eventual_cpu_milli)
    {
        row.eventual_tenths = to_tenths(*report.eventual_cpu_milli);
    }
    row.prefix = common_prefix(report.targets);
    for (const target_load_report& target : report.targets)
    {
        row.target_suffixes.push_back(target.id.substr(row.prefix.size()));
        row.encoded_targets.push_back(to_numbers(images, target));
    }
    return row;
}

std::optional<rack_load_report> to_report(const load_message& message,
                                          const encoded_rack_report& row)
{
    rack_load_report report;
    report.rack = row.rack;
    report.queued = row.queued;
    report.queued_cpu_milli = row.queued_cpu_milli;
    if (row.eventual_tenths >= 0)
    {
        report.eventual_cpu_milli = row.eventual_tenths * milli_per_tenth;
    }
    if (row.target_suffixes.size() != row.encoded_targets.size())
    {
        return std::nullopt;
    }
    for (std::size_t n = 0; n + 1 < row.waiting.size(); n += 2)
    {
        const std::string* image = image_at(message, row.waiting[n]);
        if (image == nullptr || row.waiting[n + 1] < 0)
        {
            return std::nullopt;
        }
        report.waiting[*image] = row.waiting[n + 1];
    }
    for (std::size_t n = 0; n < row.target_suffixes.size(); ++n)
    {
        std::optional<target_load_report> target =
            to_target_report(message, row.prefix + row.target_suffixes[n],
                             row.encoded_targets[n]);
        if (!target)
        {
            return std::nullopt;
        }
        report.targets.push_back(*std::move(target));
    }
    return report;
}

std::size_t bytes_of(const std::vector<std::string>& texts)
{
    std::size_t bytes = 0;
    for (const std::string& text : texts)
    {
        bytes += text.size() + string_bytes;
    }
    return bytes;
}

std::size_t bytes_of(const std::vector<std::int64_t>& numbers)
{
    std::size_t bytes = string_bytes;
    for (const std::int64_t number : numbers)
    {
        bytes += std::to_string(number).size() + 1;
    }
    return bytes;
}

// Upper estimate of the size of a message as a datagram, in bytes.
std::size_t bytes_of(const load_message& message)
{
    std::size_t bytes =
        frame_bytes + message.host.size() + bytes_of(message.images);
    for (const encoded_rack_report& row : message.racks)
    {
        bytes += rack_bytes + row.rack.size() + row.prefix.size() +
                 bytes_of(row.waiting) + bytes_of(row.target_suffixes);
        for (const std::vector<std::int64_t>& numbers : row.encoded_targets)
        {
            bytes += bytes_of(numbers);
        }
    }
    return bytes;
}

load_message empty_message(const std::string& host, std::int64_t boot)
{
    load_message message;
    message.host = host;
    message.boot = boot;
    return message;
}

} // namespace

std::vector<load_message>
load_report_messages(const std::string& host, std::int64_t boot,
                     const std::vector<rack_load_report>& reports)
{
    std::vector<load_message> messages;
    for (const rack_load_report& report : reports)
    {
        if (!messages.empty())
        {
            load_message longer = messages.back();
            longer.racks.push_back(to_row(longer.images, report));
            if (bytes_of(longer) <= max_datagram_bytes)
            {
                messages.back() = std::move(longer);
                continue;
            }
        }
        load_message& message =
            messages.emplace_back(empty_message(host, boot));
        message.racks.push_back(to_row(message.images, report));
    }
    return messages;
}

load_message pair_message(const std::string& host, std::int64_t boot,
                          const std::vector<pair_interference>& pairs)
{
    load_message message = empty_message(host, boot);
    const std::size_t count = std::min(pairs.size(), max_pairs_per_message);
    for (std::size_t n = 0; n < count; ++n)
    {
        const pair_interference& item = pairs[n];
        message.pairs.push_back(index_of(message.images, item.serving));
        message.pairs.push_back(index_of(message.images, item.backfill));
        message.pairs.push_back(std::llround(item.per_core * per_core_scale));
        message.pairs.push_back(std::llround(item.weight * weight_scale));
    }
    return message;
}

milliseconds age_of(const load_message& message) noexcept
{
    return milliseconds(
        std::clamp<std::int64_t>(message.age_ms, 0, max_message_age.count()));
}

std::vector<rack_load_report> load_reports_of(const load_message& message)
{
    std::vector<rack_load_report> reports;
    reports.reserve(message.racks.size());
    for (const encoded_rack_report& row : message.racks)
    {
        std::optional<rack_load_report> report = to_report(message, row);
        if (report)
        {
            reports.push_back(*std::move(report));
        }
    }
    return reports;
}

std::vector<pair_interference> pairs_of(const load_message& message)
{
    std::vector<pair_interference> pairs;
    const std::vector<std::int64_t>& numbers = message.pairs;
    for (std::size_t n = 0; n + numbers_per_pair <= numbers.size();
         n += numbers_per_pair)
    {
        const std::string* serving = image_at(message, numbers[n]);
        const std::string* backfill = image_at(message, numbers[n + 1]);
        if (serving == nullptr || backfill == nullptr || numbers[n + 3] < 0)
        {
            continue;
        }
        pairs.push_back({*serving, *backfill,
                         static_cast<double>(numbers[n + 2]) / per_core_scale,
                         static_cast<double>(numbers[n + 3]) / weight_scale});
    }
    return pairs;
}

} // namespace egretspindle
