#include "egretspindle/membership/membership_state.hpp"

namespace egretspindle
{

membership_state make_membership_state(membership_options options,
                                       time_point now)
{
    membership_state state;
    if (options.random_seed == 0)
    {
        options.random_seed = std::random_device{}();
    }
    if (options.incarnation == 0)
    {
        options.incarnation = unix_ms();
    }
    state.random.seed(options.random_seed);
    state.self.name = options.name;
    state.self.address = options.address;
    state.self.data_center = options.data_center;
    state.self.incarnation = options.incarnation;
    state.contacts.insert(options.seeds.begin(), options.seeds.end());
    state.contacts.erase(options.address);
    // A random phase, since hosts that start together would otherwise send
    // their probes at the same times.
    std::uniform_int_distribution<std::int64_t> phase(
        0, options.probe_period.count());
    state.started = now;
    state.last_advance_call = now;
    state.next_probe = now + milliseconds(phase(state.random));
    state.next_cross_center = state.next_probe;
    state.next_reconnect = now + options.reconnect_period;
    state.next_join = now;
    state.next_change_send = now;
    state.next_sync = now + state.sync_interval;
    state.options = std::move(options);
    return state;
}

} // namespace egretspindle
