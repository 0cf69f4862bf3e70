// What ends a process and what does not, by the surroundings that it is started in.
#include "system/process/startup.h"

#include "support/child_process.h"
#include "support/expect.h"

#include <criterion/criterion.h>

#include <fcntl.h>
#include <sys/stat.h>

#include <csignal>
#include <stdexcept>

using namespace willowrill;

namespace {

void fail_in_a_destructor() {
    struct Failing {
        // NOLINTNEXTLINE(bugprone-exception-escape): that is what is tried
        ~Failing() { throw std::runtime_error("a fault of the program"); }
    };
    const Failing failing;
}

} // namespace

// Guards against faults that are hidden: an exception that nobody catches is logged, and ends the process.
Test(startup, an_exception_that_nobody_catches_is_logged_and_ends_the_process) {
    const ChildResult result = run_in_child([] {
        process::prepare();
        fail_in_a_destructor();
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
