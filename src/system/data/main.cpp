// willowrill-data: one process of the data plane.
#include "system/data/data_plane.h"
#include "system/transport/process.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <csignal>

namespace {

using namespace willowrill;

int serve(const settings::Settings& settings, const std::string& path, std::uint16_t metrics_port) {
    asio::io_context loop(1);
    data::DataPlane plane(loop, settings, path, metrics_port);
    transport::run_until_shutdown(loop, plane);
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app{"The data plane of willowrill: takes clients' requests to workers."};
    app.set_version_flag("--version", WILLOWRILL_VERSION);
    std::string settings_path;
    bool check = false;
    std::uint16_t metrics_port = 0;
    app.add_option("--settings", settings_path, "settings file of this process")->envname("WILLOWRILL_BOOT");
    app.add_option("--metrics-port", metrics_port, "serve figures at this port, path /metrics");
    app.add_flag("--check", check, "read the settings, say what is wrong with them, and end");
    CLI11_PARSE(app, argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    const auto settings = settings::load(settings_path);
    if (!settings || settings.value().front.port == 0 || settings.value().readiness.port == 0) {
        fmt::print(stderr, "level=error event=settings-unusable path={} detail=\"{}\"\n", settings_path,
                   settings ? "endpoints.front or endpoints.readiness is missing" : settings.error().detail);
        return 1;
    }
    if (check) return 0;
    try {
        return serve(settings.value(), settings_path, metrics_port);
    } catch (const std::exception& error) {
        fmt::print(stderr, "level=error event=ended detail=\"{}\"\n", error.what());
        return 1;
    }
}
