// Randomized fault soak of the job scheduler with real processes.

#include "run_soak.hpp"

#include <fmt/format.h>

#include <cstdio>
#include <exception>

int main(int argc, char** argv)
{
    using namespace egretspindle::bench;

    soak_options options;
    if (!parse_options(argc, argv, options))
    {
        return 2;
    }
    try
    {
        return run_soak(options) ? 0 : 1;
    }
    catch (const std::exception& ex)
    {
        fmt::print(stderr, "soak: seed {}: {}\n", options.seed, ex.what());
        return 3;
    }
}
