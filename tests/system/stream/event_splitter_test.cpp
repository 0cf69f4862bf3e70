// Streams of events, cut at every byte, against a plain reading of the complete stream.
#include "system/stream/event_splitter.h"

#include "support/expect.h"

#include <criterion/criterion.h>

#include <random>
#include <string>

using willowrill::stream::EventSplitter;

Test(event_splitter, complete_events_come_out_whatever_the_pieces) {
    const std::string all = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: no id\n\nid: 3\ndata: c\n\n";
    std::mt19937_64 random(2);
    for (int round = 0; round < 300; ++round) {
        EventSplitter splitter;
        std::string out;
        for (std::size_t at = 0; at < all.size();) {
            const std::size_t size = 1 + random() % 9;
            cr_assert(splitter.append(std::string_view(all).substr(at, size)));
            out += splitter.take_events();
            at += size;
        }
        expect_text(out.c_str(), all.c_str());
        expect_text(splitter.last_event_id().c_str(), "3");
        cr_assert(splitter.partial_event().empty());
    }
}

// A stream that breaks off at any byte: what was passed on ends with a whole event, and its id is known.
Test(event_splitter, a_break_anywhere_leaves_complete_events_and_their_last_id) {
    std::string all;
    for (int id = 1; id <= 5; ++id)
        all += "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + "\n\n";
    for (std::size_t cut = 0; cut <= all.size(); ++cut) {
        EventSplitter splitter;
        splitter.append(all.substr(0, cut));
        const std::string out = splitter.take_events();
        int whole = 0;
        for (std::size_t at = all.find("\n\n"); at != std::string::npos && at + 2 <= cut;
             at = all.find("\n\n", at + 2))
            ++whole;
        expect_text(splitter.last_event_id().c_str(), whole == 0 ? "" : std::to_string(whole).c_str(),
                    "cut at " + std::to_string(cut));
        cr_assert(out.empty() || out.ends_with("\n\n"));
        splitter.discard_partial_event();
        cr_assert(splitter.partial_event().empty());
    }
}

Test(event_splitter, an_event_beyond_the_bound_is_rejected) {
    EventSplitter splitter;
    const std::string piece(willowrill::stream::max_event_bytes / 2 + 1, 'x');
    cr_assert(splitter.append(piece));
    cr_assert_not(splitter.append(piece));
}
