// Small deployment: store, workers, hosts started by the command of the deploy
// file, and consumers.
#pragma once

#include "workers.hpp"

namespace review
{

struct deployment_options
{
    int hosts = 2;
    int racks = 2;
    int workers_per_rack = 2;
    unsigned seed = 1;
    int max_attempts = 4;
    int fast_workers = 0; // of each rack; the others are `general`
};

class deployment
{
public:
    // `folder` is a temporary folder; the working folder is the repository.
    deployment(const deployment_options& options, recorder& record,
               string folder)
        : record(record), workers(rows, record, options.seed),
          options_(options), folder_(std::move(folder))
    {
        const std::vector<unsigned short> ports = free_ports(
            1 + static_cast<std::size_t>(options.hosts) * 3 +
            static_cast<std::size_t>(options.racks * options.workers_per_rack));
        std::size_t next = 0;
        store_port_ = ports[next++];
        write_config(1);
        store_server_ = std::make_unique<server>(
            "127.0.0.1", store_port_,
            [this](const request_t& request) { return rows.handle(request); });
        store_server_->start();
        for (int rack = 0; rack < options.racks; ++rack)
        {
            for (int n = 0; n < options.workers_per_rack; ++n)
            {
                worker_options item;
                item.id = "w-" + std::to_string(rack) + "-" + std::to_string(n);
                item.zone = "zone-a";
                item.rack = "rack-" + std::to_string(rack);
                item.kind = n < options.fast_workers ? "fast" : "general";
                item.port = ports[next++];
                workers.add(item);
            }
        }
        workers.start();
        for (int n = 0; n < options.hosts; ++n)
        {
            add_host("host-" + std::to_string(n), ports[next], ports[next + 1],
                     ports[next + 2]);
            next += 3;
        }
    }

    ~deployment()
    {
        for (auto& item : hosts)
        {
            item->kill();
        }
    }

    // Waits until all hosts are ready. Returns false after 20 s.
    bool wait_until_ready()
    {
        const int64_t end = steady_ms() + 20'000;
        for (const string& address : ready_)
        {
            while (
                call(address, "GET", "/egretspindle/ready", "", 500).status !=
                200)
            {
                if (steady_ms() > end)
                {
                    return false;
                }
                sleep_ms(100);
            }
        }
        return true;
    }

    reply request(std::size_t host, const string& method, const string& id,
                  const string& body, const string& prefix = "/jobs/")
    {
        return call(
            fronts[host % fronts.size()], method, prefix + id, body, 3'000,
            {{"Host", "jobs.example"}, {"Egretspindle-Deadline-Ms", "3000"}});
    }

    // Submits a job as a consumer does: after no answer, 502 or 504 again, with
    // the same id, at another host; at most 4 more times. Returns the last
    // answer.
    reply submit(const string& id, const string& body)
    {
        reply result;
        for (int attempt = 0; attempt < 5; ++attempt)
        {
            const std::size_t host = next_host_++;
            result = request(host, "POST", id, body);
            record.write("consumer submits " + id + " to host " +
                         std::to_string(host % fronts.size()) + ": " +
                         std::to_string(result.status));
            const bool is_open = result.status == 0 || result.status == 502 ||
                                 result.status == 504 || result.status == 503;
            if (!is_open)
            {
                break;
            }
            sleep_ms(result.status == 503 ? 1'000 : 200);
        }
        return result;
    }

    // Asks for the state of a job; empty if there is no answer in time at any
    // of three attempts.
    string state(const string& id, const string& prefix = "/jobs/")
    {
        for (int attempt = 0; attempt < 3; ++attempt)
        {
            const reply result = request(next_host_++, "GET", id, "", prefix);
            if (result.status == 200)
            {
                rapidjson::Document tree;
                tree.Parse(result.body.c_str(), result.body.size());
                return tree.IsObject() ? text_of(tree, "state") : "";
            }
            if (result.status == 410)
            {
                return "410";
            }
        }
        return "";
    }

    // Writes a configuration with the route `jobs`, unless it is dropped, and
    // the route `more` to the same service.
    void write_config(int64_t version, bool has_jobs = true)
    {
        const auto route = [this](const string& name, const string& prefix)
        {
            return "{\"name\":" + quote(name) +
                   ",\"host\":\"jobs.example\",\"pathPrefix\":" +
                   quote(prefix) +
                   ",\"kind\":\"unsafe\",\"timeoutMs\":3000,"
                   "\"targetDurationMs\":1000,\"priority\":2,"
                   "\"service\":\"work\",\"maxAttempts\":" +
                   std::to_string(options_.max_attempts) + ",\"stretch\":2.0}";
        };
        rows.put("op", "config",
                 "{\"version\":" + std::to_string(version) + ",\"routes\":[" +
                     (has_jobs ? route("jobs", "/jobs/") + "," : string()) +
                     route("more", "/more/") +
                     "],\"services\":[{\"name\":\"work\","
                     "\"healthPath\":\"/health\",\"maxConnections\":64,"
                     "\"protocol\":\"h1\",\"tls\":false,"
                     "\"rejectsOverload\":true}],\"limits\":{}}");
    }

    recorder& record;
    store rows;
    fleet workers;
    std::vector<std::unique_ptr<process>> hosts;
    std::vector<string> fronts;

private:
    // Fills in the template of the deploy file.
    string settings_of(const string& name, unsigned short front,
                       unsigned short ready, unsigned short peer) const
    {
        std::ifstream in("deploy/settings.toml.template");
        string text{std::istreambuf_iterator<char>(in), {}};
        const std::vector<std::pair<string, string>> values{
            {"nodeName", name},
            {"zone", "zone-a"},
            {"listenAddrs.front", "127.0.0.1:" + std::to_string(front)},
            {"listenAddrs.ready", "127.0.0.1:" + std::to_string(ready)},
            {"ip", "127.0.0.1"},
            {"portRange.0", std::to_string(peer)},
            {"platform.address", "127.0.0.1:" + std::to_string(store_port_)},
            {"platform.across|json", "true"},
            {"bounds.maxHoldMs", "10000"},
            {"bounds.thawSlackMs", "300"},
            {"bounds.drainMs", "2000"},
            {"bounds.graceS", "6.0"},
            {"limits.cpuShare", "0.25"}};
        for (const auto& [key, value] : values)
        {
            const string mark = "{{" + key + "}}";
            for (std::size_t at = text.find(mark); at != string::npos;
                 at = text.find(mark))
            {
                text.replace(at, mark.size(), value);
            }
        }
        return text;
    }

    // Returns the words of `run` in the deploy file.
    static std::vector<string> command()
    {
        std::ifstream in("deploy/system.toml");
        for (string line; std::getline(in, line);)
        {
            if (line.compare(0, 7, "run = \"") == 0)
            {
                std::istringstream words(line.substr(7, line.rfind('"') - 7));
                std::vector<string> result;
                for (string word; words >> word;)
                {
                    result.push_back(word);
                }
                return result;
            }
        }
        throw std::runtime_error("the deploy file has no command");
    }

    void add_host(const string& name, unsigned short front,
                  unsigned short ready, unsigned short peer)
    {
        const string file = folder_ + "/" + name + ".toml";
        std::ofstream(file) << settings_of(name, front, ready, peer);
        fronts.push_back("127.0.0.1:" + std::to_string(front));
        ready_.push_back("127.0.0.1:" + std::to_string(ready));
        hosts.push_back(
            std::make_unique<process>(command(),
                                      std::vector<std::pair<string, string>>{
                                          {"EGRETSPINDLE_CONFIG", file}},
                                      folder_ + "/" + name + ".log"));
        hosts.back()->start();
    }

    deployment_options options_;
    string folder_;
    unsigned short store_port_ = 0;
    std::unique_ptr<server> store_server_;
    std::vector<string> ready_;
    std::atomic<std::size_t> next_host_{0};
};

// Returns an id of 16 hexadecimal digits.
inline string make_id(std::mt19937_64& random)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx",
                  static_cast<unsigned long long>(random()));
    return text;
}

} // namespace review
