// Settings that the platform is writing while a process starts.
#include "system/process/settings_wait.h"

#include "support/scratch_folder.h"

#include <criterion/criterion.h>

#include <csignal>
#include <fstream>

using namespace willowrill;

namespace {

const std::string complete_settings =
    R"({"nodeName":"n","zone":"z","region":"g","ipAddress":"127.0.0.1","internalPorts":[7720,7735]})";

struct Start {
    void write(const std::string& text) const { std::ofstream(path) << text; }
    auto wait(std::chrono::milliseconds timeout) {
        return process::wait_for_settings(signals, path, timeout);
    }

    ScratchFolder folder;
    std::string path = (folder.path() / "local.json").string();
    asio::io_context loop{1};
    transport::ProcessSignals signals{loop};
};

} // namespace

// Guards against a process that ends by itself: it found half a file, as its settings were being written.
Test(settings_wait, a_file_that_is_being_written_is_read_once_it_is_complete) {
    for (const std::size_t bytes : {std::size_t(0), complete_settings.size() / 2}) {
        Start start;
        start.write(complete_settings.substr(0, bytes));
        asio::post(start.loop, [&] { start.write(complete_settings); });
        const auto settings = start.wait(std::chrono::seconds(20));
        cr_assert(settings.has_value());
        cr_assert(static_cast<bool>(*settings));
        cr_assert(settings->value().node_name == "n");
    }
}

Test(settings_wait, a_file_that_stays_unusable_is_an_error) {
    Start start;
    start.write("{");
    const auto settings = start.wait(std::chrono::milliseconds(60));
    cr_assert(settings.has_value());
    cr_assert_not(static_cast<bool>(*settings));
}

Test(settings_wait, a_process_that_is_told_to_end_waits_no_longer) {
    Start start;
    asio::post(start.loop, [] { std::raise(SIGTERM); });
    cr_assert_not(start.wait(std::chrono::seconds(20)).has_value());
}
