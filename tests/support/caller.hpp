/// \file
/// Caller that submits requests and records all replies.

#ifndef EGRETSPINDLE_TESTS_SUPPORT_CALLER_HPP
#define EGRETSPINDLE_TESTS_SUPPORT_CALLER_HPP

#include "support/test_request.hpp"

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace egretspindle::test
{

/// Reply to one call.
struct caller_reply
{
    std::string key;
    std::string call; ///< `submit`, `wait` or `cancel`
    std::string body; ///< of the request
    bool is_idempotent = true;
    int status = 0;      ///< HTTP status; 0 when there was no reply
    std::string outcome; ///< empty for an error
    std::string answer;
    std::string reason;
    std::string error;
    int attempt = 0;
    std::string target;
    std::int64_t sent_ms = 0;     ///< Unix epoch
    std::int64_t received_ms = 0; ///< Unix epoch

    [[nodiscard]] bool is_final() const;
};

/// Sends requests to entry hosts. Usable from several threads.
class caller
{
public:
    /// \param address  caller address of an entry host
    caller_reply submit(const std::string& address,
                        const test_request& request);

    /// Queries a submitted request at any entry host.
    caller_reply wait(const std::string& address, const test_request& request,
                      std::int64_t wait_ms);

    caller_reply cancel(const std::string& address,
                        const test_request& request);

    /// Waits for a final outcome at any of the hosts, as a caller does after
    /// its connection was lost. Submits a request again that a host does not
    /// know.
    caller_reply follow(const std::vector<std::string>& addresses,
                        const test_request& request,
                        std::chrono::seconds limit = std::chrono::seconds(40));

    /// Returns all replies so far, in the order of their receipt.
    [[nodiscard]] std::vector<caller_reply> replies() const;

private:
    caller_reply call(const std::string& name, const std::string& address,
                      const std::string& method, const std::string& path,
                      const std::string& body, const test_request& request,
                      std::int64_t wait_ms);

    mutable std::mutex mutex_;
    std::vector<caller_reply> replies_;
};

} // namespace egretspindle::test

#endif
