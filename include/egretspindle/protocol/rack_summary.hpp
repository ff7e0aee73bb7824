/// \file
/// Free capacity of a rack.

#ifndef EGRETSPINDLE_PROTOCOL_RACK_SUMMARY_HPP
#define EGRETSPINDLE_PROTOCOL_RACK_SUMMARY_HPP

#include <cstdint>
#include <string>

namespace egretspindle
{

/// Free capacity and queue of a rack, as its owner tells other hosts.
struct rack_summary
{
    std::string rack;
    std::int64_t epoch = 0;
    int free_slots = 0;
    double free_cores = 0;
    double free_memory_mb = 0;
    int free_accelerators = 0;
    int urgent_queue = 0;      ///< number of waiting urgent requests
    double urgent_wait_ms = 0; ///< predicted wait of an urgent request
    int targets = 0;           ///< number of targets that accept work
};

/// Visits the fields of `rack_summary` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const rack_summary* /*tag*/)
{
    visit("rack", value.rack);
    visit("epoch", value.epoch);
    visit("free_slots", value.free_slots);
    visit("free_cores", value.free_cores);
    visit("free_memory_mb", value.free_memory_mb);
    visit("free_accelerators", value.free_accelerators);
    visit("urgent_queue", value.urgent_queue);
    visit("urgent_wait_ms", value.urgent_wait_ms);
    visit("targets", value.targets);
}

} // namespace egretspindle

#endif
