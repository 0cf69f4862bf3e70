#include "log/log.h"

#include <doctest/doctest.h>
#include <spdlog/sinks/ostream_sink.h>

#include <sstream>

namespace willowrill::log {

TEST_CASE("what is not UTF-8 cannot break a JSON line") {
    CHECK(json_text("a\"b\\c\n") == R"("a\"b\\c\u000a")");
    CHECK(json_text("h\xc3\xa9") == "\"h\xc3\xa9\"");
    for (const char* bad : {"\xff", "\xc0", "\xed\xa0\x80", "\xf4\x90\x80\x80", "\xe2\x82"})
        CHECK(json_text(bad).find("\xef\xbf\xbd") != std::string::npos);
}

TEST_CASE("an event's line holds its name, its fields and its sentence; a plain line has the event log") {
    std::ostringstream out;
    auto sink = std::make_shared<spdlog::sinks::ostream_sink_st>(out);
    sink->set_formatter(json_lines("i\"1"));
    const auto before = spdlog::default_logger();
    spdlog::set_default_logger(std::make_shared<spdlog::logger>("test", sink));
    CHECK(wanted(spdlog::level::info));
    event(spdlog::level::info, "message.over", {{"worker", std::uint64_t{7}}, {"tenant", "a"}}, "it is over");
    event(spdlog::level::debug, "message.over", {}, "not at this level");
    spdlog::info("plain");
    spdlog::set_default_logger(before);
    const std::string text = out.str();
    CHECK(text.find(R"("level":"info","event":"message.over","instance":"i\"1","worker":7,"tenant":"a",)"
                    R"("text":"it is over"})") != std::string::npos);
    CHECK(text.find("not at this level") == std::string::npos);
    CHECK(text.find(R"("event":"log","instance":"i\"1","text":"plain"})") != std::string::npos);
}

} // namespace willowrill::log
