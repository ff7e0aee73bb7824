/// \file
/// Reading of one section of a plan document.

#ifndef EGRETSPINDLE_SRC_PLAN_SECTION_READER_HPP
#define EGRETSPINDLE_SRC_PLAN_SECTION_READER_HPP

#include "egretspindle/core/toml.hpp"
#include "egretspindle/plan/plan_problem.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace egretspindle::plan_detail
{

/// Reads the keys of a section and collects the errors found.
class section_reader
{
public:
    section_reader(const toml::table& table, std::string section,
                   std::vector<plan_problem>& problems)
        : table_(table), section_(std::move(section)), problems_(problems)
    {
    }

    /// Reads a number within inclusive bounds. `value` does not change if the
    /// key is absent.
    void read_number(std::string_view key, double& value, double low,
                     double high);

    /// Reads an integer within inclusive bounds. `value` does not change if the
    /// key is absent.
    ///
    /// \param unit  unit for the error message, for example `milliseconds`
    void read_integer(std::string_view key, std::int64_t& value,
                      std::int64_t low, std::int64_t high,
                      std::string_view unit);

    /// Reads the required key `team`, which names the owner of the section.
    void read_owner(std::string& team);

    /// Appends the elements of an array of strings to `values`.
    void read_strings(std::string_view key, std::vector<std::string>& values);

    /// Adds an error of this section.
    void add_problem(std::string message);

    /// Adds an error for each key that no previous call has read. Called last.
    void check_unknown_keys();

private:
    const toml::node* read_key(std::string_view key);

    const toml::table& table_;
    std::string section_;
    std::vector<plan_problem>& problems_;
    std::vector<std::string> read_keys_;
};

/// Returns whether a name consists of 1 to 64 characters of `[A-Za-z0-9_-]`.
[[nodiscard]] bool is_identifier(std::string_view name) noexcept;

} // namespace egretspindle::plan_detail

#endif
