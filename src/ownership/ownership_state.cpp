#include "egretspindle/ownership/ownership_state.hpp"

namespace egretspindle
{

ownership_state make_ownership_state(ownership_options options,
                                     std::int64_t incarnation, time_point now)
{
    ownership_state state;
    state.options = std::move(options);
    state.incarnation = incarnation;
    state.started = now;
    state.last_decision = now;
    state.next_scan = now;
    state.next_handover = now;
    return state;
}

} // namespace egretspindle
