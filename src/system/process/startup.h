// What a process makes of the surroundings that it is started in: its standard descriptors, signals and
// limits. To be called from `main`, before there is a second thread.
#pragma once

#include "system/settings/settings.h"

#include <string_view>

namespace willowrill::process {

// Makes the process independent of how it was started, before it opens anything: standard descriptors that
// are closed lead to /dev/null, so that no file or connection gets their numbers; a write to a closed pipe or
// beyond the limit on file sizes fails and does not end the process; an exception that nobody catches is
// logged as `event=terminated` before it ends the process.
void prepare();

// Raises this process's limit on descriptors to that of `settings`, as far as the platform lets it, and
// lowers the one in `settings` to what it got.
void apply_limits(settings::Settings& settings);

// Logs `event=started` with what the platform gives to this process. `role`: of the deploy file.
void log_start(std::string_view role, std::string_view version, const settings::Settings& settings);

} // namespace willowrill::process
