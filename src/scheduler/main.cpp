// The scheduler: reads what it is told, puts the parts together, and ends in good order.
#include "scheduler/admin/server.h"
#include "scheduler/config/settings.h"
#include "scheduler/core/host.h"
#include "scheduler/discovery_client/list.h"
#include "scheduler/discovery_client/watch.h"
#include "scheduler/fleet/fleet.h"
#include "scheduler/frontend/frontend.h"
#include "scheduler/hot_restart/succession.h"
#include "scheduler/log/log.h"
#include "scheduler/net/loop.h"
#include "scheduler/net/signals.h"
#include "scheduler/operator_config/site.h"
#include "scheduler/upstream/pool.h"

#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <spdlog/cfg/env.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <optional>
#include <utility>

namespace willowrill {
namespace {

using namespace std::chrono_literals;

// After SIGTERM new connections keep coming for up to 0.4 s; requests that come later than 0.7 s after it
// must have their answer before SIGKILL, which comes no sooner than the longest deadline plus 0.7 s, with
// that deadline counted as 3 s where it is longer.
constexpr auto accept_time = 550ms;
constexpr auto longest_counted = 3s;
constexpr auto after_longest = 450ms; // with a margin of a quarter of a second
constexpr std::size_t few = 8;
// At an upgrade: how long a predecessor may take to hand the listener over, and discovery to tell a new run
// what is newer than the list it remembers. The predecessor serves meanwhile; both are far below the 6 s for
// a yes.
constexpr auto handover_time = 1s;
constexpr auto fresh_time = 2s;
// The longest wait for discovery's first word on a remembered list; as a rule it comes or fails sooner.
constexpr auto confirm_time = 5s;

class Program final : private admin::Service, private hot_restart::HotRestart::Delegate {
  public:
    Program(config::Settings settings, operator_config::Site at_site,
            std::optional<std::string> handover_socket,
            std::optional<hot_restart::InheritedListener> inherited_listener)
        : settings_(std::move(settings)), settings_in_file_(settings_), site_(std::move(at_site)),
          list_(settings_.names), pool_(loop_, list_, settings_.report_fields,
                                        {.connections = per_side(settings_),
                                         .idle = settings_.connection_idle,
                                         .connect_timeout = settings_.connect_timeout}),
          watch_times_(
              discovery_client::watch_times(settings_.decisions.list_valid, settings_.decisions.drain_grace)),
          watch_(loop_, settings_.discovery, watch_times_, settings_.decisions.seed, list_,
                 [this](auto news) { on_list(std::move(news)); }),
          host_(settings_.decisions, settings_.max_open, config::message_memory(settings_), pool_, watch_),
          front_(
              loop_, settings_, host_, per_side(settings_), [this] { return knows_workers(); },
              inherited_listener ? std::move(inherited_listener->listener) : net::Fd()),
          next_batch_(loop_.timer_wheel(), [] {}),
          watch_again_(loop_.timer_wheel(), [this] { watch_.watch(true); }),
          leave_(loop_.timer_wheel(), [this] { front_.begin_shutdown(end_); }),
          finish_(loop_.timer_wheel(), [this] { front_.finish_shutdown(); }),
          fresh_(loop_.timer_wheel(), [] {}), confirm_(loop_.timer_wheel(), [this] { use_remembered(); }),
          signals_(loop_, {SIGTERM, SIGINT, SIGUSR1, SIGHUP}, [this](int signal) { on_signal(signal); }),
          hot_restart_(loop_, std::move(handover_socket), std::move(inherited_listener), *this) {
        pool_.set_host(host_);
        host_.set_peer_process(hot_restart_);
        // A former run at an upgrade still has the address among the instances.
        if (site_.mesh) fleet_.emplace(loop_, site_, settings_, hot_restart_.has_peer());
        if (fleet_) host_.set_message_observer(*fleet_);
        if (settings_.mgmt) admin_.emplace(loop_, *settings_.mgmt, static_cast<admin::Service&>(*this));
        if (!settings_.known.empty()) {
            if (auto news = list_.read(settings_.known)) {
                news->kind = willowrill::EndpointListUpdate::Kind::remembered;
                log_entries(*news);
                remembered_ = std::move(news);
            } else {
                spdlog::warn("inventory: the remembered list is no list; starting without it");
            }
        }
        if (!settings_.decisions.list_on_request) watch_.watch(true); // here, too, it must be asked for
    }

    void run() {
        loop_.set_iteration_end_hook([this] { on_round_end(); });
        if (admin_) {
            log::event(spdlog::level::info, "mgmt.open", {{"address", admin_->address().text()}},
                       "operators' calls at " + admin_->address().text());
        }
        for (const std::string& remark : settings_.remarks)
            spdlog::warn("settings: {}", remark);
        spdlog::info("{} serves on {}, discovery at {}", settings_.name, front_.address().text(),
                     settings_.discovery.text());
        if (hot_restart_.has_peer()) {
            share_limits();
            fresh_.arm(loop_.now() + fresh_time);
        } else {
            serve();
        }
        if (remembered_) confirm_.arm(loop_.now() + confirm_time);
        host_.run_batch(loop_.now()); // the module asks for the list
        loop_.run();
        print_counters();
    }

  private:
    static std::size_t per_side(const config::Settings& settings) {
        rlimit allowed{};
        ::getrlimit(RLIMIT_NOFILE, &allowed);
        return config::connections_per_side(settings, allowed.rlim_cur);
    }

    void serve() {
        serving_ = true;
        front_.set_accepting(true);
        hot_restart_.start_serving();
    }

    // Both runs of an upgrade keep to the limits of one: each has half the memory, and the new one those
    // descriptors that the old one does not hold.
    void share_limits() {
        config::Settings share = settings_in_file_;
        if (hot_restart_.has_peer()) {
            share.memory_mb /= 2;
            const std::size_t theirs = hot_restart_.predecessor_descriptors();
            share.sockets -= std::min(share.sockets, theirs > 0 ? theirs : share.sockets / 2);
        }
        const std::size_t most = per_side(share);
        // With a successor that accepts, no more attempts are needed than there are clients, and a few that
        // outlive theirs.
        pool_.set_max_connections(hot_restart_.successor_serves() ? std::min(most, front_.size() + few)
                                                                  : most);
        front_.set_max_connections(most);
        host_.set_max_bytes(config::message_memory(share));
    }

    const std::unordered_set<std::string>& message_ids() const override { return host_.ids(); }
    const net::Fd& listener() const override { return front_.listener(); }
    std::size_t required_descriptors() const override {
        const std::size_t clients = hot_restart_.successor_serves()
                                        ? front_.size()
                                        : std::max(front_.size(), front_.max_connections());
        return config::spare_descriptors + clients + std::max(pool_.size(), pool_.max_connections());
    }
    void on_peer_changed() override { share_limits(); }
    void on_successor_changed(bool serves) override {
        share_limits();
        if (serving_ && !stopping_) front_.set_accepting(!serves);
    }

    // What has changed since the former life counts as told from the first moment. So the module does not
    // hear of the remembered list, and jobs wait, until discovery has said what is newer, or cannot.
    void use_remembered() {
        confirm_.disarm();
        if (remembered_) host_.handle_worker_list(*std::exchange(remembered_, std::nullopt));
    }

    void on_list(willowrill::EndpointListUpdate news) {
        // Where the module counts on news that come by themselves, it will not ask again.
        const bool broken = news.kind == willowrill::EndpointListUpdate::Kind::broken;
        if (!broken) fresh_.disarm();
        use_remembered();
        if (broken && !settings_.decisions.list_on_request)
            watch_again_.arm(loop_.now() + watch_times_.reopen);
        if (!news.entries.empty())
            spdlog::info("inventory: version {} with {} entries", list_.version(), news.entries.size());
        log_entries(news);
        host_.handle_worker_list(std::move(news));
        pool_.close_unlisted();
    }

    // Numbers of workers differ from one scheduler to the next: whoever joins their logs needs the names.
    void log_entries(const willowrill::EndpointListUpdate& news) const {
        if (!log::is_enabled(spdlog::level::debug)) return;
        constexpr std::array<std::string_view, 3> conditions{"ready", "draining", "gone"};
        for (const willowrill::WorkerEntry& entry : news.entries) {
            const std::string_view kind = list_.names().kinds[entry.kind],
                                   zone = list_.names().zones[entry.zone],
                                   condition = conditions[static_cast<std::size_t>(entry.condition)];
            log::event(spdlog::level::debug, "inventory.entry",
                       {{"worker", std::uint64_t{entry.worker}},
                        {"id", list_.id(entry.worker)},
                        {"kind", kind},
                        {"zone", zone},
                        {"condition", condition}},
                       fmt::format("inventory: worker {} is {}, {} in {}, {}", entry.worker,
                                   list_.id(entry.worker), kind, zone, condition));
        }
    }

    void on_round_end() {
        auto next = host_.next_batch_time();
        if (next && *next <= loop_.now()) {
            host_.run_batch(loop_.now());
            next = host_.next_batch_time();
        }
        if (next) next_batch_.arm(*next);
        if (!serving_ && !stopping_ && !list_.empty() && !fresh_.armed()) serve();
        if (stopping_ && !leave_.armed() && front_.empty() && host_.open_messages() == 0) end();
    }

    // All messages have ended, and are counted: the other instances hear the last of it.
    void end() {
        if (std::exchange(ending_, true)) return;
        if (!fleet_) return loop_.stop();
        fleet_->leave([this] { loop_.stop(); });
    }

    // Takes both files over or neither. What the parts were built from stays until a restart.
    void reload() {
        ++reloads_;
        try {
            // All that can turn one of them down comes before anything is taken over.
            std::optional<operator_config::Site> site_now;
            if (!site_.file.empty()) site_now = operator_config::read(site_.file);
            config::Settings read = config::read([](const char* name) { return std::getenv(name); });
            if (site_now && !may_take_over(*site_now)) return;
            const config::Settings before = std::exchange(settings_in_file_, std::move(read));
            const config::Settings& now = settings_in_file_;
            share_limits();
            if (now.file_discovery != before.file_discovery) watch_.move(now.file_discovery);
            spdlog::info("configuration read again: discovery at {}, {} connections a side",
                         watch_.discovery().text(), front_.max_connections());
            if (now.file_settings != before.file_settings || now.file_listen != before.file_listen ||
                now.file_name != before.file_name || now.file_mgmt != before.file_mgmt)
                spdlog::warn(
                    "the configuration's name, listen, mgmt or settings differ: a restart takes them over");
            if (site_now) take_over(std::move(*site_now));
        } catch (const std::exception& error) {
            spdlog::error("the configuration stays as it was: {}", error.what());
        }
    }

    bool may_take_over(const operator_config::Site& now) const {
        std::string later;
        for (const std::string& key : operator_config::needs_restart(site_, now))
            later += (later.empty() ? "" : ", ") + key;
        if (later.empty()) return true;
        log::event(spdlog::level::warn, "site.needs_restart", {{"keys", later}},
                   "the configuration stays as it was, as a restart is needed for: " + later);
        return false;
    }

    void take_over(operator_config::Site now) {
        if (!now.log.level.empty()) spdlog::set_level(spdlog::level::from_str(now.log.level));
        if (fleet_) fleet_->apply_config(now);
        site_ = std::move(now);
        log::event(spdlog::level::info, "site.read_again", {{"file", site_.file}},
                   "operators' file read again");
    }

    void on_signal(int signal) {
        if (signal == SIGUSR1) return print_counters();
        if (signal == SIGHUP) return reload();
        if (std::exchange(stopping_, true)) return;
        spdlog::info("stopping: {} messages open", host_.open_messages());
        front_.drain();
        net::Duration longest = 0ns;
        for (const willowrill::JobClass& job_class : settings_.decisions.classes)
            longest = std::max(longest, std::min<net::Duration>(job_class.give_up, longest_counted));
        end_ = loop_.now() + longest + after_longest;
        if (hot_restart_.successor_serves()) {
            front_.hand_over(end_);
        } else {
            leave_.arm(loop_.now() + accept_time);
        }
        finish_.arm(std::max(end_, loop_.now() + accept_time));
    }

    bool knows_workers() const { return !list_.empty() && !remembered_; }
    bool is_ready() const override { return serving_ && knows_workers() && !stopping_; }
    void set_lame_duck(bool on) override { front_.set_lame_duck(on); }
    std::optional<Resource> resource(std::string_view path) const override {
        if (path == "/_counts") return Resource{"application/json", fleet_ ? fleet_->counts_json() : ""};
        if (path == "/_members") return Resource{"application/json", fleet_ ? fleet_->members_json() : ""};
        return std::nullopt;
    }
    std::string extra_metrics() const override { return fleet_ ? fleet_->prometheus_text() : ""; }
    admin::Metrics metrics() const override {
        admin::Metrics out{.classes = {},
                           .attempts = pool_.counters().written,
                           .in_flight = host_.open_messages(),
                           .workers_known = list_.listed(),
                           .workers_excluded = host_.workers_excluded(loop_.now())};
        const std::vector<core::ClassTotals>& class_totals = host_.class_totals();
        for (std::size_t i = 0; i < class_totals.size(); ++i) {
            out.classes.push_back({settings_.names.classes[i], class_totals[i].served,
                                   class_totals[i].refused, class_totals[i].failed});
        }
        return out;
    }

    void print_counters() const {
        const core::Counters& host = host_.counters();
        const frontend::FrontendCounters& front = front_.counters();
        const upstream::PoolCounters& pool = pool_.counters();
        spdlog::info("north: accepted {} requests {} ready-checks {} rejected {} stalled {} turned-away {} "
                     "evicted {} open {}",
                     front.accepted, front.requests, front.ready_checks, front.rejected, front.timed_out,
                     front.not_admitted, front.evicted, front_.size());
        spdlog::info(
            "messages: taken-in {} served {} refused {} failed {} overdue {} cut-short {} left {} open {}",
            host.admitted, host.served, host.refused, host.failed, host.overdue, host.aborted_by_shutdown,
            host.clients_left, host_.open_messages());
        const auto& outcomes = host.outcomes;
        spdlog::info(
            "relays: sent {} served {} error {} full {} timed-out {} connect-failed {} reset {} cancelled {} "
            "not-sent {}",
            host.sent, outcomes[0], outcomes[1], outcomes[2], outcomes[3], outcomes[4], outcomes[5],
            outcomes[6], outcomes[7]);
        spdlog::info("connections: opened {} reused {} failed {} retired {} hung-up {} evicted {} "
                     "broke-at-reuse {} written {} open {}",
                     pool.opened, pool.reused, pool.failed_unsent, pool.idle_timeouts, pool.closed_by_worker,
                     pool.evicted, pool.reuse_failures, pool.written, pool_.size());
        spdlog::info("probes: sent {} told {} unwilling {} nonsense {} late {} lost {} crowded-out {}",
                     pool.probes, pool.probe_reports, pool.probe_error_statuses, pool.probe_malformed,
                     pool.probe_timeouts, pool.probe_connections_lost, pool.probes_without_connection);
        if (const std::uint64_t dropped = log::dropped_lines(); dropped > 0)
            spdlog::info("log: dropped {}", dropped);
        if (admin_) {
            const admin::ServerCounters& admin = admin_->counters();
            spdlog::info("mgmt: calls {} bad {} silent {} evicted {}", admin.requests, admin.rejected,
                         admin.timed_out, admin.evicted);
        }
        spdlog::info("inventory: lists {} broken {} silences {} version {}; batches {}; reloads {}",
                     host.list_updates, host.failed_list_updates, watch_.silences(), list_.version(),
                     host.batches, reloads_);
    }

    const config::Settings settings_;   // as at the start; the parts refer to them
    config::Settings settings_in_file_; // as last read
    operator_config::Site site_;        // the operators' file, as last taken over
    net::Loop loop_;
    discovery_client::List list_;
    upstream::Pool pool_;
    const discovery_client::WatchTimes watch_times_;
    discovery_client::Watch watch_;
    core::Host host_;
    frontend::Frontend front_;
    net::Timer next_batch_, watch_again_, leave_, finish_, fresh_, confirm_;
    std::optional<willowrill::EndpointListUpdate> remembered_; // until discovery's first word
    net::Time end_{0};                                         // of what is taken in late
    net::SignalHandler signals_;
    hot_restart::HotRestart hot_restart_;
    std::optional<fleet::Fleet> fleet_;
    std::optional<admin::Server> admin_;
    bool serving_ = false, stopping_ = false, ending_ = false;
    std::uint64_t reloads_ = 0;
};

} // namespace
} // namespace willowrill

namespace {

constexpr const char* version = WILLOWRILL_VERSION;

struct Options {
    std::string site_file, log_format;
    bool check = false;
};

// Says in one line each what is wrong with the operators' file; 0 where it is good.
int check(const std::string& file) {
    try {
        willowrill::operator_config::read(file);
        std::cout << file << ": good\n";
        return 0;
    } catch (const willowrill::operator_config::SiteError& error) {
        for (const willowrill::operator_config::Problem& problem : error.problems())
            std::cerr << problem.text() << '\n';
        return 1;
    }
}

int serve(const Options& options) {
    namespace operator_config = willowrill::operator_config;
    std::optional<willowrill::net::ScopedSignalBlock> held(std::in_place, {SIGTERM, SIGINT, SIGUSR1, SIGHUP});
    auto settings = willowrill::config::read([](const char* name) { return std::getenv(name); });
    operator_config::Site at_site =
        options.site_file.empty() ? operator_config::Site() : operator_config::read(options.site_file);
    if (!at_site.log.level.empty()) spdlog::set_level(spdlog::level::from_str(at_site.log.level));
    spdlog::cfg::load_env_levels(); // SPDLOG_LEVEL=debug tells of every attempt, whatever the file says
    const bool json = options.log_format.empty() ? at_site.log.format == operator_config::LogFormat::json
                                                 : options.log_format == "json";
    if (json)
        willowrill::log::configure_logging(true, at_site.instance.empty() ? settings.name : at_site.instance);
    auto handover_socket =
        willowrill::hot_restart::handover_socket_path(std::getenv("TMPDIR"), settings.listen);
    std::optional<willowrill::hot_restart::InheritedListener> inherited_listener;
    if (handover_socket)
        inherited_listener = willowrill::hot_restart::request_listener(*handover_socket, settings.listen,
                                                                       willowrill::handover_time);
    willowrill::Program program(std::move(settings), std::move(at_site), std::move(handover_socket),
                                std::move(inherited_listener));
    held.reset();
    program.run();
    return 0;
}

} // namespace

int main(int count, char** arguments) {
    willowrill::log::configure_logging(false, "");
    CLI::App app("willowrilld, a job scheduler. What the platform tells it comes from the environment\n"
                 "(PROXY_CONFIG and others, see the README); without arguments it serves with that alone.");
    Options options;
    app.add_option("--config", options.site_file, "the operators' file (YAML, see deploy/willowrill.yaml)")
        ->option_text("FILE");
    app.add_option("--log-format", options.log_format,
                   "text, or json: one object a line; goes before the file's")
        ->check(CLI::IsMember({"text", "json"}))
        ->option_text("text|json");
    app.add_flag("--check", options.check, "read the operators' file, say what is wrong with it, and end")
        ->needs("--config");
    app.set_version_flag("--version", version, "print the version and end");
    CLI11_PARSE(app, count, arguments);
    try {
        return options.check ? check(options.site_file) : serve(options);
    } catch (const std::exception& error) {
        std::cerr << "willowrill: " << error.what() << '\n';
        return 1;
    }
}
