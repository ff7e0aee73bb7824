/// \file
/// Target that is called without the scheduler.

#ifndef EGRETSPINDLE_BENCH_OVERHEAD_DIRECT_TARGET_HPP
#define EGRETSPINDLE_BENCH_OVERHEAD_DIRECT_TARGET_HPP

#include "egretspindle/net/http_client.hpp"

#include "support/child_process.hpp"
#include "support/port_reservation.hpp"
#include "support/temporary_directory.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace egretspindle::bench
{

/// Stand-in target outside the cluster, so that no owner of the cluster sets
/// its fencing token.
class direct_target
{
public:
    direct_target();

    /// Runs a task to its end and returns whether it succeeded.
    [[nodiscard]] bool run(int number, int work_ms);

private:
    test::temporary_directory directory_;
    test::port_reservation ports_;
    std::string address_;
    test::child_process process_;
    std::unique_ptr<http_client> client_;
    std::int64_t lease_until_ms_ = 0;
};

} // namespace egretspindle::bench

#endif
