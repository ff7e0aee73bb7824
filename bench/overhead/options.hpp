/// \file
/// Command line of the overhead benchmark.

#ifndef EGRETSPINDLE_BENCH_OVERHEAD_OPTIONS_HPP
#define EGRETSPINDLE_BENCH_OVERHEAD_OPTIONS_HPP

namespace egretspindle::bench
{

/// Options of the command line.
struct overhead_options
{
    int runs = 3;
    int rate = 200;   ///< requests per second of each variant
    int seconds = 20; ///< measured time of a run
    int hosts = 3;
    int work_ms = 5;
    bool is_idempotent = true;
};

/// Parses the command line.
///
/// \returns false if the command line is invalid; the usage has been printed
[[nodiscard]] bool parse_options(int argc, char** argv,
                                 overhead_options& result);

} // namespace egretspindle::bench

#endif
