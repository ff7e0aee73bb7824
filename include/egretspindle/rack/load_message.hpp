/// \file
/// Datagram with load reports of racks or with learned interference between
/// images, sent to all other hosts.

#ifndef EGRETSPINDLE_RACK_LOAD_MESSAGE_HPP
#define EGRETSPINDLE_RACK_LOAD_MESSAGE_HPP

#include "egretspindle/rack/interference_model.hpp"
#include "egretspindle/rack/rack_load_report.hpp"

#include <cstdint>
#include <string>
#include <type_traits>
#include <vector>

namespace egretspindle
{

/// Load report of a rack in a load message. Images are given by their index in
/// the list of the message.
struct rack_row
{
    std::string rack;
    std::int64_t queued = 0;
    std::int64_t queued_cpu_milli = 0;
    std::vector<std::int64_t> waiting; ///< alternating: image, starts
    std::string prefix;                ///< common to all target ids
    std::vector<std::string> targets;  ///< target ids without the prefix
    /// One list per target: open (1 or 0), processors in thousandths of a core,
    /// memory in MB, processors wanted by backfill tasks, unused processors,
    /// scarcity and reserved in thousandths, accelerators; then alternating
    /// image and its spare headroom in hundredths. Zeros at the end of the
    /// first eight numbers are left out when no image follows.
    std::vector<std::vector<std::int64_t>> target_numbers;
};

/// Visits the fields of `rack_row` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const rack_row* /*tag*/)
{
    visit("r", value.rack);
    visit("n", value.queued);
    visit("c", value.queued_cpu_milli);
    visit("w", value.waiting);
    visit("p", value.prefix);
    visit("t", value.targets);
    visit("v", value.target_numbers);
}

/// Load message as it is sent. Content that does not fit into one datagram is
/// split over several messages.
struct load_message
{
    std::string host;
    std::int64_t boot = 0; ///< boot id of the host
    /// The host has not read the store recently.
    bool is_without_store = false;
    std::vector<std::string> images;
    std::vector<rack_row> racks;
    /// Four numbers per pair: serving image, backfill image, headroom that
    /// one core takes in ten-thousandths, weight in tenths.
    std::vector<std::int64_t> pairs;
};

/// Visits the fields of `load_message` for the codec; empty lists are not
/// written.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const load_message* /*tag*/)
{
    constexpr bool is_reading = !std::is_const_v<Value>;
    visit("h", value.host);
    visit("b", value.boot);
    visit("i", value.images);
    if (is_reading || value.is_without_store)
    {
        visit("s", value.is_without_store);
    }
    if (is_reading || !value.racks.empty())
    {
        visit("r", value.racks);
    }
    if (is_reading || !value.pairs.empty())
    {
        visit("p", value.pairs);
    }
}

/// Number of pairs that fit into one datagram.
constexpr std::size_t max_pairs = 40;

/// Packs load reports into messages of at most `max_datagram_bytes` bytes. A
/// report that is larger is sent in a message of its own.
[[nodiscard]] std::vector<load_message>
load_report_messages(const std::string& host, std::int64_t boot,
                     const std::vector<rack_load_report>& reports);

/// Packs at most `max_pairs` pairs.
[[nodiscard]] load_message
pair_message(const std::string& host, std::int64_t boot,
             const std::vector<pair_interference>& pairs);

/// Returns the load reports of a message; malformed ones are left out.
[[nodiscard]] std::vector<rack_load_report>
load_reports_of(const load_message& message);

/// Returns the pairs of a message; malformed ones are left out.
[[nodiscard]] std::vector<pair_interference>
pairs_of(const load_message& message);

} // namespace egretspindle

#endif
