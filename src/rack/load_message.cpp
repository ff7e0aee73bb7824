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

// Two digits of headroom tell apart what decisions compare (margins of 0.1 and
// more). Rounded down, so that no host sees more than there is.
constexpr double spare_scale = 100.0;
// Shares of at most 18 images differ by more than a thousandth. Rounded down,
// since an image as scarce as `reserved` may still use the target.
constexpr double share_scale = 1'000.0;
// Pairs are told apart at a headroom of 0.035 for each core.
constexpr double pressure_scale = 10'000.0;
constexpr double weight_scale = 10.0;
// Numbers of a target before those of its images.
constexpr std::size_t fixed_numbers = 8;
constexpr std::size_t numbers_of_pair = 4;
// Bytes of what is always written: headers of UDP and IP, tag and field names
// of a message, field names of a rack, quotes and comma of a text.
constexpr std::size_t bytes_of_frame = 120;
constexpr std::size_t bytes_of_rack = 60;
constexpr std::size_t bytes_of_quotes = 3;

std::int64_t round_down(double value, double scale)
{
    // Products such as 0.29 * 100 are a little below the whole number.
    constexpr double tolerance = 1e-6;
    return static_cast<std::int64_t>(std::floor(value * scale + tolerance));
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
                                     const target_load_report& room)
{
    std::vector<std::int64_t> numbers{room.is_open ? 1 : 0,
                                      room.room.cpu_milli,
                                      room.room.memory_mb,
                                      room.idle_users_milli,
                                      room.unused_milli,
                                      round_down(room.scarcity, share_scale),
                                      round_down(room.reserved, share_scale),
                                      room.room.accelerators};
    for (const auto& [image, spare_headroom] : room.spare_headroom)
    {
        numbers.push_back(index_of(images, image));
        numbers.push_back(round_down(spare_headroom, spare_scale));
    }
    while (!numbers.empty() && numbers.back() == 0 &&
           numbers.size() <= fixed_numbers)
    {
        numbers.pop_back();
    }
    return numbers;
}

std::optional<target_load_report> to_target(const load_message& message,
                                            const std::string& id,
                                            std::vector<std::int64_t> numbers)
{
    numbers.resize(std::max(numbers.size(), fixed_numbers));
    target_load_report room;
    room.id = id;
    room.is_open = numbers[0] != 0;
    room.room = {numbers[1], numbers[2], numbers[7]};
    room.idle_users_milli = numbers[3];
    room.unused_milli = numbers[4];
    room.scarcity = static_cast<double>(numbers[5]) / share_scale;
    room.reserved = static_cast<double>(numbers[6]) / share_scale;
    for (std::size_t n = fixed_numbers; n + 1 < numbers.size(); n += 2)
    {
        const std::string* image = image_at(message, numbers[n]);
        if (image == nullptr)
        {
            return std::nullopt;
        }
        room.spare_headroom[*image] =
            static_cast<double>(numbers[n + 1]) / spare_scale;
    }
    return room;
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

rack_row to_row(std::vector<std::string>& images, const rack_load_report& room)
{
    rack_row row;
    row.rack = room.rack;
    row.queued = room.queued;
    row.queued_cpu_milli = room.queued_cpu_milli;
    for (const auto& [image, starts] : room.waiting)
    {
        row.waiting.push_back(index_of(images, image));
        row.waiting.push_back(starts);
    }
    row.prefix = common_prefix(room.targets);
    for (const target_load_report& target : room.targets)
    {
        row.targets.push_back(target.id.substr(row.prefix.size()));
        row.rooms.push_back(to_numbers(images, target));
    }
    return row;
}

std::optional<rack_load_report> to_room(const load_message& message,
                                        const rack_row& row)
{
    rack_load_report room;
    room.rack = row.rack;
    room.queued = row.queued;
    room.queued_cpu_milli = row.queued_cpu_milli;
    if (row.targets.size() != row.rooms.size())
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
        room.waiting[*image] = row.waiting[n + 1];
    }
    for (std::size_t n = 0; n < row.targets.size(); ++n)
    {
        std::optional<target_load_report> target =
            to_target(message, row.prefix + row.targets[n], row.rooms[n]);
        if (!target)
        {
            return std::nullopt;
        }
        room.targets.push_back(*std::move(target));
    }
    return room;
}

std::size_t bytes_of(const std::vector<std::string>& texts)
{
    std::size_t bytes = 0;
    for (const std::string& text : texts)
    {
        bytes += text.size() + bytes_of_quotes;
    }
    return bytes;
}

std::size_t bytes_of(const std::vector<std::int64_t>& numbers)
{
    std::size_t bytes = bytes_of_quotes;
    for (const std::int64_t number : numbers)
    {
        bytes += std::to_string(number).size() + 1;
    }
    return bytes;
}

// Bytes of a message as a datagram, a few more than it will take.
std::size_t bytes_of(const load_message& message)
{
    std::size_t bytes =
        bytes_of_frame + message.host.size() + bytes_of(message.images);
    for (const rack_row& row : message.racks)
    {
        bytes += bytes_of_rack + row.rack.size() + row.prefix.size() +
                 bytes_of(row.waiting) + bytes_of(row.targets);
        for (const std::vector<std::int64_t>& numbers : row.rooms)
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
                     const std::vector<rack_load_report>& rooms)
{
    std::vector<load_message> messages;
    for (const rack_load_report& room : rooms)
    {
        if (!messages.empty())
        {
            load_message longer = messages.back();
            longer.racks.push_back(to_row(longer.images, room));
            if (bytes_of(longer) <= largest_datagram)
            {
                messages.back() = std::move(longer);
                continue;
            }
        }
        load_message& message =
            messages.emplace_back(empty_message(host, boot));
        message.racks.push_back(to_row(message.images, room));
    }
    return messages;
}

load_message pair_message(const std::string& host, std::int64_t boot,
                          const std::vector<pair_interference>& pairs)
{
    load_message message = empty_message(host, boot);
    const std::size_t count = std::min(pairs.size(), max_pairs);
    for (std::size_t n = 0; n < count; ++n)
    {
        const pair_interference& item = pairs[n];
        message.pairs.push_back(index_of(message.images, item.serving));
        message.pairs.push_back(index_of(message.images, item.backfill));
        message.pairs.push_back(std::llround(item.per_core * pressure_scale));
        message.pairs.push_back(std::llround(item.weight * weight_scale));
    }
    return message;
}

std::vector<rack_load_report> load_reports_of(const load_message& message)
{
    std::vector<rack_load_report> rooms;
    rooms.reserve(message.racks.size());
    for (const rack_row& row : message.racks)
    {
        std::optional<rack_load_report> room = to_room(message, row);
        if (room)
        {
            rooms.push_back(*std::move(room));
        }
    }
    return rooms;
}

std::vector<pair_interference> pairs_of(const load_message& message)
{
    std::vector<pair_interference> pairs;
    const std::vector<std::int64_t>& numbers = message.pairs;
    for (std::size_t n = 0; n + numbers_of_pair <= numbers.size();
         n += numbers_of_pair)
    {
        const std::string* serving = image_at(message, numbers[n]);
        const std::string* backfill = image_at(message, numbers[n + 1]);
        if (serving == nullptr || backfill == nullptr || numbers[n + 3] < 0)
        {
            continue;
        }
        pairs.push_back({*serving, *backfill,
                         static_cast<double>(numbers[n + 2]) / pressure_scale,
                         static_cast<double>(numbers[n + 3]) / weight_scale});
    }
    return pairs;
}

} // namespace egretspindle
