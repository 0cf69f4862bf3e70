#include "scheduler/log/log.h"

#include "common/log_output/non_blocking_writer.h"

#include <doctest/doctest.h>
#include <spdlog/sinks/ostream_sink.h>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <sstream>

namespace willowrill::log {

TEST_CASE("invalid UTF-8 does not break a JSON line") {
    CHECK(json_quote("a\"b\\c\n") == R"("a\"b\\c\u000a")");
    CHECK(json_quote("h\xc3\xa9") == "\"h\xc3\xa9\"");
    for (const char* invalid : {"\xff", "\xc0", "\xed\xa0\x80", "\xf4\x90\x80\x80", "\xe2\x82"})
        CHECK(json_quote(invalid).find("\xef\xbf\xbd") != std::string::npos);
}

TEST_CASE("an event's JSON line holds its name, fields and text, a plain message has the event name log") {
    std::ostringstream output;
    auto sink = std::make_shared<spdlog::sinks::ostream_sink_st>(output);
    sink->set_formatter(make_json_formatter("i\"1"));
    const auto previous_logger = spdlog::default_logger();
    spdlog::set_default_logger(std::make_shared<spdlog::logger>("test", sink));
    CHECK(is_enabled(spdlog::level::info));
    event(spdlog::level::info, "message.over", {{"worker", std::uint64_t{7}}, {"tenant", "a"}}, "it is over");
    event(spdlog::level::debug, "message.over", {}, "not at this level");
    spdlog::info("plain");
    spdlog::set_default_logger(previous_logger);
    const std::string text = output.str();
    CHECK(text.find(R"("level":"info","event":"message.over","instance":"i\"1","worker":7,"tenant":"a",)"
                    R"("text":"it is over"})") != std::string::npos);
    CHECK(text.find("not at this level") == std::string::npos);
    CHECK(text.find(R"("event":"log","instance":"i\"1","text":"plain"})") != std::string::npos);
}

TEST_CASE("a reader that stops costs counted lines but no time and lines are never cut") {
    bool is_pipe = false;
    SUBCASE("a pipe") { is_pipe = true; }
    SUBCASE("a socket") {}
    std::array<int, 2> ends{};
    REQUIRE((is_pipe ? ::pipe(ends.data()) : ::socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data())) == 0);
    log_output::NonBlockingWriter outlet(ends[1]);
    const std::string line = std::string(299, 'x') + "\n";
    std::size_t taken = 0;
    for (int i = 0; i < 5000; ++i) // far more than there is room for
        taken += outlet.write(line) ? 1 : 0;
    CHECK(taken > 0);
    CHECK(outlet.dropped() == 5000 - taken);
    CHECK_FALSE(outlet.has_room());
    const auto drain = [&] {
        std::string out(1U << 22U, ' ');
        out.resize(static_cast<std::size_t>(std::max(0L, long{::read(ends[0], out.data(), out.size())})));
        return out;
    };
    std::string read;
    while (read.size() < taken * line.size()) {
        read += drain();
        outlet.has_room();
    }
    CHECK(outlet.write("after\n"));
    read += drain();
    std::string whole;
    for (std::size_t i = 0; i < taken; ++i)
        whole += line;
    CHECK(read == whole + "after\n");
    for (const int end : ends)
        ::close(end);
}

} // namespace willowrill::log
