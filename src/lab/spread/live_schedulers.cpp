// The schedulers' side of the world: their processes, discovery for each of them, and faults.
#include "lab/spread/live_world.h"

#include <csignal>
#include <fstream>
#include <stdexcept>

namespace willowrill::lab::spread {
namespace {

using namespace std::chrono_literals;
using net::http::write_response;

constexpr Time counts_as_told = 6s; // after a watch fell silent: STANDING.md
constexpr Time longest_hold = 5s;   // less than a call may ask for: whoever asks again at once is told all

} // namespace

// ------------------------------------------------------------------------------------------- schedulers

std::string LiveWorld::config(std::size_t at) const {
    const auto ns = [](Time time) { return std::to_string(time.count()); };
    std::string zones;
    for (std::size_t i = 0; i < experiment_.zones; ++i)
        zones += (i > 0 ? ",\"z" : "\"z") + std::to_string(i) + "\"";
    const std::string times = "\"aim_ns\":" + ns(experiment_.wanted) +
                              ",\"hard_limit_ns\":" + ns(experiment_.limit) + ",\"worth\":1}";
    const bool asked = experiment_.reports == Reports::probes;
    const char* const via = asked ? "pull" : experiment_.reports == Reports::answers ? "piggyback" : "silent";
    return R"({"name":"n)" + std::to_string(at) + R"(","listen":"127.0.0.1:0","discovery":")" +
           schedulers_[at].discovery->address().text() + R"(","seed":")" +
           std::to_string(experiment_.seed * 1000 + at) +
           R"(","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "known":{"version":0,"full":true,"servers":[]},
 "settings":{"balancers":)" +
           std::to_string(experiment_.schedulers) + R"(,"slot_no":)" + std::to_string(at) +
           R"(,"tick_ns":5000000,"zone":"z)" + std::to_string(at % experiment_.zones) + R"(","zones":[)" +
           zones +
           R"(],"kinds":["small"],"tenants":[],
  "discovery":"ask","kind_of_service":"jobs","counted_by":"request","clients":{"marks_retry":true},
  "classes":[{"name":"read","effect":"read_like",)" +
           times +
           R"(,{"name":"keyed","effect":"idempotency_key","dedup_scope":"zone","window_ns":10000000000,)" +
           times + R"(,{"name":"once","effect":"non_idempotent",)" + times +
           R"(],
  "family_info":{"class_kind":[-1,-1,-1],"class_stretch":[0,0,0],"tells_start":false,"progress_ns":0},
  "reporting":{"fields":["util","latency_ms","x0"],"via":")" +
           via +
           R"("},
  "limits":{"cancel":true,"probes":)" +
           (asked ? "true" : "false") +
           R"(,"second_copies":false,"retry_after":true,"max_attempts":4,"max_open":20000,
   "max_retry_after_ns":2000000000,"conn_idle_ns":5000000000,"connect_timeout_ns":250000000},
  "prices":{},
  "safety":{"answer_slack_ns":20000000,"ask_within_ns":10000000000,"stop_sending_within_ns":1000000000,
   "cold_ns":)" +
           ns(experiment_.cold) + R"(,"start_capacity":)" + std::to_string(experiment_.cold_capacity) +
           R"(,"fall_multiple":2.5,"fall_ns":1000000000}}})";
}

void LiveWorld::launch(std::size_t at) {
    Scheduler& one = schedulers_[at];
    if (!one.discovery)
        one.discovery = std::make_unique<Server>(
            loop_,
            Server::Handler{[this, at](Server::Call call, const net::http::Head& head, const std::string&) {
                                on_discovery(at, call, head);
                            },
                            [this, at](Server::Call call) { std::erase(schedulers_[at].watches, call); }});
    one.listed.clear();
    for (const auto& worker : workers_)
        one.listed.push_back(!worker->post.gone);
    const std::string file = options_.folder + "/config" + std::to_string(at) + ".json";
    std::ofstream(file) << config(at);
    one.process = std::make_unique<Process>(
        loop_, std::vector<std::string>{options_.program},
        std::vector<std::pair<std::string, std::string>>{{"PROXY_CONFIG", file}, {"TMPDIR", ""}});
}

bool LiveWorld::ready(std::size_t at) {
    Scheduler& one = schedulers_[at];
    if (one.up) return true;
    if (one.process->ended()) throw std::runtime_error("a scheduler has ended: " + one.process->log());
    const auto serves = one.process->address_after("serves on ");
    if (!serves || one.watches.empty()) return false; // it watches once it has the list
    one.serves = *serves;
    return one.up = true;
}

void LiveWorld::await(std::size_t at) {
    if (schedulers_[at].process == nullptr || ready(at)) return; // it was killed once more, or is up
    this->at(now() + 20ms, [this, at] { await(at); });
}

std::string LiveWorld::list(std::size_t at) const {
    const Scheduler& one = schedulers_[at];
    std::string out = "{\"version\":" + std::to_string(one.version) + ",\"full\":true,\"servers\":[";
    for (std::size_t id = 0, some = 0; id < one.listed.size(); ++id) {
        if (!one.listed[id]) continue;
        out += std::string(some++ > 0 ? "," : "") + "{\"id\":\"w" + std::to_string(id) + "\",\"addr\":\"" +
               workers_[id]->server.address().text() + "\",\"zone\":\"z" +
               std::to_string(id % experiment_.zones) +
               "\",\"kind\":\"small\",\"cell\":0,\"state\":\"up\",\"weight\":1.0,\"started_ms\":" +
               std::to_string(workers_[id]->started_ms) + "}";
    }
    return write_response(200, {}, out + "]}");
}

void LiveWorld::on_discovery(std::size_t at, Server::Call call, const net::http::Head& head) {
    Scheduler& one = schedulers_[at];
    const std::size_t from = head.target.find("from=");
    const std::uint64_t has = from == std::string::npos ? 0 : std::stoull(head.target.substr(from + 5));
    if (has < one.version) return one.discovery->answer(call, list(at));
    one.watches.push_back(call);
    const std::size_t hold = head.target.find("hold_ms=");
    const Time asked =
        hold == std::string::npos ? longest_hold : std::stoll(head.target.substr(hold + 8)) * 1ms;
    this->at(now() + std::min(asked, longest_hold), [this, at, call] {
        Scheduler& late = schedulers_[at];
        if (std::erase(late.watches, call) > 0)
            late.discovery->answer(call, write_response(200, {},
                                                        "{\"version\":" + std::to_string(late.version) +
                                                            ",\"full\":false,\"servers\":[]}"));
    });
}

// ------------------------------------------------------------------------------------------------ faults

void LiveWorld::begin(const Fault& fault) {
    using enum Fault::What;
    for (std::size_t i = 0; i < schedulers_.size(); ++i) {
        Scheduler& one = schedulers_[i];
        if (!faults_.hits_scheduler(fault, i)) continue;
        if (fault.what == kill) {
            one.up = false;
            one.process.reset(); // SIGKILL
        }
        if (fault.what == restart && one.up) { // one that is just starting is left alone
            one.ending_from = now();
            one.process->signal(SIGTERM);
        }
        if (fault.what == stop) one.process->signal(SIGSTOP);
        if (fault.what == late_list) one.late = from_seconds(fault.size);
        if (fault.what == hush) {
            one.watches.clear(); // nobody answers them, and they stay open
            one.notified_by = now() + counts_as_told;
        }
    }
    faults_.begin(fault);
    for (std::size_t id = 0; id < experiment_.workers; ++id) {
        if (!faults_.hits_worker(fault, id) || workers_[id]->post.gone) continue;
        if (Faults::strike(fault, workers_[id]->post)) set_speed(id);
        if (fault.what == Fault::What::replace) {
            at(fault.from + from_seconds(chance_.uniform() * seconds(fault.to - fault.from)),
               [this, id] { this->replace(id); });
        }
    }
}

void LiveWorld::end(const Fault& fault) {
    using enum Fault::What;
    for (std::size_t i = 0; i < schedulers_.size(); ++i) {
        Scheduler& one = schedulers_[i];
        if (!faults_.hits_scheduler(fault, i)) continue;
        const bool ends = fault.what == restart && one.ending_from >= Time(0);
        if (ends) {
            if (!one.process->ended()) truth_.broke("a scheduler that was told to end has not", i);
            one.up = false;
            one.ending_from = Time(-1);
        }
        if (fault.what == kill || ends) {
            launch(i);
            await(i);
        }
        if (fault.what == stop) one.process->signal(SIGCONT);
        if (fault.what == late_list) one.late = Time(0);
    }
    faults_.end(fault);
    for (std::size_t id = 0; id < experiment_.workers; ++id)
        if (faults_.hits_worker(fault, id) && Faults::heal(fault, workers_[id]->post)) set_speed(id);
}

void LiveWorld::replace(std::size_t id) {
    workers_[id]->post.gone = true;
    const std::size_t fresh = workers_.size();
    workers_.push_back(std::make_unique<Worker>(*this, fresh, now()));
    workers_[fresh]->started_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                                      std::chrono::system_clock::now().time_since_epoch())
                                      .count();
    set_speed(fresh);
    Time last = now();
    for (std::size_t i = 0; i < schedulers_.size(); ++i) {
        const Time heard =
            now() + from_seconds(chance_.uniform() * seconds(experiment_.list_late)) + schedulers_[i].late;
        last = std::max({last, heard, schedulers_[i].notified_by});
        at(heard, [this, i, id, fresh] {
            Scheduler& one = schedulers_[i];
            one.listed.resize(std::max(one.listed.size(), workers_.size()));
            one.listed[id] = false;
            one.listed[fresh] = true;
            ++one.version;
            for (const Server::Call watch : std::exchange(one.watches, {}))
                one.discovery->answer(watch, list(i));
        });
    }
    truth_.drained_by(id, last + 250ms); // one watch may be on its way: it is asked again within 200 ms
}

void LiveWorld::set_speed(std::size_t id) {
    Post& one = workers_[id]->post;
    if (one.is_cold(now())) at(now() + warming_step, [this, id] { set_speed(id); });
    one.crew.set_speed(one.speed(now()), now());
    look(id);
}

} // namespace willowrill::lab::spread
