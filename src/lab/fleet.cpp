#include "lab/fleet.h"

#include <simdjson.h>
#include <sys/stat.h>

#include <fstream>
#include <stdexcept>
#include <utility>

namespace willowrill::lab {
namespace {

using namespace std::chrono_literals;
using net::http::write_response;

constexpr auto patience = 10s;

} // namespace

// -------------------------------------------------------------------------------------------------- fleet

// A job on a connection of its own.
class LiveFleet::Job final : public net::Connection::Owner {
  public:
    Job(LiveFleet& fleet, net::Endpoint to, std::string tenant, const std::string& id)
        : fleet_(fleet), tenant_(std::move(tenant)),
          connection_(fleet.loop_, *this, net::connect_to(to), net::Connection::State::opening, 1U << 16U) {
        connection_.write("POST /api HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + id +
                          "\r\nX-Priority-Class: once\r\nX-Timeout-Ms: 5000\r\nX-Tenant-ID: " + tenant_ +
                          "\r\nContent-Length: 2\r\n\r\nhi");
    }

  private:
    void on_input() override {
        connection_.consume(parser_.feed(connection_.input()));
        if (parser_.done()) over(parser_.head().status == 200);
        if (parser_.bad()) over(false);
    }
    void on_closed() override { over(false); }
    void over(bool served) {
        ++(served ? fleet_.truth_[tenant_] : fleet_.failed_);
        connection_.close();
        for (auto at = fleet_.jobs_.begin(); at != fleet_.jobs_.end(); ++at) {
            if (at->get() != this) continue;
            fleet_.loop_.defer_destruction(std::move(*at));
            fleet_.jobs_.erase(at);
            return;
        }
    }

    LiveFleet& fleet_;
    std::string tenant_;
    net::Connection connection_;
    net::http::Parser parser_{net::http::Parser::Kind::response};
};

LiveFleet::LiveFleet(net::Loop& loop, Options options)
    : loop_(loop), options_(std::move(options)), proxy_(loop, options_.seed),
      worker_(loop, {[this](Server::Call call, const net::http::Head& head, const std::string&) {
                  const std::string* id = head.find("x-request-id");
                  worker_.answer(call, write_response(200, {},
                                                      "{\"id\":\"" + (id != nullptr ? *id : "") +
                                                          "\",\"state\":\"done\",\"result\":\"r\"}\n"));
              }}),
      discovery_(loop, {[this](Server::Call call, const net::http::Head& head, const std::string&) {
                     // A watch that asks from the version it has is answered at once, with nothing new, and
                     // slowly enough.
                     const bool watch = head.target.find("from=") != std::string::npos;
                     if (watch) return discovery_.answer(call, write_response(503, {}, ""));
                     discovery_.answer(
                         call, write_response(
                                   200, {},
                                   R"({"version":1,"full":true,"servers":[{"id":"w1","addr":")" +
                                       worker_.address().text() +
                                       R"(","zone":"here","kind":"small","state":"up","started_ms":0}]})"));
                 }}) {
    write("1.key", std::string(64, '1'));
    write("2.key", std::string(64, '2'));
}

LiveFleet::~LiveFleet() = default;

std::string LiveFleet::write(const std::string& name, const std::string& text) {
    std::string path = options_.folder + "/" + name;
    std::ofstream(path) << text;
    ::chmod(path.c_str(), 0600);
    return path;
}

void LiveFleet::write_site(std::size_t at, const std::vector<std::pair<int, std::string>>& keys) {
    std::string text = "instance: i" + std::to_string(at) + "\n";
    if (options_.with_state) text += "state_dir: " + options_.folder + "\n";
    text += "mesh:\n  listen: 127.0.0.1:0\n  advertise: " + proxy_.advertised(at).text() +
            "\n  networks: [127.0.0.0/8]\n  probe_period: 400ms\n  probe_timeout: 150ms\n  seeds: ['" +
            proxy_.advertised(0).text() + "']\n  keys:\n";
    for (const auto& [id, file] : keys)
        text += "    - {id: " + std::to_string(id) + ", file: " + options_.folder + "/" + file + "}\n";
    text += "counts:\n  rate: 2000\n  burst: 2000\n  interval: " + options_.interval +
            "\n  fold_after: " + options_.fold_after + "\n  snapshot_every: 200ms\n";
    write("site" + std::to_string(at) + ".yaml", text);
}

void LiveFleet::start(std::size_t at) {
    while (instances_.size() <= at) {
        instances_.push_back(std::make_unique<Instance>());
        proxy_.add();
        write_site(instances_.size() - 1, {{1, "1.key"}});
    }
    std::string tenants;
    for (const std::string& tenant : options_.tenants)
        tenants += (tenants.empty() ? "{\"name\":\"" : ",{\"name\":\"") + tenant + "\",\"share\":1}";
    const std::string number = std::to_string(at);
    const std::string config =
        write("config" + number + ".json",
              R"({"name":"n)" + number + R"(","listen":"127.0.0.1:0","mgmt":"127.0.0.1:0","discovery":")" +
                  discovery_.address().text() +
                  R"(","seed":"1","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "known":{"version":0,"full":true,"servers":[]},
 "settings":{"balancers":1,"slot_no":0,"tick_ns":5000000,"zone":"here","zones":["here"],"kinds":["small"],
  "tenants":[)" + tenants +
                  R"(],"discovery":"ask","kind_of_service":"jobs","counted_by":"request",
  "classes":[{"name":"once","effect":"non_idempotent","aim_ns":2000000000,"hard_limit_ns":5000000000,
   "worth":1}],
  "family_info":{"class_kind":[-1],"class_stretch":[1.75],"tells_start":false,"progress_ns":0},
  "reporting":{"fields":[],"via":"piggyback"},
  "limits":{"cancel":true,"probes":false,"second_copies":false,"retry_after":true,"max_attempts":4,
   "max_open":20000,"max_retry_after_ns":2000000000,"conn_idle_ns":5000000000,"connect_timeout_ns":250000000},
  "prices":{},
  "safety":{"answer_slack_ns":20000000,"ask_within_ns":10000000000,"stop_sending_within_ns":1000000000,
   "cold_ns":9000000000,"start_capacity":0.38,"fall_multiple":2.5,"fall_ns":1000000000}}})");
    Instance& one = *instances_[at];
    one.known = false;
    one.process = std::make_unique<Process>(
        loop_,
        std::vector<std::string>{options_.program, "--config", options_.folder + "/site" + number + ".yaml"},
        std::vector<std::pair<std::string, std::string>>{
            {"PROXY_CONFIG", config}, {"TMPDIR", ""}, {"SPDLOG_LEVEL", options_.log_level}});
}

bool LiveFleet::ready(std::size_t at) {
    Instance& one = *instances_[at];
    if (one.known) return true;
    if (one.process == nullptr) return false;
    const auto serves = one.process->address_after("serves on "),
               mgmt = one.process->address_after("operators' calls at "),
               mesh = one.process->address_after("mesh: datagrams at ");
    if (mesh) proxy_.set_process(at, *mesh);
    if (!serves || !mgmt || !mesh) return false;
    one.serves = *serves;
    one.mgmt = *mgmt;
    one.known = ask(at, "/_ready") == "ready\n";
    return one.known;
}

void LiveFleet::send(std::size_t at, const std::string& tenant) {
    jobs_.push_back(
        std::make_shared<Job>(*this, instances_[at]->serves, tenant, "job-" + std::to_string(++next_id_)));
}

std::string LiveFleet::ask(std::size_t at, const std::string& path) {
    struct Call final : net::Connection::Owner {
        Call(net::Loop& loop, net::Endpoint to)
            : connection(loop, *this, net::connect_to(to), net::Connection::State::opening, 1U << 16U) {}
        void on_input() override { connection.consume(parser.feed(connection.input())); }
        void on_closed() override { closed = true; }
        net::http::Parser parser{net::http::Parser::Kind::response};
        bool closed = false;
        net::Connection connection;
    };
    const auto call = std::make_shared<Call>(loop_, instances_[at]->mgmt);
    call->connection.write("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n");
    const net::Time end = loop_.now() + patience;
    while (!call->closed && !call->parser.done() && loop_.now() < end)
        loop_.run_once(1ms);
    call->connection.close();
    std::string body = call->parser.done() ? call->parser.body() : "";
    loop_.defer_destruction(call);
    return body;
}

std::map<std::string, Told> LiveFleet::told(std::size_t at) {
    std::map<std::string, Told> out;
    simdjson::dom::parser parser;
    simdjson::dom::element all;
    const std::string body = ask(at, "/_counts");
    if (parser.parse(body).get(all) != simdjson::SUCCESS) throw std::runtime_error("no counts: " + body);
    // Tenants at 0 are left out of the rows; of them high is the slack.
    for (const std::string& tenant : options_.tenants)
        out[tenant] = {0, 0, all["slack"]};
    for (const simdjson::dom::element row : simdjson::dom::array(all["totals"])) {
        if (std::string_view(row["outcome"]) != "served") continue;
        out[std::string(std::string_view(row["tenant"]))] = {row["low"], row["estimate"], row["high"]};
    }
    return out;
}

} // namespace willowrill::lab
