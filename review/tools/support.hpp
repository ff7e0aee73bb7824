// Processes, HTTP and time for the scripts of this review. POSIX only.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <set>
#include <signal.h>
#include <sstream>
#include <stdexcept>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <tuple>
#include <unistd.h>
#include <vector>

namespace review
{

inline std::int64_t steady_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

inline std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleep_ms(std::int64_t n)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(n));
}

// The lines of record.txt: what was sent, answered and run.
class record
{
public:
    explicit record(const std::string& path) : file_(path), began_(steady_ms())
    {
    }

    void line(const std::string& text)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        file_ << (steady_ms() - began_) << " ms  " << text << std::endl;
    }

    [[nodiscard]] std::int64_t since_begin(std::int64_t at) const
    {
        return at - began_;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
    std::int64_t began_;
};

// --- HTTP --------------------------------------------------------------------

struct http_message
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
    int status = 0; // 0: no answer
};

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return text;
}

inline sockaddr_in to_address(const std::string& text)
{
    const std::size_t colon = text.find(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

inline bool write_all(int fd, const std::string& text)
{
    std::size_t done = 0;
    while (done < text.size())
    {
        const ssize_t n =
            send(fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
        if (n <= 0)
        {
            return false;
        }
        done += static_cast<std::size_t>(n);
    }
    return true;
}

// Reads one message. `buffer` keeps bytes that follow it.
inline bool read_message(int fd, std::string& buffer, http_message& message,
                         std::int64_t deadline)
{
    const auto more = [&]
    {
        const std::int64_t left = deadline - steady_ms();
        pollfd item{fd, POLLIN, 0};
        if (left <= 0 ||
            ::poll(&item, 1,
                   static_cast<int>(std::min<std::int64_t>(left, 60'000))) <= 0)
        {
            return false;
        }
        char bytes[65'536];
        const ssize_t n = recv(fd, bytes, sizeof bytes, 0);
        if (n <= 0)
        {
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(n));
        return true;
    };
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos)
    {
        if (!more())
        {
            return false;
        }
    }
    std::istringstream head(buffer.substr(0, end));
    buffer.erase(0, end + 4);
    std::string line;
    std::getline(head, line);
    std::istringstream first(line);
    std::string a;
    std::string b;
    first >> a >> b;
    if (a.compare(0, 5, "HTTP/") == 0)
    {
        message.status = std::atoi(b.c_str());
    }
    else
    {
        message.method = a;
        message.path = b;
    }
    while (std::getline(head, line))
    {
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
        {
            continue;
        }
        std::string value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(" \t"));
        value.erase(value.find_last_not_of(" \t\r") + 1);
        message.headers[lower(line.substr(0, colon))] = value;
    }
    const auto length = message.headers.find("content-length");
    const std::size_t size =
        length == message.headers.end()
            ? 0
            : static_cast<std::size_t>(std::atoll(length->second.c_str()));
    while (buffer.size() < size)
    {
        if (!more())
        {
            return false;
        }
    }
    message.body = buffer.substr(0, size);
    buffer.erase(0, size);
    return true;
}

// Sends one request on a new connection. `status` is 0 without an answer.
inline http_message call(const std::string& address, const std::string& method,
                         const std::string& path, const std::string& host,
                         const std::string& body, std::int64_t timeout_ms,
                         const std::string& more_headers = "")
{
    http_message answer;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in to = to_address(address);
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0)
    {
        std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                           "\r\nConnection: close\r\n" + more_headers;
        if (!body.empty())
        {
            text += "Content-Type: application/json\r\n";
        }
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                body;
        std::string buffer;
        if (!write_all(fd, text) ||
            !read_message(fd, buffer, answer, steady_ms() + timeout_ms))
        {
            answer.status = 0;
        }
    }
    close(fd);
    return answer;
}

// HTTP server with a thread for each connection.
class http_server
{
public:
    // Returns false to close the connection without an answer.
    using handler = std::function<bool(const http_message&, int& status,
                                       std::string& body)>;

    http_server(const std::string& address, handler handle)
        : handle_(std::move(handle))
    {
        fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        const sockaddr_in at = to_address(address);
        if (bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
            listen(fd_, 512) != 0)
        {
            throw std::runtime_error("cannot listen on " + address);
        }
        std::thread([this] { accept_loop(); }).detach();
    }

private:
    void accept_loop()
    {
        for (;;)
        {
            const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
            {
                return;
            }
            const int one = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    void serve(int fd)
    {
        std::string buffer;
        for (;;)
        {
            http_message request;
            if (!read_message(fd, buffer, request, steady_ms() + 120'000))
            {
                break;
            }
            int status = 200;
            std::string body;
            if (!handle_(request, status, body))
            {
                break;
            }
            const auto it = request.headers.find("connection");
            const bool is_last =
                it != request.headers.end() && lower(it->second) == "close";
            const std::string text =
                "HTTP/1.1 " + std::to_string(status) +
                " X\r\nContent-Type: application/json\r\nContent-Length: " +
                std::to_string(body.size()) +
                (is_last ? "\r\nConnection: close" : "") + "\r\n\r\n" + body;
            if (!write_all(fd, text) || is_last)
            {
                break;
            }
        }
        close(fd);
    }

    handler handle_;
    int fd_ = -1;
};

// Returns a free loopback address. The port is below those that the system
// gives to outgoing connections, so that none takes it before it is used.
inline std::string free_address()
{
    static std::minstd_rand random{std::random_device{}()};
    static std::set<int> taken;
    std::uniform_int_distribution<int> any(10'000, 32'000);
    for (;;)
    {
        const int port = any(random);
        const std::string address = "127.0.0.1:" + std::to_string(port);
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in at = to_address(address);
        const bool is_free =
            bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0;
        close(fd);
        if (is_free && taken.insert(port).second)
        {
            return address;
        }
    }
}

// --- processes ---------------------------------------------------------------

class child
{
public:
    // Starts a program in `top` with the given environment and log file.
    void start(const std::string& top, const std::string& program,
               const std::string& settings, const std::string& log)
    {
        pid_ = fork();
        if (pid_ == 0)
        {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out =
                open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            if (chdir(top.c_str()) != 0)
            {
                _exit(126);
            }
            const std::string variable = "EGRETSPINDLE_CONFIG=" + settings;
            const std::string path =
                "PATH=" + std::string(getenv("PATH") ? getenv("PATH") : "");
            char* arguments[] = {const_cast<char*>(program.c_str()), nullptr};
            char* environment[] = {const_cast<char*>(variable.c_str()),
                                   const_cast<char*>(path.c_str()), nullptr};
            execve(program.c_str(), arguments, environment);
            _exit(127);
        }
    }

    void signal(int number)
    {
        if (pid_ > 0)
        {
            ::kill(pid_, number);
        }
    }

    // Kills the process and waits for its end.
    void kill()
    {
        if (pid_ > 0)
        {
            ::kill(pid_, SIGCONT);
            ::kill(pid_, SIGKILL);
            waitpid(pid_, nullptr, 0);
            pid_ = -1;
        }
    }

    // Returns whether the process has ended by itself.
    bool has_ended()
    {
        if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_)
        {
            pid_ = -1;
        }
        return pid_ < 0;
    }

private:
    pid_t pid_ = -1;
};

} // namespace review
