// What ends a process and what does not, by the surroundings that it is started in.
#include "system/process/startup.h"

#include "support/child_process.h"
#include "support/expect.h"

#include <criterion/criterion.h>

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/stat.h>

#include <cerrno>
#include <csignal>
#include <cstdio>
#include <stdexcept>
#include <thread>

using namespace willowrill;

namespace {

void fail_in_a_thread() {
    std::thread([] { throw std::runtime_error("a fault of the program"); }).join();
}

} // namespace

// Guards against faults that are hidden: an exception that nobody catches is logged, and ends the process.
Test(startup, an_exception_that_nobody_catches_is_logged_and_ends_the_process) {
    const ChildResult result = run_in_child([] {
        process::prepare();
        fail_in_a_thread();
    });
    cr_assert(result.ended_by(SIGABRT));
    cr_assert_neq(result.log.find("level=error event=terminated detail=\"a fault of the program\"\n"),
                  std::string::npos, "%s", result.log.c_str());
}

Test(startup, the_start_is_logged_with_what_the_platform_gives) {
    settings::Settings settings;
    settings.node_name = "n1";
    settings.memory_mb = 260;
    const ChildResult result = run_in_child([&] { process::log_start("data", "1.2.3", settings); });
    cr_assert(result.ended_with(0));
    cr_assert_eq(result.log.find(
                     "level=info event=started role=data node=n1 release=1.2.3 initial=false memory_mb=260"),
                 0U, "%s", result.log.c_str());
    cr_assert_neq(result.log.find(" log=pipe\n"), std::string::npos);
}

// Guards against log lines in files and connections: a process that starts without standard error gave its
// descriptor to the next file that it opened.
Test(startup, standard_descriptors_that_are_closed_lead_nowhere) {
    const ChildResult result = run_in_child([] {
        const int log = ::dup(STDERR_FILENO);
        for (const int descriptor : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO})
            ::close(descriptor);
        process::prepare();
        struct stat first {
        }, second{};
        const bool is_null = ::fstat(STDERR_FILENO, &first) == 0 && ::stat("/dev/null", &second) == 0 &&
                             first.st_rdev == second.st_rdev;
        const std::string_view verdict = is_null ? "null" : "something else";
        (void)::write(log, verdict.data(), verdict.size());
    });
    expect_text(result.log, "null");
}

// Guards against a process that ends by itself: a write beyond the limit on file sizes ended it by SIGXFSZ.
Test(startup, a_write_beyond_the_limit_on_file_sizes_fails_and_ends_nothing) {
    const ChildResult result = run_in_child([] {
        process::prepare();
        std::FILE* file = std::tmpfile();
        const rlimit limit{1, 1};
        ::setrlimit(RLIMIT_FSIZE, &limit);
        const bool failed = ::pwrite(::fileno(file), "xy", 2, 1) < 0 && errno == EFBIG;
        ::_exit(failed ? 0 : 1);
    });
    cr_assert(result.ended_with(0));
}

Test(startup, the_settings_are_lowered_to_the_limits_of_the_process) {
    const ChildResult result = run_in_child([] {
        const rlimit limit{64, 64};
        ::setrlimit(RLIMIT_NOFILE, &limit);
        settings::Settings settings;
        settings.max_files = 4100;
        process::apply_limits(settings);
        const bool lowered = settings.max_files == 64;
        settings.max_files = 20;
        process::apply_limits(settings);
        ::_exit(lowered && settings.max_files == 20 ? 0 : 1);
    });
    cr_assert(result.ended_with(0));
}

// Guards against clients that are turned away: the usual limit for a start is below what a scheduler may use.
Test(startup, a_limit_on_descriptors_that_may_be_raised_is_raised) {
    const ChildResult result = run_in_child([] {
        const rlimit limit{64, 128};
        ::setrlimit(RLIMIT_NOFILE, &limit);
        settings::Settings settings;
        settings.max_files = 100;
        process::apply_limits(settings);
        rlimit now{};
        ::getrlimit(RLIMIT_NOFILE, &now);
        ::_exit(settings.max_files == 100 && now.rlim_cur == 100 ? 0 : 1);
    });
    cr_assert(result.ended_with(0));
}
