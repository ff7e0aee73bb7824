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

/// Load report of a rack as encoded in a load message. Images are encoded as
/// indices into `load_message::images`.
struct encoded_rack_report
{
    std::string rack;
    std::int64_t queued = 0;           ///< starts in the queue
    std::int64_t queued_cpu_milli = 0; ///< thousandths of a core they request
    /// `rack_load_report::waiting`: pairs of image index and number of starts.
    std::vector<std::int64_t> waiting;
    /// `rack_load_report::eventual_cpu_milli` in tenths of a core, rounded up;
    /// -1 if it has no value.
    std::int64_t eventual_tenths = -1;
    std::string prefix;                       ///< common to all target ids
    std::vector<std::string> target_suffixes; ///< target ids without the prefix
    /// One list per target, of the members of its `target_load_report`:
    /// - 0: `is_open`, 1 or 0
    /// - 1: free processors (`room`) in thousandths of a core
    /// - 2: free memory (`room`) in MB
    /// - 3: `backfill_milli`
    /// - 4: `unused_milli`
    /// - 5: `scarcity` in thousandths
    /// - 6: `reserved` in thousandths
    /// - 7: free accelerators (`room`)
    /// - from 8: pairs of serving image index and `spare_headroom` in
    ///   hundredths
    ///
    /// Trailing zeros are omitted if no image follows.
    std::vector<std::vector<std::int64_t>> encoded_targets;
};

/// Visits the fields of `encoded_rack_report` for the codec. `eventual_tenths`
/// is not written when negative.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value,
                  const encoded_rack_report* /*tag*/)
{
    visit("r", value.rack);
    visit("n", value.queued);
    visit("c", value.queued_cpu_milli);
    visit("w", value.waiting);
    if (!std::is_const_v<Value> || value.eventual_tenths >= 0)
    {
        visit("e", value.eventual_tenths);
    }
    visit("p", value.prefix);
    visit("t", value.target_suffixes);
    visit("v", value.encoded_targets);
}

/// Load message as it is sent, one per datagram.
struct load_message
{
    std::string host;
    std::int64_t boot = 0; ///< boot id of the host
    /// Time from the measurement until the datagram was sent, in milliseconds.
    /// In a received message it includes the time for which the datagram waited
    /// to be read; see `age_of`.
    std::int64_t age_ms = 0;
    /// The host's last read of the store was at least `contact_timeout`
    /// (1.5 s) ago.
    bool is_without_store = false;
    std::vector<std::string> images; ///< names; the other members give indices
    std::vector<encoded_rack_report> racks;
    /// Four numbers per pair: index of the serving image, index of the backfill
    /// image, headroom lost per core in ten-thousandths, weight in tenths of
    /// cores^2.
    std::vector<std::int64_t> pairs;
};

/// Visits the fields of `load_message` for the codec. `racks` and `pairs` are
/// not written when empty, `is_without_store` not when false and `age_ms` not
/// when zero: earlier versions do not send it.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const load_message* /*tag*/)
{
    constexpr bool is_reading = !std::is_const_v<Value>;
    visit("h", value.host);
    visit("b", value.boot);
    if (is_reading || value.age_ms != 0)
    {
        visit("a", value.age_ms);
    }
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

/// Maximum number of pairs in a message, so that it fits into one datagram.
constexpr std::size_t max_pairs_per_message = 40;

/// Highest age that a message can have; load reports of that age are not used.
constexpr milliseconds max_message_age{60'000};

/// Packs load reports into messages of at most `max_datagram_bytes` bytes. The
/// report of one rack is not split: if it alone exceeds the limit, it gets a
/// message of its own, which is larger.
[[nodiscard]] std::vector<load_message>
load_report_messages(const std::string& host, std::int64_t boot,
                     const std::vector<rack_load_report>& reports);

/// Packs the first `max_pairs_per_message` pairs into a message; the others are
/// left out.
[[nodiscard]] load_message
pair_message(const std::string& host, std::int64_t boot,
             const std::vector<pair_interference>& pairs);

/// Returns how long ago the content of a message was measured, without the
/// delay of the network: at least 0, at most `max_message_age`.
[[nodiscard]] milliseconds age_of(const load_message& message) noexcept;

/// Returns the load reports of a message. Those with an index out of range or
/// without numbers for each target are left out.
[[nodiscard]] std::vector<rack_load_report>
load_reports_of(const load_message& message);

/// Returns the pairs of a message. Those with an index out of range or a
/// negative weight are left out.
[[nodiscard]] std::vector<pair_interference>
pairs_of(const load_message& message);

} // namespace egretspindle

#endif
