/// \file
/// Options of a test cluster.

#ifndef EGRETSPINDLE_TESTS_SUPPORT_CLUSTER_OPTIONS_HPP
#define EGRETSPINDLE_TESTS_SUPPORT_CLUSTER_OPTIONS_HPP

#include <map>
#include <string>
#include <vector>

namespace egretspindle::test
{

/// Composition of a cluster and extra arguments of its processes.
struct cluster_options
{
    int data_centers = 1;
    int hosts = 3;   ///< per data centre
    int targets = 4; ///< per data centre
    int targets_per_rack = 2;
    int slots = 8;
    double cpu_cores = 32;
    double memory_mb = 125'000;
    bool has_proxy = false;
    std::string host_program = "egretspindle"; ///< or an absolute path
    long host_list_lag_ms = 0;
    std::vector<std::string> target_arguments;
    std::vector<std::string> store_arguments;
    std::map<std::string, long> timing; ///< table `timing` of the settings
    std::string more_settings; ///< TOML, appended to those of each host
    std::string plan;          ///< TOML; a default when empty
};

} // namespace egretspindle::test

#endif
