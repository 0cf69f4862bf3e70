// Real schedulers on loopback, with all that stands round them played by this process: discovery, one worker
// that serves every job at once, clients, the network between instances. Keeps the truth that counts are held
// against.
#pragma once

#include "lab/process.h"
#include "lab/proxy.h"
#include "lab/server.h"
#include "scheduler/net/connection.h"
#include "scheduler/net/http.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace willowrill::lab {

struct Told { // by one instance, of one tenant's served jobs
    std::uint64_t low = 0, estimate = 0, high = 0;
};

class LiveFleet {
  public:
    struct Options {
        std::string program; // willowrilld
        std::string folder;  // for files; it exists, and is the caller's to remove
        std::uint64_t seed = 1;
        std::vector<std::string> tenants{"a", "b", "c"};
        std::string interval = "100ms", fold_after = "60s";
        bool with_state = false;
        std::string log_level = "info";
    };
    LiveFleet(net::Loop& loop, Options options);
    ~LiveFleet();

    void start(std::size_t at); // beyond those that there were: a new instance
    void kill(std::size_t at) { instances_[at]->process.reset(); }
    Process& process(std::size_t at) { return *instances_[at]->process; }
    bool ready(std::size_t at); // serves, and its addresses are known
    void write_site(std::size_t at,
                    const std::vector<std::pair<int, std::string>>& keys); // id and file's name
    std::string write(const std::string& name, const std::string& text);   // a file of mode 600; its path

    // Sends a job, and counts it when it is answered with 200.
    void send(std::size_t at, const std::string& tenant);
    std::size_t waiting() const { return jobs_.size(); }
    std::uint64_t truth(const std::string& tenant) { return truth_[tenant]; }
    std::uint64_t failed() const { return failed_; }

    std::string ask(std::size_t at, const std::string& path); // waits for the answer's body
    std::map<std::string, Told> told(std::size_t at);
    Proxy& proxy() { return proxy_; }
    net::Loop& loop() { return loop_; }
    net::Endpoint mgmt(std::size_t at) const { return instances_[at]->mgmt; }

  private:
    struct Instance {
        std::unique_ptr<Process> process{};
        net::Endpoint serves{}, mgmt{};
        bool known = false;
    };
    class Job;

    net::Loop& loop_;
    Options options_;
    Proxy proxy_;
    Server worker_, discovery_;
    std::vector<std::unique_ptr<Instance>> instances_;
    std::list<std::shared_ptr<Job>> jobs_;
    std::map<std::string, std::uint64_t> truth_;
    std::uint64_t failed_ = 0, next_id_ = 0;
};

} // namespace willowrill::lab
