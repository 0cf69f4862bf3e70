// The form of a log line, which operators' searches rest on.
#include "system/logging/log.h"

#include "support/child_process.h"
#include "support/expect.h"

#include <criterion/criterion.h>

#include <fcntl.h>

#include <array>
#include <csignal>

using namespace willowrill;

Test(log, an_event_is_one_line_of_keys_and_values) {
    logging::Event event(logging::Level::info, "phase");
    event.field("node", "n1").field("version", 7).field("change", true);
    expect_text(event.line(), "level=info event=phase node=n1 version=7 change=true");
}

Test(log, a_sentence_stands_in_quotes) {
    logging::Event event(logging::Level::warning, "settings-unreadable");
    event.text("detail", "no such file");
    expect_text(event.line(), "level=warning event=settings-unreadable detail=\"no such file\"");
}

Test(log, an_error_says_so) {
    const logging::Event event = logging::error("ended");
    expect_text(event.line(), "level=error event=ended");
}

namespace {

constexpr int lines_beyond_a_pipe = 5000;

// Standard error becomes a pipe of its own; returns its end for reading.
int log_to_a_pipe() {
    std::array<int, 2> ends{};
    cr_assert_eq(::pipe(ends.data()), 0);
    ::dup2(ends[1], STDERR_FILENO);
    ::close(ends[1]);
    return ends[0];
}

} // namespace

// Guards against a process that ends by itself: a line that could not be written ended it by SIGABRT.
Test(log, a_process_without_anybody_who_reads_its_log_goes_on) {
    const ChildResult result = run_in_child([] {
        std::signal(SIGPIPE, SIG_IGN);
        ::close(log_to_a_pipe());
        logging::info("phase").field("node", "n1");
        ::_exit(logging::dropped_lines() == 1 ? 0 : 1);
    });
    cr_assert(result.ended_with(0));
}

Test(log, a_full_device_costs_lines_and_no_process) {
    const ChildResult result = run_in_child([] {
        ::dup2(::open("/dev/full", O_WRONLY), STDERR_FILENO);
        logging::info("phase").field("node", "n1");
        ::_exit(logging::dropped_lines() == 1 ? 0 : 1);
    });
    cr_assert(result.ended_with(0));
}

// Guards against a process that is mute: its loop waited for the reader of its log.
Test(log, a_reader_that_stops_costs_lines_and_is_told_their_number_when_it_goes_on) {
    const ChildResult result = run_in_child([] {
        const int copy = ::dup(STDERR_FILENO);
        const int reader = log_to_a_pipe();
        for (int i = 0; i < lines_beyond_a_pipe; ++i)
            logging::info("phase").field("number", i);
        const std::uint64_t dropped = logging::dropped_lines();
        std::string text(1U << 20U, ' ');
        (void)::read(reader, text.data(), text.size());
        logging::info("after");
        text.assign(text.size(), ' ');
        const ssize_t size = ::read(reader, text.data(), text.size());
        (void)::write(copy, text.data(), static_cast<std::size_t>(size));
        ::_exit(dropped > 0 && dropped < lines_beyond_a_pipe ? 0 : 1);
    });
    cr_assert(result.ended_with(0));
    cr_assert_neq(result.log.find("level=warning event=log-lines-dropped count="), std::string::npos, "%s",
                  result.log.c_str());
    cr_assert_neq(result.log.find("level=info event=after\n"), std::string::npos);
}
