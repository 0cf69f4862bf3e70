#include "system/process/settings_wait.h"

#include "system/logging/log.h"
#include "system/transport/process.h"

namespace willowrill::process {
namespace {

constexpr std::chrono::milliseconds retry_pause{25};

} // namespace

std::optional<errors::Result<settings::Settings>> wait_for_settings(transport::ProcessSignals& signals,
                                                                    const std::string& path,
                                                                    std::chrono::milliseconds timeout) {
    const std::chrono::milliseconds give_up_at = steady_now() + timeout;
    auto settings = settings::load(path);
    bool waited = false;
    while (!settings && steady_now() < give_up_at) {
        if (!waited)
            logging::warning("settings-incomplete")
                .field("path", path)
                .text("detail", settings.error().detail);
        waited = true;
        if (signals.shutdown_requested_within(retry_pause)) return std::nullopt;
        settings = settings::load(path);
    }
    return settings;
}

} // namespace willowrill::process
