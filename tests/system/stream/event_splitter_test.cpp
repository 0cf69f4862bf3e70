// Tests that a stream is split into complete events wherever its bytes are cut.
#include "system/stream/event_splitter.h"

#include "support/expect.h"

#include <criterion/criterion.h>

#include <random>
#include <string>

using willowrill::stream::EventSplitter;

Test(event_splitter, complete_events_do_not_depend_on_the_chunk_sizes) {
    const std::string stream = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: no id\n\nid: 3\ndata: c\n\n";
    std::mt19937_64 random(2);
    for (int round = 0; round < 300; ++round) {
        EventSplitter splitter;
        std::string events;
        for (std::size_t offset = 0; offset < stream.size();) {
            const std::size_t chunk_size = 1 + random() % 9;
            cr_assert(splitter.append(std::string_view(stream).substr(offset, chunk_size)));
            events += splitter.take_events();
            offset += chunk_size;
        }
        expect_text(events.c_str(), stream.c_str());
        expect_text(splitter.last_event_id().c_str(), "3");
        cr_assert(splitter.partial_event().empty());
    }
}

// Wherever the stream breaks off, the events taken are complete and the id of the last one is known.
Test(event_splitter, a_truncated_stream_yields_its_complete_events_and_their_last_id) {
    std::string stream;
    for (int id = 1; id <= 5; ++id)
        stream += "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + "\n\n";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        EventSplitter splitter;
        splitter.append(stream.substr(0, cut));
        const std::string events = splitter.take_events();
        int complete_events = 0;
        for (std::size_t end = stream.find("\n\n"); end != std::string::npos && end + 2 <= cut;
             end = stream.find("\n\n", end + 2))
            ++complete_events;
        expect_text(splitter.last_event_id().c_str(),
                    complete_events == 0 ? "" : std::to_string(complete_events).c_str(),
                    "cut at " + std::to_string(cut));
        cr_assert(events.empty() || events.ends_with("\n\n"));
        splitter.discard_partial_event();
        cr_assert(splitter.partial_event().empty());
    }
}

// Guards against seconds of processor time for one long event: it was searched anew with each part that came.
Test(event_splitter, an_event_that_comes_in_many_parts_is_searched_about_once) {
    EventSplitter splitter;
    const std::string part = "data: " + std::string(93, 'x') + "\n";
    constexpr std::size_t parts = 4000;
    for (std::size_t i = 0; i < parts; ++i) {
        cr_assert(splitter.append(part));
        cr_assert(splitter.take_events().empty());
    }
    cr_assert(splitter.append("\n"));
    cr_assert_eq(splitter.take_events().size(), parts * part.size() + 1);
    cr_assert_leq(splitter.searched_bytes(), 2 * parts * part.size());
}

Test(event_splitter, an_event_larger_than_the_buffer_is_rejected) {
    EventSplitter splitter;
    const std::string chunk(willowrill::stream::max_event_bytes / 2 + 1, 'x');
    cr_assert(splitter.append(chunk));
    cr_assert_not(splitter.append(chunk));
}
