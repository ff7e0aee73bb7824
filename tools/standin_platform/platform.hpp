/// \file
/// Stand-in platform.

#ifndef EGRETSPINDLE_TOOLS_STANDIN_PLATFORM_PLATFORM_HPP
#define EGRETSPINDLE_TOOLS_STANDIN_PLATFORM_PLATFORM_HPP

#include "egretspindle/net/http_server.hpp"

#include "platform_options.hpp"
#include "simulated_target.hpp"
#include "simulated_target_api.hpp"
#include "store_api.hpp"

#include <absl/status/status.h>

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace egretspindle::standin
{

/// Store, configuration and targets, each on its own address.
class platform
{
public:
    explicit platform(const platform_options& options);
    ~platform();
    platform(const platform&) = delete;
    platform& operator=(const platform&) = delete;

    /// Listens on all addresses and registers the targets.
    [[nodiscard]] absl::Status start();

    /// Executes a command of the control address.
    [[nodiscard]] http_response control(const http_request& request);

private:
    struct store_server
    {
        std::unique_ptr<store_api> api;
        std::unique_ptr<http_server> server;
    };

    struct target_server
    {
        std::unique_ptr<simulated_target> target;
        std::unique_ptr<simulated_target_api> api;
        std::unique_ptr<http_server> server;
        std::string row_id;      ///< of its row; empty: none
        std::int64_t row_ms = 0; ///< when the row was written
    };

    void run();
    void register_target(target_server& item, std::int64_t now);
    void set_config(std::int64_t version, bool has_second_queue);
    static void command_target(simulated_target& target,
                               const std::string& action);

    platform_options options_;
    journal journal_;
    row_table rows_;
    std::map<std::string, store_server> stores_;
    std::map<std::string, target_server> targets_;
    std::atomic<bool> is_stopping_{false};
    std::thread thread_;
};

} // namespace egretspindle::standin

#endif
