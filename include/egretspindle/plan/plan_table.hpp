/// \file
/// Plan in force.

#ifndef EGRETSPINDLE_PLAN_PLAN_TABLE_HPP
#define EGRETSPINDLE_PLAN_PLAN_TABLE_HPP

#include "egretspindle/plan/plan_in_force.hpp"
#include "egretspindle/plan/plan_offer_result.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

namespace egretspindle
{

/// Plan in force on this host. All functions may be called from several
/// threads.
class plan_table
{
public:
    /// Returns the plan in force, or null if none was ever applied.
    [[nodiscard]] std::shared_ptr<const plan_in_force> current() const;

    /// Returns the version in force; 0 for none.
    [[nodiscard]] std::int64_t version() const;

    /// Applies a plan if its version is higher than the one in force. Writes a
    /// log line when a plan is applied or refused.
    ///
    /// \returns `invalid_argument` if the version is not positive, the digest
    ///          does not match or the document is not valid, `conflict` if
    ///          another document of the same version is in force; the plan in
    ///          force does not change on an error
    [[nodiscard]] absl::StatusOr<plan_offer_result>
    offer(const accepted_plan& plan);

private:
    absl::StatusOr<plan_offer_result> apply(const accepted_plan& plan);
    void log_result(const accepted_plan& plan,
                    const absl::StatusOr<plan_offer_result>& result);

    mutable std::mutex mutex_;
    std::shared_ptr<const plan_in_force> current_;
    std::string last_refusal_;
};

} // namespace egretspindle

#endif
