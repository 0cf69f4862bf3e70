#include "scheduler/log/log.h"

#include "common/log_output/non_blocking_writer.h"

#include <spdlog/details/null_mutex.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>

#include <unistd.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace willowrill::log {
namespace {

struct Event {
    std::string_view name;
    std::initializer_list<Field> fields;
};
// The event whose line is being written; null outside `event`. Not synchronized: only one thread logs.
const Event* current_event = nullptr;

// The length in bytes of the character at the front of the text; 0 if it is not valid UTF-8.
std::size_t utf8_sequence_length(std::string_view text) {
    const auto byte_at = [&](std::size_t i) { return static_cast<unsigned char>(text[i]); };
    const unsigned char lead = byte_at(0);
    const std::size_t length = lead < 0x80 ? 1 : lead < 0xc2 ? 0 : lead < 0xe0 ? 2 : lead < 0xf0 ? 3 : 4;
    if (length == 0 || lead > 0xf4 || text.size() < length) return 0;
    for (std::size_t i = 1; i < length; ++i)
        if ((byte_at(i) & 0xc0U) != 0x80) return 0;
    if (lead == 0xe0 && byte_at(1) < 0xa0) return 0; // overlong encoding
    if (lead == 0xed && byte_at(1) > 0x9f) return 0; // UTF-16 surrogate
    if (lead == 0xf0 && byte_at(1) < 0x90) return 0;
    if (lead == 0xf4 && byte_at(1) > 0x8f) return 0;
    return length;
}

class JsonFormatter final : public spdlog::formatter {
  public:
    explicit JsonFormatter(std::string instance) : instance_(std::move(instance)) {}

    void format(const spdlog::details::log_msg& message, spdlog::memory_buf_t& buffer) override {
        std::string line = "{\"time\":\"";
        spdlog::memory_buf_t time;
        time_.format(message, time);
        line.append(time.data(), time.size());
        const auto level = spdlog::level::to_string_view(message.level);
        line.append("\",\"level\":\"").append(level.data(), level.size());
        line += "\",\"event\":" + json_quote(current_event != nullptr ? current_event->name : "log");
        if (!instance_.empty()) line += ",\"instance\":" + json_quote(instance_);
        if (current_event != nullptr) {
            for (const Field& field : current_event->fields) {
                line += "," + json_quote(field.name) + ":";
                if (const auto* text = std::get_if<std::string_view>(&field.value)) line += json_quote(*text);
                if (const auto* count = std::get_if<std::uint64_t>(&field.value))
                    line += std::to_string(*count);
                if (const auto* number = std::get_if<double>(&field.value))
                    line += fmt::format("{:.6g}", *number);
            }
        }
        line += ",\"text\":" + json_quote({message.payload.data(), message.payload.size()}) + "}\n";
        buffer.append(line.data(), line.data() + line.size());
    }
    std::unique_ptr<spdlog::formatter> clone() const override {
        return std::make_unique<JsonFormatter>(instance_);
    }

  private:
    std::string instance_;
    spdlog::pattern_formatter time_{"%Y-%m-%dT%H:%M:%S.%eZ", spdlog::pattern_time_type::utc, ""};
};

// Writes to standard error without blocking and reports the lines dropped because of that.
class StderrSink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
  public:
    std::uint64_t dropped() const { return writer_.dropped(); }

  protected:
    void sink_it_(const spdlog::details::log_msg& message) override {
        if (writer_.dropped() > reported_drops_ && writer_.has_room()) {
            const std::string text =
                fmt::format("log: {} lines were dropped because standard error could not take them",
                            writer_.dropped() - reported_drops_);
            const std::uint64_t dropped_before = writer_.dropped();
            const Event* const suspended_event = std::exchange(current_event, nullptr);
            const spdlog::details::log_msg notice(message.logger_name, spdlog::level::warn, text);
            if (write_message(notice)) reported_drops_ = dropped_before;
            current_event = suspended_event;
        }
        write_message(message);
    }
    void flush_() override {} // lines are written at once or dropped

  private:
    bool write_message(const spdlog::details::log_msg& message) {
        spdlog::memory_buf_t line;
        formatter_->format(message, line);
        return writer_.write({line.data(), line.size()});
    }

    log_output::NonBlockingWriter writer_{STDERR_FILENO};
    std::uint64_t reported_drops_ = 0; // dropped lines already reported
};
std::shared_ptr<StderrSink> stderr_sink; // the sink of the default logger

} // namespace

std::string json_quote(std::string_view text) {
    std::string quoted = "\"";
    while (!text.empty()) {
        const std::size_t length = utf8_sequence_length(text);
        const char c = text.front();
        if (length == 0) {
            quoted += "\xef\xbf\xbd";
        } else if (c == '"' || c == '\\') {
            quoted.append("\\").push_back(c);
        } else if (static_cast<unsigned char>(c) < 0x20) {
            quoted += fmt::format("\\u{:04x}", c);
        } else {
            quoted.append(text.substr(0, length));
        }
        text.remove_prefix(std::max<std::size_t>(length, 1));
    }
    return quoted + "\"";
}

std::unique_ptr<spdlog::formatter> make_json_formatter(std::string instance) {
    return std::make_unique<JsonFormatter>(std::move(instance));
}

void configure_logging(bool json, std::string instance) {
    spdlog::drop("willowrill");
    stderr_sink = std::make_shared<StderrSink>();
    spdlog::set_default_logger(std::make_shared<spdlog::logger>("willowrill", stderr_sink));
    if (json) {
        spdlog::set_formatter(make_json_formatter(std::move(instance)));
    } else {
        spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
    }
}

std::uint64_t dropped_lines() { return stderr_sink ? stderr_sink->dropped() : 0; }

void event(spdlog::level::level_enum level, std::string_view name, std::initializer_list<Field> fields,
           std::string_view text) {
    if (!is_enabled(level)) return;
    const Event named_event{name, fields};
    current_event = &named_event;
    spdlog::log(level, "{}", text);
    current_event = nullptr;
}

} // namespace willowrill::log
