// The scheduler program: reads its configuration, connects the components, and shuts down gracefully.
#include "scheduler/admin/server.h"
#include "scheduler/config/settings.h"
#include "scheduler/core/host.h"
#include "scheduler/discovery_client/discovery_watcher.h"
#include "scheduler/discovery_client/worker_registry.h"
#include "scheduler/fleet/fleet.h"
#include "scheduler/frontend/frontend.h"
#include "scheduler/hot_restart/succession.h"
#include "scheduler/log/log.h"
#include "scheduler/net/loop.h"
#include "scheduler/net/signals.h"
#include "scheduler/operator_config/operator_config.h"
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

// Timing of a shutdown. New connections keep arriving for up to 0.4 s after SIGTERM. Requests that arrive
// later than 0.7 s after SIGTERM must be answered before SIGKILL, which follows no earlier than the longest
// deadline plus 0.7 s; a deadline longer than 3 s counts as 3 s.
constexpr auto accept_window = 550ms;
constexpr auto max_counted_deadline = 3s;
constexpr auto deadline_margin = 450ms; // 0.7 s less a safety margin of 0.25 s
// Upstream connections beyond the number of clients once a successor serves: attempts may outlive their
// clients.
constexpr std::size_t extra_attempts = 8;
// During a hot restart: how long the predecessor may take to hand over the listener, and how long discovery
// may take to update the remembered list of the new process. The predecessor serves meanwhile; both are far
// below the 6 s for a yes.
constexpr auto handover_timeout = 1s;
constexpr auto fresh_list_timeout = 2s;
// The longest wait for discovery's first answer before the remembered list is used. Usually the answer or a
// failure comes earlier.
constexpr auto confirm_timeout = 5s;

class Program final : private admin::Service, private hot_restart::HotRestart::Delegate {
  public:
    Program(config::Settings settings, operator_config::OperatorConfig site,
            std::optional<std::string> handover_socket,
            std::optional<hot_restart::InheritedListener> inherited_listener)
        : settings_(std::move(settings)), latest_settings_(settings_), site_(std::move(site)),
          list_(settings_.names), pool_(loop_, list_, settings_.report_fields,
                                        {.connections = max_connections_per_side(settings_),
                                         .idle = settings_.connection_idle,
                                         .connect_timeout = settings_.connect_timeout}),
          watch_times_(discovery_client::compute_watch_timeouts(settings_.dispatcher.list_valid,
                                                                settings_.dispatcher.drain_grace)),
          watch_(loop_, settings_.discovery, watch_times_, settings_.dispatcher.seed, list_,
                 [this](auto update) { on_list_update(std::move(update)); }),
          host_(settings_.dispatcher, settings_.max_open_requests, config::max_message_bytes(settings_),
                pool_, watch_),
          front_(
              loop_, settings_, host_, max_connections_per_side(settings_),
              [this] { return has_confirmed_workers(); },
              inherited_listener ? std::move(inherited_listener->listener) : net::Fd()),
          batch_timer_(loop_.timer_wheel(), [] {}),
          rewatch_timer_(loop_.timer_wheel(), [this] { watch_.watch(true); }),
          leave_timer_(loop_.timer_wheel(), [this] { front_.begin_shutdown(drain_deadline_); }),
          finish_timer_(loop_.timer_wheel(), [this] { front_.finish_shutdown(); }),
          fresh_list_timer_(loop_.timer_wheel(), [] {}),
          confirm_timer_(loop_.timer_wheel(), [this] { use_remembered_list(); }),
          signals_(loop_, {SIGTERM, SIGINT, SIGUSR1, SIGHUP}, [this](int signal) { on_signal(signal); }),
          hot_restart_(loop_, std::move(handover_socket), std::move(inherited_listener), *this) {
        pool_.set_host(host_);
        host_.set_peer_process(hot_restart_);
        // During a hot restart the predecessor still uses the mesh address.
        if (site_.mesh) fleet_.emplace(loop_, site_, settings_, hot_restart_.has_peer());
        if (fleet_) host_.set_message_observer(*fleet_);
        if (settings_.mgmt) admin_.emplace(loop_, *settings_.mgmt, static_cast<admin::Service&>(*this));
        if (!settings_.remembered_list_json.empty()) {
            if (auto list = list_.apply_update(settings_.remembered_list_json)) {
                list->kind = willowrill::EndpointListUpdate::Kind::remembered;
                log_entries(*list);
                remembered_list_ = std::move(list);
            } else {
                spdlog::warn("inventory: the remembered list is malformed; starting without it");
            }
        }
        if (!settings_.dispatcher.list_on_request) watch_.watch(true); // a pushed list must be requested, too
    }

    void run() {
        loop_.set_iteration_end_hook([this] { on_round_end(); });
        if (admin_) {
            log::event(spdlog::level::info, "mgmt.open", {{"address", admin_->address().text()}},
                       "operators' calls at " + admin_->address().text());
        }
        for (const std::string& remark : settings_.warnings)
            spdlog::warn("settings: {}", remark);
        spdlog::info("{} serves on {}, discovery at {}", settings_.name, front_.address().text(),
                     settings_.discovery.text());
        if (hot_restart_.has_peer()) {
            share_limits();
            fresh_list_timer_.arm(loop_.now() + fresh_list_timeout);
        } else {
            start_serving();
        }
        if (remembered_list_) confirm_timer_.arm(loop_.now() + confirm_timeout);
        host_.run_batch(loop_.now()); // the dispatcher requests the list
        loop_.run();
        print_counters();
    }

  private:
    static std::size_t max_connections_per_side(const config::Settings& settings) {
        rlimit allowed{};
        ::getrlimit(RLIMIT_NOFILE, &allowed);
        return config::max_connections_per_side(settings, allowed.rlim_cur);
    }

    void start_serving() {
        serving_ = true;
        front_.set_accepting(true);
        hot_restart_.start_serving();
    }

    // During a hot restart both processes together keep the limits of one: each uses half the memory, and the
    // new process uses only the descriptors that the old one does not reserve.
    void share_limits() {
        config::Settings own_limits = latest_settings_;
        if (hot_restart_.has_peer()) {
            own_limits.memory_mb /= 2;
            const std::size_t predecessor_descriptors = hot_restart_.predecessor_descriptors();
            own_limits.max_sockets -=
                std::min(own_limits.max_sockets,
                         predecessor_descriptors > 0 ? predecessor_descriptors : own_limits.max_sockets / 2);
        }
        const std::size_t max_connections = max_connections_per_side(own_limits);
        // Once the successor accepts the new clients, this process needs no more attempts than it has
        // clients, plus some that outlive their clients.
        pool_.set_max_connections(hot_restart_.successor_serves()
                                      ? std::min(max_connections, front_.size() + extra_attempts)
                                      : max_connections);
        front_.set_max_connections(max_connections);
        host_.set_max_bytes(config::max_message_bytes(own_limits));
    }

    const std::unordered_set<std::string>& message_ids() const override { return host_.ids(); }
    const net::Fd& listener() const override { return front_.listener(); }
    std::size_t required_descriptors() const override {
        const std::size_t clients = hot_restart_.successor_serves()
                                        ? front_.size()
                                        : std::max(front_.size(), front_.max_connections());
        return config::reserved_descriptors + clients + std::max(pool_.size(), pool_.max_connections());
    }
    void on_peer_changed() override { share_limits(); }
    void on_successor_changed(bool serves) override {
        share_limits();
        if (serving_ && !stopping_) front_.set_accepting(!serves);
    }

    // Changes made while this scheduler was not running count as notified from its start. The remembered list
    // is therefore withheld from the dispatcher, and jobs wait, until discovery has answered or failed.
    void use_remembered_list() {
        confirm_timer_.disarm();
        if (remembered_list_) host_.handle_worker_list(*std::exchange(remembered_list_, std::nullopt));
    }

    void on_list_update(willowrill::EndpointListUpdate update) {
        // With pushed lists the dispatcher does not ask again after a failure, so the watch is reopened here.
        const bool update_failed = update.kind == willowrill::EndpointListUpdate::Kind::broken;
        if (!update_failed) fresh_list_timer_.disarm();
        use_remembered_list();
        if (update_failed && !settings_.dispatcher.list_on_request)
            rewatch_timer_.arm(loop_.now() + watch_times_.reopen_delay);
        if (!update.entries.empty())
            spdlog::info("inventory: version {} with {} entries", list_.version(), update.entries.size());
        log_entries(update);
        host_.handle_worker_list(std::move(update));
        pool_.close_unlisted();
    }

    // Worker numbers differ between schedulers; their logs can only be joined by the ids logged here.
    void log_entries(const willowrill::EndpointListUpdate& update) const {
        if (!log::is_enabled(spdlog::level::debug)) return;
        constexpr std::array<std::string_view, 3> conditions{"ready", "draining", "gone"};
        for (const willowrill::WorkerEntry& entry : update.entries) {
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
        if (next) batch_timer_.arm(*next);
        if (!serving_ && !stopping_ && !list_.empty() && !fresh_list_timer_.armed()) start_serving();
        if (stopping_ && !leave_timer_.armed() && front_.empty() && host_.open_messages() == 0) shut_down();
    }

    // All messages have ended and are counted. The final counts are sent to the other instances before the
    // loop ends.
    void shut_down() {
        if (std::exchange(shutting_down_, true)) return;
        if (!fleet_) return loop_.stop();
        fleet_->leave([this] { loop_.stop(); });
    }

    // Applies both configuration files or neither. Settings used to construct the components stay until a
    // restart.
    void reload() {
        ++reloads_;
        try {
            // Everything that can reject a file precedes the first change.
            std::optional<operator_config::OperatorConfig> new_site;
            if (!site_.file.empty()) new_site = operator_config::read(site_.file);
            config::Settings read_settings = config::read([](const char* name) { return std::getenv(name); });
            if (new_site && !can_apply_without_restart(*new_site)) return;
            const config::Settings old_settings = std::exchange(latest_settings_, std::move(read_settings));
            const config::Settings& new_settings = latest_settings_;
            share_limits();
            if (new_settings.discovery_in_file != old_settings.discovery_in_file)
                watch_.set_endpoint(new_settings.discovery_in_file);
            spdlog::info("configuration read again: discovery at {}, {} connections a side",
                         watch_.discovery().text(), front_.max_connections());
            if (new_settings.settings_json_in_file != old_settings.settings_json_in_file ||
                new_settings.listen_in_file != old_settings.listen_in_file ||
                new_settings.name_in_file != old_settings.name_in_file ||
                new_settings.mgmt_in_file != old_settings.mgmt_in_file)
                spdlog::warn("name, listen, mgmt or settings have changed in the configuration: they take "
                             "effect after a restart");
            if (new_site) apply_site(std::move(*new_site));
        } catch (const std::exception& error) {
            spdlog::error("the configuration stays as it was: {}", error.what());
        }
    }

    bool can_apply_without_restart(const operator_config::OperatorConfig& new_site) const {
        std::string restart_keys;
        for (const std::string& key : operator_config::keys_requiring_restart(site_, new_site))
            restart_keys += (restart_keys.empty() ? "" : ", ") + key;
        if (restart_keys.empty()) return true;
        log::event(spdlog::level::warn, "site.needs_restart", {{"keys", restart_keys}},
                   "the configuration stays as it was, as a restart is needed for: " + restart_keys);
        return false;
    }

    void apply_site(operator_config::OperatorConfig new_site) {
        if (!new_site.log.level.empty()) spdlog::set_level(spdlog::level::from_str(new_site.log.level));
        if (fleet_) fleet_->apply_config(new_site);
        site_ = std::move(new_site);
        log::event(spdlog::level::info, "site.read_again", {{"file", site_.file}},
                   "operators' file read again");
    }

    void on_signal(int signal) {
        if (signal == SIGUSR1) return print_counters();
        if (signal == SIGHUP) return reload();
        if (std::exchange(stopping_, true)) return;
        spdlog::info("stopping: {} messages open", host_.open_messages());
        front_.drain();
        net::Duration max_deadline = 0ns;
        for (const willowrill::JobClass& job_class : settings_.dispatcher.classes)
            max_deadline =
                std::max(max_deadline, std::min<net::Duration>(job_class.give_up, max_counted_deadline));
        drain_deadline_ = loop_.now() + max_deadline + deadline_margin;
        if (hot_restart_.successor_serves()) {
            front_.hand_over(drain_deadline_);
        } else {
            leave_timer_.arm(loop_.now() + accept_window);
        }
        finish_timer_.arm(std::max(drain_deadline_, loop_.now() + accept_window));
    }

    bool has_confirmed_workers() const { return !list_.empty() && !remembered_list_; }
    bool is_ready() const override { return serving_ && has_confirmed_workers() && !stopping_; }
    void set_lame_duck(bool on) override { front_.set_lame_duck(on); }
    std::optional<Resource> resource(std::string_view path) const override {
        if (path == "/_counts") return Resource{"application/json", fleet_ ? fleet_->counts_json() : ""};
        if (path == "/_members") return Resource{"application/json", fleet_ ? fleet_->members_json() : ""};
        return std::nullopt;
    }
    std::string extra_metrics() const override { return fleet_ ? fleet_->prometheus_text() : ""; }
    admin::Metrics metrics() const override {
        admin::Metrics metrics{.classes = {},
                               .attempts = pool_.counters().written,
                               .in_flight = host_.open_messages(),
                               .workers_known = list_.listed_count(),
                               .workers_excluded = host_.workers_excluded(loop_.now())};
        const std::vector<core::ClassTotals>& class_totals = host_.class_totals();
        for (std::size_t i = 0; i < class_totals.size(); ++i) {
            metrics.classes.push_back({settings_.names.classes[i], class_totals[i].served,
                                       class_totals[i].refused, class_totals[i].failed});
        }
        return metrics;
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
                     host.list_updates, host.failed_list_updates, watch_.stall_count(), list_.version(),
                     host.batches, reloads_);
    }

    const config::Settings settings_;      // as of the start; the components refer to them
    config::Settings latest_settings_;     // as of the last reload
    operator_config::OperatorConfig site_; // the operators' file as last applied
    net::Loop loop_;
    discovery_client::WorkerRegistry list_;
    upstream::Pool pool_;
    const discovery_client::WatchTimeouts watch_times_;
    discovery_client::DiscoveryWatcher watch_;
    core::Host host_;
    frontend::Frontend front_;
    net::Timer batch_timer_, rewatch_timer_, leave_timer_, finish_timer_, fresh_list_timer_, confirm_timer_;
    std::optional<willowrill::EndpointListUpdate> remembered_list_; // until discovery first answers or fails
    net::Time drain_deadline_{0}; // for messages accepted during the shutdown
    net::SignalHandler signals_;
    hot_restart::HotRestart hot_restart_;
    std::optional<fleet::Fleet> fleet_;
    std::optional<admin::Server> admin_;
    bool serving_ = false, stopping_ = false, shutting_down_ = false;
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

// Prints one line for each problem in the operators' file. Returns the exit code: 0 if there is none.
int check_site_file(const std::string& file) {
    try {
        willowrill::operator_config::read(file);
        std::cout << file << ": good\n";
        return 0;
    } catch (const willowrill::operator_config::OperatorConfigError& error) {
        for (const willowrill::operator_config::Problem& problem : error.problems())
            std::cerr << problem.text() << '\n';
        return 1;
    }
}

int run_scheduler(const Options& options) {
    namespace operator_config = willowrill::operator_config;
    std::optional<willowrill::net::ScopedSignalBlock> blocked_signals(std::in_place,
                                                                      {SIGTERM, SIGINT, SIGUSR1, SIGHUP});
    auto settings = willowrill::config::read([](const char* name) { return std::getenv(name); });
    operator_config::OperatorConfig site = options.site_file.empty()
                                               ? operator_config::OperatorConfig()
                                               : operator_config::read(options.site_file);
    if (!site.log.level.empty()) spdlog::set_level(spdlog::level::from_str(site.log.level));
    spdlog::cfg::load_env_levels(); // SPDLOG_LEVEL overrides the file; at debug level every attempt is logged
    const bool json = options.log_format.empty() ? site.log.format == operator_config::LogFormat::json
                                                 : options.log_format == "json";
    if (json) willowrill::log::configure_logging(true, site.instance.empty() ? settings.name : site.instance);
    auto handover_socket =
        willowrill::hot_restart::handover_socket_path(std::getenv("TMPDIR"), settings.listen);
    std::optional<willowrill::hot_restart::InheritedListener> inherited_listener;
    if (handover_socket)
        inherited_listener = willowrill::hot_restart::request_listener(*handover_socket, settings.listen,
                                                                       willowrill::handover_timeout);
    willowrill::Program program(std::move(settings), std::move(site), std::move(handover_socket),
                                std::move(inherited_listener));
    blocked_signals.reset();
    program.run();
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    willowrill::log::configure_logging(false, "");
    CLI::App app("willowrilld, a job scheduler. The platform configures it by environment variables\n"
                 "(PROXY_CONFIG and others, see the README); all command-line options are optional.");
    Options options;
    app.add_option("--config", options.site_file, "the operators' file (YAML, see deploy/willowrill.yaml)")
        ->option_text("FILE");
    app.add_option("--log-format", options.log_format,
                   "text, or json with one object per line; overrides the operators' file")
        ->check(CLI::IsMember({"text", "json"}))
        ->option_text("text|json");
    app.add_flag("--check", options.check, "check the operators' file, print its problems and exit")
        ->needs("--config");
    app.set_version_flag("--version", version, "print the version and exit");
    CLI11_PARSE(app, argc, argv);
    try {
        return options.check ? check_site_file(options.site_file) : run_scheduler(options);
    } catch (const std::exception& error) {
        std::cerr << "willowrill: " << error.what() << '\n';
        return 1;
    }
}
