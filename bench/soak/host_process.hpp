/// \file
/// Host of a soak.

#ifndef EGRETSPINDLE_BENCH_SOAK_HOST_PROCESS_HPP
#define EGRETSPINDLE_BENCH_SOAK_HOST_PROCESS_HPP

#include "evidence.hpp"
#include "support/child_process.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace egretspindle::bench
{

/// Host of a soak and its addresses, each `ip:port`.
struct host_process
{
    std::string name;
    std::string data_center;
    std::string callers; ///< of the host itself; clients use `front`
    std::string front;
    std::string ready;
    std::string peer;
    std::string store; ///< of the proxy
    std::string store_server;
    std::unique_ptr<test::child_process> process;
    bool is_stopping = false; ///< after SIGTERM
    bool is_killed = false;   ///< by the soak
    std::vector<planned_stop> stops;
};

} // namespace egretspindle::bench

#endif
