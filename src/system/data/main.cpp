// willowrill-data: one process of the data plane.
#include "system/data/data_plane.h"
#include "system/logging/log.h"
#include "system/process/settings_wait.h"
#include "system/process/startup.h"
#include "system/transport/address_wait.h"
#include "system/transport/process_signals.h"

#include <CLI/CLI.hpp>

#include <cstdlib>
#include <exception>
#include <string>

namespace {

using namespace willowrill;

// Returns once the process has left in order; throws where it cannot start.
void serve(asio::io_context& loop, transport::ProcessSignals& signals, const settings::Settings& settings,
           const std::string& path, std::uint16_t metrics_port) {
    if (!transport::wait_for_addresses(loop, signals, data::addresses_of(settings))) return;
    data::DataPlane data_plane(loop, settings, path, metrics_port);
    signals.run_until_shutdown(data_plane);
}

} // namespace

int main(int argc, char** argv) {
    process::prepare();
    CLI::App app{"The data plane of willowrill: takes clients' requests to workers."};
    app.set_version_flag("--version", WILLOWRILL_VERSION);
    std::string settings_path;
    bool check = false;
    std::uint16_t metrics_port = 0;
    app.add_option("--settings", settings_path, "settings file of this process")->envname("WILLOWRILL_BOOT");
    app.add_option("--metrics-port", metrics_port, "serve figures at this port, path /metrics");
    app.add_flag("--check", check, "read the settings, say what is wrong with them, and end");
    CLI11_PARSE(app, argc, argv);
    asio::io_context loop(1);
    transport::ProcessSignals signals(loop);
    const std::chrono::milliseconds settings_timeout =
        check ? std::chrono::milliseconds(0) : process::settings_timeout;
    auto found = process::wait_for_settings(signals, settings_path, settings_timeout);
    if (!found) return EXIT_SUCCESS; // told to end before there were any
    auto& settings = *found;
    if (!settings || settings.value().front.port == 0 || settings.value().readiness.port == 0) {
        const std::string reason =
            settings ? "endpoints.front or endpoints.readiness is missing" : settings.error().detail;
        logging::error("settings-unusable").field("path", settings_path).text("detail", reason);
        return EXIT_FAILURE;
    }
    if (check) return EXIT_SUCCESS;
    process::apply_limits(settings.value());
    process::log_start("data", WILLOWRILL_VERSION, settings.value());
    try {
        serve(loop, signals, settings.value(), settings_path, metrics_port);
    } catch (const std::exception& error) {
        logging::error("ended").text("detail", error.what());
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
