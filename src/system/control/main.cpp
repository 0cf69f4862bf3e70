// willowrill-control: one process of the control plane.
#include "system/control/control_plane.h"
#include "system/logging/log.h"
#include "system/process/settings_wait.h"
#include "system/process/startup.h"
#include "system/transport/address_wait.h"
#include "system/transport/process_signals.h"
#include "system/transport/signal_mask.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace {

using namespace willowrill;

int check_configuration(const std::string& path) {
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
        fmt::print(stderr, "{}: cannot be read\n", path);
        return 1;
    }
    const auto parsed = configuration::parse(text.str());
    if (parsed) {
        fmt::print("{}: good, version {}, {} routes\n", path, parsed.value().version,
                   parsed.value().routes.size());
        return 0;
    }
    fmt::print(stderr, "{}: {}\n", path, parsed.error().detail);
    return 1;
}

int serve(asio::io_context& loop, transport::ProcessSignals& signals, const settings::Settings& settings,
          const std::string& path, std::uint16_t metrics_port) {
    // Before anything reads the disk: the process that has the addresses may still write there.
    if (!transport::wait_for_addresses(loop, signals, control::addresses_of(settings))) return 0;
    control::ControlPlane plane(loop, settings, path, metrics_port);
    signals.run_until_shutdown(plane);
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    process::prepare();
    CLI::App app{"The control plane of willowrill: configuration, membership, discovery and directory."};
    app.set_version_flag("--version", WILLOWRILL_VERSION);
    std::string settings_path, configuration_path;
    bool check_only = false;
    std::uint16_t metrics_port = 0;
    app.add_option("--settings", settings_path, "settings file of this process")->envname("WILLOWRILL_BOOT");
    app.add_option("--metrics-port", metrics_port, "serve metrics on this port at /metrics");
    app.add_flag("--check", check_only, "validate the settings file and exit");
    app.add_option("--check-configuration", configuration_path,
                   "validate an operator's configuration file and exit");
    CLI11_PARSE(app, argc, argv);
    if (!configuration_path.empty()) {
        transport::unblock_process_signals();
        return check_configuration(configuration_path);
    }
    asio::io_context loop(1);
    transport::ProcessSignals signals(loop);
    const std::chrono::milliseconds settings_timeout =
        check_only ? std::chrono::milliseconds(0) : process::settings_timeout;
    auto found = process::wait_for_settings(signals, settings_path, settings_timeout);
    if (!found) return EXIT_SUCCESS; // told to end before there were any
    auto& settings = *found;
    if (!settings || settings.value().control.port == 0) {
        logging::error("settings-unusable")
            .field("path", settings_path)
            .text("detail", settings ? "endpoints.control is missing" : settings.error().detail);
        return 1;
    }
    if (check_only) return 0;
    process::apply_limits(settings.value());
    process::log_start("control", WILLOWRILL_VERSION, settings.value());
    try {
        return serve(loop, signals, settings.value(), settings_path, metrics_port);
    } catch (const std::exception& error) {
        logging::error("ended").text("detail", error.what());
        return 1;
    }
}
