/// \file
/// Main loop of the stand-ins.

#ifndef EGRETSPINDLE_TOOLS_COMMON_SERVE_HPP
#define EGRETSPINDLE_TOOLS_COMMON_SERVE_HPP

#include "egretspindle/net/http_server.hpp"

#include <string>

namespace egretspindle::standin
{

/// Blocks SIGTERM and SIGINT in the calling thread and all later ones. Call
/// this before any thread is started.
void block_stop_signals();

/// Waits for SIGTERM or SIGINT.
void wait_for_stop_signal();

/// Serves HTTP until SIGTERM or SIGINT.
///
/// \param program  name for messages
/// \param listen   `ip:port`
/// \returns the exit status; 2 for a malformed address, 3 when it cannot listen
int serve(const std::string& program, const std::string& listen,
          http_handler handler);

} // namespace egretspindle::standin

#endif
