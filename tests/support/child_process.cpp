#include "support/child_process.hpp"

#include <csignal>
#include <fcntl.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace egretspindle::test
{

child_process::child_process(const std::string& program,
                             std::vector<std::string> arguments,
                             const std::string& log_file)
{
    const std::string path =
        program.front() == '/'
            ? program
            : std::string(EGRETSPINDLE_BIN_DIR "/") + program;
    std::vector<char*> argv{const_cast<char*>(path.c_str())};
    for (std::string& argument : arguments)
    {
        argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    const int log =
        open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ == 0)
    {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
        {
            _exit(126);
        }
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        execv(path.c_str(), argv.data());
        _exit(127);
    }
    close(log);
    if (pid_ < 0)
    {
        throw std::runtime_error("cannot start " + path);
    }
}

child_process::~child_process()
{
    kill();
}

void child_process::signal(int number)
{
    if (is_running())
    {
        ::kill(pid_, number);
    }
}

void child_process::kill()
{
    signal(SIGKILL);
    (void)wait_exit(std::chrono::seconds(10));
}

std::optional<int> child_process::wait_exit(std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (is_running())
    {
        if (std::chrono::steady_clock::now() > end)
        {
            return std::nullopt;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return status_;
}

bool child_process::is_running()
{
    if (!status_)
    {
        int status = 0;
        if (waitpid(pid_, &status, WNOHANG) == pid_)
        {
            status_ = status;
        }
    }
    return !status_;
}

} // namespace egretspindle::test
