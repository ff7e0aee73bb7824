#include "egretspindle/plan/plan_table.hpp"

#include "egretspindle/core/error.hpp"
#include "egretspindle/logging/log.hpp"
#include "egretspindle/plan/parse_plan.hpp"
#include "egretspindle/plan/plan_digest.hpp"

#include <fmt/format.h>

#include <utility>

namespace egretspindle
{

namespace
{

absl::Status check_version(std::int64_t version)
{
    if (version > 0)
    {
        return absl::OkStatus();
    }
    return make_error(error_kind::invalid_argument,
                      fmt::format("plan version {} is not positive; accept "
                                  "the plan again",
                                  version));
}

absl::Status check_digest(const accepted_plan& plan)
{
    const std::string digest = plan_digest(plan.document);
    if (digest == plan.digest)
    {
        return absl::OkStatus();
    }
    return make_error(error_kind::invalid_argument,
                      fmt::format("the document of plan version {} has digest "
                                  "{}, not {}; fetch it again",
                                  plan.version, digest, plan.digest));
}

// Compares version and digest only, so that a plan whose version is not higher
// is not parsed.
absl::StatusOr<plan_offer_result>
compare_with_current(const plan_in_force* current, const accepted_plan& plan)
{
    if (current == nullptr || plan.version > current->accepted.version)
    {
        return plan_offer_result::applied;
    }
    if (plan.version < current->accepted.version)
    {
        return plan_offer_result::older;
    }
    if (plan.digest == current->accepted.digest)
    {
        return plan_offer_result::in_force;
    }
    return make_error(
        error_kind::conflict,
        fmt::format("plan version {} is in force with digest {}, but {} was "
                    "offered; compare with `egretctl plan history`",
                    plan.version, current->accepted.digest, plan.digest));
}

} // namespace

std::shared_ptr<const plan_in_force> plan_table::current() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return current_;
}

std::int64_t plan_table::version() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return current_ == nullptr ? 0 : current_->accepted.version;
}

absl::StatusOr<plan_offer_result> plan_table::offer(const accepted_plan& plan)
{
    absl::StatusOr<plan_offer_result> result = apply(plan);
    log_result(plan, result);
    return result;
}

void plan_table::log_result(const accepted_plan& plan,
                            const absl::StatusOr<plan_offer_result>& result)
{
    if (result.ok())
    {
        if (*result == plan_offer_result::applied)
        {
            log_info("plan applied", {{"version", plan.version},
                                      {"digest", plan.digest},
                                      {"accepted_by", plan.accepted_by}});
        }
        return;
    }
    const std::string reason(result.status().message());
    {
        // The same plan is offered again with every poll; it is logged once.
        const std::lock_guard<std::mutex> lock(mutex_);
        if (reason == last_refusal_)
        {
            return;
        }
        last_refusal_ = reason;
    }
    log_error("plan refused", {{"version", plan.version},
                               {"digest", plan.digest},
                               {"reason", reason}});
}

absl::StatusOr<plan_offer_result> plan_table::apply(const accepted_plan& plan)
{
    for (const absl::Status& status :
         {check_version(plan.version), check_digest(plan)})
    {
        if (!status.ok())
        {
            return status;
        }
    }
    const absl::StatusOr<plan_offer_result> comparison =
        compare_with_current(current().get(), plan);
    if (!comparison.ok() || *comparison != plan_offer_result::applied)
    {
        return comparison;
    }
    absl::StatusOr<plan_document> document = parse_plan(plan.document);
    if (!document.ok())
    {
        return document.status();
    }
    auto next = std::make_shared<const plan_in_force>(
        plan_in_force{plan, *std::move(document)});
    const std::lock_guard<std::mutex> lock(mutex_);
    // Compared again, since another thread may have applied a plan during the
    // parsing.
    const absl::StatusOr<plan_offer_result> recheck =
        compare_with_current(current_.get(), plan);
    if (recheck.ok() && *recheck == plan_offer_result::applied)
    {
        current_ = std::move(next);
    }
    return recheck;
}

} // namespace egretspindle
