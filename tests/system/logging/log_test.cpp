// The form of a log line, which operators' searches rest on.
#include "system/logging/log.h"

#include "support/expect.h"

#include <criterion/criterion.h>

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
