/// \file
/// Process that a test starts.

#ifndef EGRETSPINDLE_TESTS_SUPPORT_CHILD_PROCESS_HPP
#define EGRETSPINDLE_TESTS_SUPPORT_CHILD_PROCESS_HPP

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace egretspindle::test
{

/// A started process, killed by its id in the destructor.
///
/// The kernel also kills it when the thread that started it ends, so that a
/// crashed test leaves no process behind. Start it from the main thread.
class child_process
{
public:
    /// \param program    name in the build's bin directory, or an absolute path
    /// \param arguments  without the program
    /// \param log_file   receives stdout and stderr
    child_process(const std::string& program,
                  std::vector<std::string> arguments,
                  const std::string& log_file);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// Sends a signal; SIGSTOP and SIGCONT pause and resume.
    void signal(int number);

    /// Kills the process and waits for its end.
    void kill();

    /// Waits for the end.
    ///
    /// \returns the wait status, or nothing when it still runs
    std::optional<int> wait_exit(std::chrono::milliseconds limit);

    [[nodiscard]] bool is_running();

    [[nodiscard]] pid_t pid() const noexcept
    {
        return pid_;
    }

private:
    pid_t pid_ = -1;
    std::optional<int> status_;
};

} // namespace egretspindle::test

#endif
