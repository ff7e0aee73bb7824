// Time, records, small HTTP helpers and processes, shared by the stand-ins and
// the cases.
#pragma once

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <optional>
#include <random>
#include <set>
#include <signal.h>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review
{

namespace beast = boost::beast;
namespace http = beast::http;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using std::int64_t;
using std::string;

inline int64_t steady_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

inline int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleep_ms(int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

template <typename... Parts>
string join(const Parts&... parts)
{
    std::ostringstream out;
    (out << ... << parts);
    return out.str();
}

// Lines of `record.txt`, with the time since the start of the case.
class recorder
{
public:
    explicit recorder(const string& path) : out_(path), begun_(steady_ms()) {}

    int64_t now() const
    {
        return steady_ms() - begun_;
    }

    void write(const string& text)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        out_ << now() << " ms  " << text << "\n";
    }

    void summary(const string& text)
    {
        write(text);
        std::printf("%s\n", text.c_str());
        std::fflush(stdout);
        flush();
    }

    void flush()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        out_.flush();
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
    int64_t begun_;
};

struct reply
{
    int status = 0; // 0: no complete answer
    string body;
};

// Sends one request on a connection of its own.
inline reply call(const string& address, const string& method,
                  const string& path, const string& body, int timeout_ms,
                  const std::vector<std::pair<string, string>>& headers = {})
{
    reply result;
    try
    {
        const std::size_t colon = address.find(':');
        asio::io_context context;
        beast::tcp_stream stream(context);
        stream.expires_after(std::chrono::milliseconds(timeout_ms));
        beast::error_code ec;
        const tcp::endpoint server(
            asio::ip::make_address(address.substr(0, colon)),
            static_cast<unsigned short>(std::stoi(address.substr(colon + 1))));
        http::request<http::string_body> request(http::string_to_verb(method),
                                                 path, 11);
        request.set(http::field::host, address);
        request.set(http::field::content_type, "application/json");
        request.set(http::field::connection, "close");
        for (const auto& [name, value] : headers)
        {
            request.set(name, value);
        }
        request.body() = body;
        request.prepare_payload();
        beast::flat_buffer buffer;
        http::response<http::string_body> response;
        // The time limit of a beast stream holds for asynchronous calls.
        stream.async_connect(
            server,
            [&](beast::error_code e1)
            {
                ec = e1;
                if (ec)
                    return;
                http::async_write(stream, request,
                                  [&](beast::error_code e2, std::size_t)
                                  {
                                      ec = e2;
                                      if (ec)
                                          return;
                                      http::async_read(
                                          stream, buffer, response,
                                          [&](beast::error_code e3, std::size_t)
                                          { ec = e3; });
                                  });
            });
        context.run();
        if (!ec)
        {
            result.status = static_cast<int>(response.result_int());
            result.body = response.body();
        }
    }
    catch (const std::exception&)
    {
    }
    return result;
}

using request_t = http::request<http::string_body>;

// Answer of a handler; `silent` keeps the connection open without an answer.
struct answer
{
    int status = 200;
    string body = "{}";
    bool is_silent = false;
};

// HTTP server with a thread for each connection. `stop` closes the listening
// socket and all connections at once, as the end of a process does.
class server
{
public:
    using handler = std::function<answer(const request_t&)>;

    server(string ip, unsigned short port, handler handle)
        : ip_(std::move(ip)), port_(port), handle_(std::move(handle))
    {
    }

    ~server()
    {
        stop();
    }

    void start()
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int one = 1;
        ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        sockaddr_in where{};
        where.sin_family = AF_INET;
        where.sin_port = htons(port_);
        where.sin_addr.s_addr = ::inet_addr(ip_.c_str());
        if (::bind(fd, reinterpret_cast<sockaddr*>(&where), sizeof where) !=
                0 ||
            ::listen(fd, 512) != 0)
        {
            ::close(fd);
            throw std::runtime_error("cannot listen on " + ip_);
        }
        listener_ = fd;
        is_running_ = true;
        acceptor_ = std::thread([this, fd] { accept_loop(fd); });
    }

    void stop()
    {
        if (!is_running_.exchange(false))
        {
            return;
        }
        ::shutdown(listener_, SHUT_RDWR);
        if (acceptor_.joinable())
        {
            acceptor_.join();
        }
        ::close(listener_);
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const int fd : open_)
        {
            ::shutdown(fd, SHUT_RDWR);
        }
    }

private:
    void accept_loop(int listener)
    {
        while (is_running_)
        {
            const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
            {
                if (!is_running_)
                {
                    return;
                }
                sleep_ms(1);
                continue;
            }
            {
                const std::lock_guard<std::mutex> lock(mutex_);
                open_.insert(fd);
            }
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    void serve(int fd)
    {
        try
        {
            // Declared first, so that it is destroyed last.
            const open_entry entry{*this, fd};
            asio::io_context context;
            tcp::socket socket(context, tcp::v4(), ::dup(fd));
            socket.set_option(tcp::no_delay(true));
            beast::flat_buffer buffer;
            for (;;)
            {
                http::request_parser<http::string_body> parser;
                parser.body_limit(8 * 1024 * 1024);
                http::read(socket, buffer, parser);
                const bool keeps = parser.get().keep_alive();
                const answer result = handle_(parser.get());
                if (result.is_silent)
                {
                    sleep_ms(6'000); // longer than any caller waits
                    break;
                }
                http::response<http::string_body> response(
                    static_cast<http::status>(result.status), 11);
                response.set(http::field::content_type, "application/json");
                response.keep_alive(keeps);
                response.body() = result.body;
                response.prepare_payload();
                http::write(socket, response);
                if (!keeps)
                {
                    break;
                }
            }
        }
        catch (const std::exception&)
        {
        }
        ::close(fd);
    }

    // Keeps a connection from being shut down after its number is free again.
    struct open_entry
    {
        server& owner;
        int fd;

        ~open_entry()
        {
            const std::lock_guard<std::mutex> lock(owner.mutex_);
            owner.open_.erase(fd);
        }
    };

    string ip_;
    unsigned short port_;
    handler handle_;
    std::atomic<bool> is_running_{false};
    int listener_ = -1;
    std::thread acceptor_;
    std::mutex mutex_;
    std::set<int> open_;
};

// Returns ports of 127.0.0.1 that are free for TCP and UDP now.
inline std::vector<unsigned short> free_ports(std::size_t count)
{
    std::vector<unsigned short> ports;
    std::vector<int> held;
    while (ports.size() < count)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int datagram = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        sockaddr_in where{};
        where.sin_family = AF_INET;
        where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof where;
        const bool is_bound =
            ::bind(fd, reinterpret_cast<sockaddr*>(&where), size) == 0 &&
            ::getsockname(fd, reinterpret_cast<sockaddr*>(&where), &size) ==
                0 &&
            ::bind(datagram, reinterpret_cast<sockaddr*>(&where), size) == 0;
        if (is_bound)
        {
            ports.push_back(ntohs(where.sin_port));
        }
        held.push_back(fd);
        held.push_back(datagram);
    }
    for (const int fd : held)
    {
        ::close(fd);
    }
    return ports;
}

// Program started by a case. It ends with the case at the latest.
class process
{
public:
    process(std::vector<string> command,
            std::vector<std::pair<string, string>> environment, string log)
        : command_(std::move(command)), environment_(std::move(environment)),
          log_(std::move(log))
    {
        all().insert(this);
    }

    ~process()
    {
        kill();
        all().erase(this);
    }

    process(const process&) = delete;
    process& operator=(const process&) = delete;

    void start()
    {
        const pid_t parent = ::getpid();
        pid_ = ::fork();
        if (pid_ == 0)
        {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent)
            {
                ::_exit(127);
            }
            const int out =
                ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            std::vector<char*> words;
            for (string& word : command_)
            {
                words.push_back(word.data());
            }
            words.push_back(nullptr);
            for (const auto& [name, value] : environment_)
            {
                ::setenv(name.c_str(), value.c_str(), 1);
            }
            ::execv(words[0], words.data());
            ::_exit(127);
        }
    }

    void send(int number) const
    {
        if (pid_ > 0)
        {
            ::kill(pid_, number);
        }
    }

    void kill()
    {
        if (pid_ > 0)
        {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
            pid_ = -1;
        }
    }

    // Kills all programs that were started.
    static void kill_all()
    {
        for (process* const item : all())
        {
            item->kill();
        }
    }

    // Returns whether the program has ended by itself.
    bool has_ended()
    {
        if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_)
        {
            pid_ = -1;
            return true;
        }
        return false;
    }

private:
    static std::set<process*>& all()
    {
        static std::set<process*> items;
        return items;
    }

    std::vector<string> command_;
    std::vector<std::pair<string, string>> environment_;
    string log_;
    pid_t pid_ = -1;
};

inline string quote(const string& text)
{
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    writer.String(text.c_str(), static_cast<rapidjson::SizeType>(text.size()));
    return buffer.GetString();
}

inline string text_of(const rapidjson::Value& tree, const char* name)
{
    const auto it = tree.FindMember(name);
    return it != tree.MemberEnd() && it->value.IsString()
               ? string(it->value.GetString(), it->value.GetStringLength())
               : string();
}

inline int64_t number_of(const rapidjson::Value& tree, const char* name)
{
    const auto it = tree.FindMember(name);
    return it != tree.MemberEnd() && it->value.IsInt64() ? it->value.GetInt64()
                                                         : 0;
}

inline string query_value(const string& target, const string& name)
{
    const std::size_t at = target.find('?');
    std::istringstream in(at == string::npos ? "" : target.substr(at + 1));
    for (string item; std::getline(in, item, '&');)
    {
        if (item.compare(0, name.size() + 1, name + "=") != 0)
        {
            continue;
        }
        string value;
        for (std::size_t n = name.size() + 1; n < item.size(); ++n)
        {
            if (item[n] == '%' && n + 2 < item.size())
            {
                value += static_cast<char>(
                    std::stoi(item.substr(n + 1, 2), nullptr, 16));
                n += 2;
            }
            else
            {
                value += item[n];
            }
        }
        return value;
    }
    return "";
}

} // namespace review
