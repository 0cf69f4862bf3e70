// One size of the scale run: all roles in their threads, and the phases one after the other.
#include "lab/folder.h"
#include "lab/process.h"
#include "lab/scale/case.h"
#include "lab/scale/discovery.h"
#include "lab/scale/hollow.h"
#include "lab/scale/job_load.h"
#include "lab/scale/role_thread.h"

#include <unistd.h>

#include <algorithm>
#include <ctime>
#include <fstream>
#include <memory>
#include <optional>
#include <stdexcept>

namespace willowrill::lab::scale {
namespace {

using namespace std::chrono_literals;
using Span = std::chrono::nanoseconds;

constexpr Span patience = 60s;       // for schedulers to start, and for what must be known everywhere
constexpr auto look = 2ms;           // between two looks at what discovery knows
constexpr double restarted = 0.7;    // of all schedulers, at one moment
constexpr std::size_t launches = 10; // processes started between two rounds of the loop

double seconds(Span span) { return std::chrono::duration<double>(span).count(); }
double milliseconds(Span span) { return 1000 * seconds(span); }

Span processor_time(pid_t pid) {
    clockid_t clock{};
    timespec spent{};
    if (::clock_getcpuclockid(pid, &clock) != 0 || ::clock_gettime(clock, &spent) != 0) return 0ns;
    return std::chrono::seconds(spent.tv_sec) + std::chrono::nanoseconds(spent.tv_nsec);
}

double resident_kb(pid_t pid) {
    std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
    double whole = 0, resident = 0;
    file >> whole >> resident;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1024;
}

// What all roles have sent and spent so far.
struct Account {
    net::Time at{0};
    Traffic calls_real{}, calls_hollow{}, probes_real{}, probes_hollow{};
    Span discovery_cpu{0}, worker_cpu{0}, real_cpu{0};
};

class Stage {
  public:
    Stage(const Case& one, const Progress& progress, const std::function<bool()>& cancelled)
        : case_(one), progress_(progress), cancelled_(cancelled), hollow_count_(one.schedulers - one.real) {}
    ~Stage();
    Stage(const Stage&) = delete;
    Stage& operator=(const Stage&) = delete;

    std::vector<Sample> run();

  private:
    void build();
    void launch(std::size_t real);
    std::unique_ptr<HollowScheduler> hollow(std::size_t at);
    Account account();
    void pass(Span span); // of real time
    Span until_all_hold(const char* what);
    void toggle(std::size_t worker) {
        discovery_thread_.call([&] { discovery_->toggle(worker); });
    }

    void steady();
    void load();
    void change();
    void outage();
    void restart();
    void rates(Phase phase, const Account& from, const Account& to);

    const Case case_;
    const Progress& progress_;
    const std::function<bool()>& cancelled_;
    const std::size_t hollow_count_;
    std::vector<Sample> samples_;
    Folder folder_;
    net::Loop loop_; // of the real processes and of their jobs
    RoleThread worker_thread_, discovery_thread_, hollow_thread_;
    std::optional<HollowWorkers> workers_for_real_, workers_for_hollow_;
    std::optional<Discovery> discovery_;
    std::vector<std::unique_ptr<HollowScheduler>> hollow_;
    std::vector<std::unique_ptr<Process>> real_;
};

Stage::~Stage() {
    real_.clear();
    hollow_thread_.call([this] {
        hollow_thread_.loop().at_round_end({});
        hollow_.clear();
    });
    discovery_thread_.call([this] { discovery_.reset(); });
    worker_thread_.call([this] {
        workers_for_real_.reset();
        workers_for_hollow_.reset();
    });
}

std::unique_ptr<HollowScheduler> Stage::hollow(std::size_t at) {
    const std::size_t number = case_.real + at;
    return std::make_unique<HollowScheduler>(
        hollow_thread_.loop(),
        scheduler_config(number, case_.schedulers, case_.seed, discovery_->address(number)));
}

void Stage::launch(std::size_t real) {
    const std::string file = folder_.path + "/config" + std::to_string(real) + ".json";
    std::ofstream(file) << scheduler_config(real, case_.schedulers, case_.seed, discovery_->address(real));
    // It ends with this process, however that ends.
    real_[real] = std::make_unique<Process>(
        loop_, std::vector<std::string>{"/usr/bin/setpriv", "--pdeathsig", "KILL", case_.program},
        std::vector<std::pair<std::string, std::string>>{{"PROXY_CONFIG", file}, {"TMPDIR", ""}});
}

void Stage::build() {
    worker_thread_.call([this] {
        workers_for_real_.emplace(worker_thread_.loop(), case_.workers);
        workers_for_hollow_.emplace(worker_thread_.loop(), case_.workers);
    });
    discovery_thread_.call([this] {
        discovery_.emplace(discovery_thread_.loop(), case_.schedulers, case_.real,
                           workers_for_real_->addresses(), workers_for_hollow_->addresses());
    });
    real_.resize(case_.real);
    for (std::size_t at = 0; at < case_.real; ++at) {
        launch(at);
        if (at % launches == launches - 1) pass(look);
    }
    hollow_.resize(hollow_count_);
    hollow_thread_.call([this] {
        hollow_thread_.loop().at_round_end([this] {
            for (const auto& one : hollow_)
                if (one) one->on_round_end();
        });
    });
    for (std::size_t at = 0; at < hollow_count_; ++at)
        hollow_thread_.call([&] { hollow_[at] = hollow(at); });
    until_all_hold("start");
}

Account Stage::account() {
    Account out{.at = loop_.now()};
    discovery_thread_.call([&] {
        out.calls_real = discovery_->traffic(0, case_.real);
        out.calls_hollow = discovery_->traffic(case_.real, case_.schedulers);
    });
    worker_thread_.call([&] {
        out.probes_real = {workers_for_real_->messages(), workers_for_real_->bytes()};
        out.probes_hollow = {workers_for_hollow_->messages(), workers_for_hollow_->bytes()};
    });
    out.discovery_cpu = discovery_thread_.processor_time();
    out.worker_cpu = worker_thread_.processor_time();
    for (const auto& process : real_)
        out.real_cpu += processor_time(process->pid());
    return out;
}

void Stage::pass(Span span) {
    const net::Time until = loop_.now() + span;
    while (loop_.now() < until) {
        loop_.run_once(look);
        if (cancelled_()) throw std::runtime_error("the run was cut off");
    }
}

// The time until every scheduler has asked for what is newer than the list as it is.
Span Stage::until_all_hold(const char* what) {
    loop_.run_once(0ms);
    const net::Time begun = loop_.now();
    for (;;) {
        const std::size_t hold = discovery_thread_.call([this] { return discovery_->holding_current(); });
        if (hold == case_.schedulers) return loop_.now() - begun;
        if (loop_.now() - begun > patience)
            throw std::runtime_error(std::string(what) + ": only " + std::to_string(hold) + " of " +
                                     std::to_string(case_.schedulers) + " schedulers hold the list");
        pass(look);
    }
}

void Stage::rates(Phase phase, const Account& from, const Account& to) {
    const double span = seconds(to.at - from.at);
    const auto share = [&](std::uint64_t amount, std::size_t members) {
        return static_cast<double>(amount) / span / static_cast<double>(std::max<std::size_t>(1, members));
    };
    const auto cpu = [&](Span spent, std::size_t members) {
        return milliseconds(spent) / span / static_cast<double>(std::max<std::size_t>(1, members));
    };
    const Traffic calls_real = to.calls_real - from.calls_real,
                  calls_hollow = to.calls_hollow - from.calls_hollow,
                  probes_real = to.probes_real - from.probes_real,
                  probes_hollow = to.probes_hollow - from.probes_hollow;
    double memory = 0;
    for (const auto& process : real_)
        memory += resident_kb(process->pid()) / static_cast<double>(case_.real);
    samples_.push_back({.role = Role::real_scheduler,
                        .phase = phase,
                        .messages_per_s = share(calls_real.messages + probes_real.messages, case_.real),
                        .bytes_per_s = share(calls_real.bytes + probes_real.bytes, case_.real),
                        .cpu_ms_per_s = cpu(to.real_cpu - from.real_cpu, case_.real),
                        .memory_kb = memory});
    samples_.push_back(
        {.role = Role::hollow_scheduler,
         .phase = phase,
         .messages_per_s = share(calls_hollow.messages + probes_hollow.messages, hollow_count_),
         .bytes_per_s = share(calls_hollow.bytes + probes_hollow.bytes, hollow_count_)});
    samples_.push_back({.role = Role::discovery,
                        .phase = phase,
                        .messages_per_s = share(calls_real.messages + calls_hollow.messages, 1),
                        .bytes_per_s = share(calls_real.bytes + calls_hollow.bytes, 1),
                        .cpu_ms_per_s = cpu(to.discovery_cpu - from.discovery_cpu, 1),
                        .state_bytes = static_cast<double>(
                            discovery_thread_.call([this] { return discovery_->list_bytes(); }))});
    samples_.push_back({.role = Role::worker,
                        .phase = phase,
                        .messages_per_s = share(probes_real.messages + probes_hollow.messages, case_.workers),
                        .bytes_per_s = share(probes_real.bytes + probes_hollow.bytes, case_.workers),
                        .cpu_ms_per_s = cpu(to.worker_cpu - from.worker_cpu, case_.workers)});
}

void Stage::steady() {
    progress_("steady");
    const Account from = account();
    pass(case_.steady);
    rates(Phase::steady, from, account());
}

// Jobs at the real schedulers: what one costs beyond the control that goes on beside it.
void Stage::load() {
    progress_("load");
    std::vector<net::Endpoint> serving;
    for (const auto& process : real_) {
        const auto address = process->address_after("serves on ");
        if (!address) throw std::runtime_error("a scheduler does not say where it serves");
        serving.push_back(*address);
    }
    const Account before = account();
    pass(case_.steady / 2);
    const Account from = account();
    JobLoad jobs(loop_, serving, case_.jobs_per_second);
    pass(case_.steady);
    const Account to = account();
    const double idle = seconds(from.real_cpu - before.real_cpu) / seconds(from.at - before.at);
    const double more = seconds(to.real_cpu - from.real_cpu) - idle * seconds(to.at - from.at);
    if (jobs.served() == 0) throw std::runtime_error("no job was served");
    samples_.push_back({.role = Role::real_scheduler,
                        .phase = Phase::load,
                        .cpu_us_per_job = 1e6 * more / static_cast<double>(jobs.served())});
}

void Stage::change() {
    progress_("changes");
    const Account from = account();
    Span longest{0};
    for (int i = 0; i < case_.changes; ++i) {
        toggle(static_cast<std::size_t>(i) % case_.workers);
        longest = std::max(longest, until_all_hold("change"));
        pass(case_.steady / 10);
    }
    const Account to = account();
    rates(Phase::change, from, to);
    samples_.push_back({.role = Role::discovery, .phase = Phase::change, .act_ms = milliseconds(longest)});
}

void Stage::outage() {
    progress_("an outage of discovery");
    const Account from = account();
    discovery_thread_.call([this] { discovery_->set_out(true); });
    pass(case_.outage);
    toggle(0);
    discovery_thread_.call([this] { discovery_->set_out(false); });
    const Span heard = until_all_hold("outage");
    rates(Phase::outage, from, account());
    samples_.push_back({.role = Role::discovery, .phase = Phase::outage, .act_ms = milliseconds(heard)});
}

void Stage::restart() {
    progress_("a restart of many");
    const auto part = [](std::size_t all) {
        return static_cast<std::size_t>(restarted * static_cast<double>(all));
    };
    discovery_thread_.call([&] {
        for (std::size_t at = 0; at < part(case_.real); ++at)
            discovery_->forget(at);
        for (std::size_t at = 0; at < part(hollow_count_); ++at)
            discovery_->forget(case_.real + at);
    });
    const Account from = account();
    for (std::size_t at = 0; at < part(case_.real); ++at) {
        real_[at].reset();
        launch(at);
    }
    hollow_thread_.call([&] {
        for (std::size_t at = 0; at < part(hollow_count_); ++at) {
            hollow_[at].reset();
            hollow_[at] = hollow(at);
        }
    });
    const Span up = until_all_hold("restart");
    rates(Phase::restart, from, account());
    for (Sample& sample : samples_) // most of the processes are others than before
        if (sample.role == Role::real_scheduler && sample.phase == Phase::restart) sample.cpu_ms_per_s = -1;
    samples_.push_back({.role = Role::discovery, .phase = Phase::restart, .act_ms = milliseconds(up)});
}

std::vector<Sample> Stage::run() {
    progress_("start");
    build();
    pass(case_.steady / 5);
    steady();
    if (case_.real > 0) load();
    change();
    outage();
    pass(case_.steady / 5);
    restart();
    for (const auto& process : real_)
        if (process->ended()) throw std::runtime_error("a scheduler has ended by itself: " + process->log());
    return std::move(samples_);
}

} // namespace

std::vector<Sample> play(const Case& one, const Progress& progress, const std::function<bool()>& cancelled) {
    return Stage(one, progress, cancelled).run();
}

} // namespace willowrill::lab::scale
