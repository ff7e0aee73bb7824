/// \file
/// Builder of test clusters.

#ifndef EGRETSPINDLE_TESTS_SUPPORT_MAKE_CLUSTER_HPP
#define EGRETSPINDLE_TESTS_SUPPORT_MAKE_CLUSTER_HPP

#include "support/cluster.hpp"

#include <memory>
#include <utility>

namespace egretspindle::test
{

/// Builds a cluster and waits until all entry hosts are ready.
///
/// \code
/// auto nodes = make_cluster().with_hosts(3).with_targets(4).build();
/// \endcode
class cluster_builder
{
public:
    cluster_builder& with_data_centers(int count)
    {
        options_.data_centers = count;
        return *this;
    }
    cluster_builder& with_hosts(int per_data_center)
    {
        options_.hosts = per_data_center;
        return *this;
    }
    cluster_builder& with_targets(int per_data_center)
    {
        options_.targets = per_data_center;
        return *this;
    }
    cluster_builder& with_targets_per_rack(int count)
    {
        options_.targets_per_rack = count;
        return *this;
    }
    cluster_builder& with_slots(int count)
    {
        options_.slots = count;
        return *this;
    }
    cluster_builder& with_proxy()
    {
        options_.has_proxy = true;
        return *this;
    }
    cluster_builder& with_host_program(std::string program)
    {
        options_.host_program = std::move(program);
        return *this;
    }
    cluster_builder& with_host_list_lag(long lag_ms)
    {
        options_.host_list_lag_ms = lag_ms;
        return *this;
    }
    cluster_builder& with_target_argument(std::string argument)
    {
        options_.target_arguments.push_back(std::move(argument));
        return *this;
    }
    cluster_builder& with_store_argument(std::string argument)
    {
        options_.store_arguments.push_back(std::move(argument));
        return *this;
    }
    cluster_builder& with_timing(const std::string& name, long value)
    {
        options_.timing[name] = value;
        return *this;
    }
    cluster_builder& with_more_settings(std::string toml)
    {
        options_.more_settings = std::move(toml);
        return *this;
    }
    cluster_builder& with_plan(std::string document)
    {
        options_.plan = std::move(document);
        return *this;
    }

    [[nodiscard]] std::unique_ptr<cluster> build() const
    {
        std::unique_ptr<cluster> result = std::make_unique<cluster>(options_);
        result->wait_ready(result->host_names());
        return result;
    }

private:
    cluster_options options_;
};

/// Returns a builder with one data centre, 3 entry hosts and 4 targets.
[[nodiscard]] inline cluster_builder make_cluster()
{
    return {};
}

} // namespace egretspindle::test

#endif
