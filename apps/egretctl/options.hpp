/// \file
/// Command line of egretctl.

#ifndef EGRETSPINDLE_APPS_EGRETCTL_OPTIONS_HPP
#define EGRETSPINDLE_APPS_EGRETCTL_OPTIONS_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace egretspindle::ctl
{

/// Parsed command line.
struct options
{
    std::vector<std::string> servers; ///< `ip:port`, tried in order
    std::string token_file;
    std::string file;          ///< text of a section; `-` for standard input
    std::int64_t base = -1;    ///< version that the change is based on
    std::string digest;        ///< of the document as reviewed
    int limit = 20;            ///< lines of a listing
    bool is_json = false;      ///< print the reply as JSON
    bool is_confirmed = false; ///< skip confirmation prompts
    bool is_removal = false;   ///< remove the section
    std::vector<std::string> arguments; ///< command and its arguments
};

/// Parses the command line.
///
/// \param exit_code  set when there is no command to run
[[nodiscard]] std::optional<options> parse_options(int argc, char** argv,
                                                   int& exit_code);

/// Prints a usage error, with a hint at `--help`, and returns its exit code.
int report_usage(const std::string& error);

} // namespace egretspindle::ctl

#endif
