/// \file
/// Datagram that tells other hosts the room of racks, or what was learned of
/// pairs of images.

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

/// Rack in a load message. Images are given by their place in the message's
/// list.
struct rack_row
{
    std::string rack;
    std::int64_t queued = 0;
    std::int64_t queued_cpu_milli = 0;
    std::vector<std::int64_t> waiting; ///< image and starts by turns
    std::string prefix;                ///< common to all targets
    std::vector<std::string> targets;  ///< what follows the prefix
    /// One list a target: open, processors, memory, idle users, unused,
    /// scarcity and reserved in thousandths, accelerators; then image and
    /// spare headroom in hundredths by turns.
    std::vector<std::vector<std::int64_t>> rooms;
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
    visit("v", value.rooms);
}

/// Load message as it is sent. A host that has much to tell sends several.
struct load_message
{
    std::string host;
    std::int64_t boot = 0; ///< life of the host
    /// The host has not read the store lately.
    bool is_without_store = false;
    std::vector<std::string> images;
    std::vector<rack_row> racks;
    /// Four numbers a pair: serving image, filling image, headroom that a core
    /// takes in ten-thousandths, weight in tenths.
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

/// Most pairs that fit into one datagram.
constexpr std::size_t max_pairs = 40;

/// Packs the room of racks into messages of at most `largest_datagram`; a rack
/// that is larger has a message of its own.
[[nodiscard]] std::vector<load_message>
load_report_messages(const std::string& host, std::int64_t boot,
                     const std::vector<rack_load_report>& rooms);

/// Packs at most `max_pairs` pairs.
[[nodiscard]] load_message
pair_message(const std::string& host, std::int64_t boot,
             const std::vector<pair_interference>& pairs);

/// Returns the racks of a message; malformed ones are left out.
[[nodiscard]] std::vector<rack_load_report>
load_reports_of(const load_message& message);

/// Returns the pairs of a message; malformed ones are left out.
[[nodiscard]] std::vector<pair_interference>
pairs_of(const load_message& message);

} // namespace egretspindle

#endif
