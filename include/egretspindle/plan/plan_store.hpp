/// \file
/// Rows of the plan in the store.

#ifndef EGRETSPINDLE_PLAN_PLAN_STORE_HPP
#define EGRETSPINDLE_PLAN_PLAN_STORE_HPP

#include "egretspindle/adapters/store_client.hpp"
#include "egretspindle/plan/drained_target.hpp"
#include "egretspindle/plan/plan_record.hpp"
#include "egretspindle/plan/plan_section.hpp"

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace egretspindle
{

/// Value and version of the row `plan/accepted`.
struct accepted_row
{
    std::int64_t row_version = 0; ///< 0 if no plan was ever accepted
    std::int64_t version = 0;     ///< accepted version of the plan
    std::string digest;
    std::string tx_id; ///< transaction that wrote it
};

/// Visits the fields of `accepted_row` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const accepted_row* /*tag*/)
{
    visit("version", value.version);
    visit("digest", value.digest);
    visit("tx_id", value.tx_id);
}

/// Reads and writes the rows under `plan/`. All functions may be called from
/// several threads.
class plan_store
{
public:
    /// \param timeout  of a single call of the store
    plan_store(store_client& store, std::string host_name,
               std::chrono::milliseconds timeout);

    /// Reads the accepted version without its document.
    [[nodiscard]] absl::StatusOr<accepted_row> read_accepted();

    /// Reads an accepted version with its document.
    ///
    /// \returns `not_found` if the version was never accepted
    [[nodiscard]] absl::StatusOr<plan_record> read_record(std::int64_t version);

    /// Reads up to `limit` accepted versions up to `latest`, latest first.
    [[nodiscard]] absl::StatusOr<std::vector<plan_record>>
    read_history(std::int64_t latest, int limit);

    /// Reads all sections, including removed ones.
    [[nodiscard]] absl::StatusOr<std::vector<plan_section>> read_sections();

    /// Reads a section; its version is 0 if it does not exist.
    [[nodiscard]] absl::StatusOr<plan_section>
    read_section(const std::string& name);

    /// Writes a section if it still has the version `base_version` and the
    /// accepted row has not changed.
    [[nodiscard]] absl::StatusOr<commit_result>
    write_section(const plan_section& section, std::int64_t base_version,
                  const accepted_row& accepted);

    /// Writes an accepted version if neither the accepted row nor any section
    /// has changed.
    [[nodiscard]] absl::StatusOr<commit_result>
    write_accepted(const plan_record& record, const accepted_row& accepted,
                   const std::vector<plan_section>& sections);

    /// Reads the rows of all targets that were ever drained.
    [[nodiscard]] absl::StatusOr<std::vector<drained_target>> read_drains();

    /// Writes whether a target is drained. Not committed if the row changed
    /// after it was read for this call.
    [[nodiscard]] absl::StatusOr<commit_result>
    write_drain(const drained_target& target);

    /// Returns a new transaction id.
    [[nodiscard]] std::string make_tx_id() const;

    /// Returns the name of this host.
    [[nodiscard]] const std::string& host_name() const noexcept;

private:
    absl::StatusOr<std::vector<store_row>> scan_all(const std::string& prefix);
    absl::StatusOr<commit_result> commit(const store_transaction& transaction);

    store_client& store_;
    std::string host_name_;
    std::chrono::milliseconds timeout_;
};

} // namespace egretspindle

#endif
