// Reads the settings at the start of a process: the platform may be writing the file at that moment. One
// thread, that of the loop.
#pragma once

#include "system/errors/error.h"
#include "system/settings/settings.h"
#include "system/transport/process_signals.h"

#include <chrono>
#include <optional>
#include <string>

namespace willowrill::process {

inline constexpr std::chrono::milliseconds settings_timeout{2000};

// The settings, or the error where they cannot be used until `timeout` is over. Nothing where SIGTERM or
// SIGINT came before. The loop of `signals` must not run meanwhile.
std::optional<errors::Result<settings::Settings>>
wait_for_settings(transport::ProcessSignals& signals, const std::string& path,
                  std::chrono::milliseconds timeout = settings_timeout);

} // namespace willowrill::process
