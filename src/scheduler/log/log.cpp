#include "scheduler/log/log.h"

#include "scheduler/log/outlet.h"

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
// The event whose line is being written. One thread logs; the pointer is set for the one call only.
const Event* current = nullptr;

std::size_t utf8_length(std::string_view text) { // of the character at the front; 0: none
    const auto byte = [&](std::size_t i) { return static_cast<unsigned char>(text[i]); };
    const unsigned char first = byte(0);
    const std::size_t length = first < 0x80 ? 1 : first < 0xc2 ? 0 : first < 0xe0 ? 2 : first < 0xf0 ? 3 : 4;
    if (length == 0 || first > 0xf4 || text.size() < length) return 0;
    for (std::size_t i = 1; i < length; ++i)
        if ((byte(i) & 0xc0U) != 0x80) return 0;
    if (first == 0xe0 && byte(1) < 0xa0) return 0; // overlong
    if (first == 0xed && byte(1) > 0x9f) return 0; // a surrogate
    if (first == 0xf0 && byte(1) < 0x90) return 0;
    if (first == 0xf4 && byte(1) > 0x8f) return 0;
    return length;
}

class JsonFormatter final : public spdlog::formatter {
  public:
    explicit JsonFormatter(std::string instance) : instance_(std::move(instance)) {}

    void format(const spdlog::details::log_msg& message, spdlog::memory_buf_t& out) override {
        std::string line = "{\"time\":\"";
        spdlog::memory_buf_t time;
        time_.format(message, time);
        line.append(time.data(), time.size());
        const auto level = spdlog::level::to_string_view(message.level);
        line.append("\",\"level\":\"").append(level.data(), level.size());
        line += "\",\"event\":" + json_text(current != nullptr ? current->name : "log");
        if (!instance_.empty()) line += ",\"instance\":" + json_text(instance_);
        if (current != nullptr) {
            for (const Field& field : current->fields) {
                line += "," + json_text(field.name) + ":";
                if (const auto* text = std::get_if<std::string_view>(&field.value)) line += json_text(*text);
                if (const auto* count = std::get_if<std::uint64_t>(&field.value))
                    line += std::to_string(*count);
                if (const auto* number = std::get_if<double>(&field.value))
                    line += fmt::format("{:.6g}", *number);
            }
        }
        line += ",\"text\":" + json_text({message.payload.data(), message.payload.size()}) + "}\n";
        out.append(line.data(), line.data() + line.size());
    }
    std::unique_ptr<spdlog::formatter> clone() const override {
        return std::make_unique<JsonFormatter>(instance_);
    }

  private:
    std::string instance_;
    spdlog::pattern_formatter time_{"%Y-%m-%dT%H:%M:%S.%eZ", spdlog::pattern_time_type::utc, ""};
};

class StandardError final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
  public:
    std::uint64_t dropped() const { return outlet_.dropped(); }

  protected:
    void sink_it_(const spdlog::details::log_msg& message) override {
        if (outlet_.dropped() > reported_ && outlet_.has_room()) {
            const std::string text =
                fmt::format("log: {} lines were dropped, as nobody read them", outlet_.dropped() - reported_);
            const std::uint64_t before = outlet_.dropped();
            const Event* const about = std::exchange(current, nullptr);
            const spdlog::details::log_msg notice(message.logger_name, spdlog::level::warn, text);
            if (put(notice)) reported_ = before;
            current = about;
        }
        put(message);
    }
    void flush_() override {} // nothing is held back that there is room for

  private:
    bool put(const spdlog::details::log_msg& message) {
        spdlog::memory_buf_t line;
        formatter_->format(message, line);
        return outlet_.write({line.data(), line.size()});
    }

    Outlet outlet_{STDERR_FILENO};
    std::uint64_t reported_ = 0; // of those dropped
};
std::shared_ptr<StandardError> sink; // of the process's logger

} // namespace

std::string json_text(std::string_view text) {
    std::string out = "\"";
    while (!text.empty()) {
        const std::size_t length = utf8_length(text);
        const char c = text.front();
        if (length == 0) {
            out += "\xef\xbf\xbd";
        } else if (c == '"' || c == '\\') {
            out.append("\\").push_back(c);
        } else if (static_cast<unsigned char>(c) < 0x20) {
            out += fmt::format("\\u{:04x}", c);
        } else {
            out.append(text.substr(0, length));
        }
        text.remove_prefix(std::max<std::size_t>(length, 1));
    }
    return out + "\"";
}

std::unique_ptr<spdlog::formatter> json_lines(std::string instance) {
    return std::make_unique<JsonFormatter>(std::move(instance));
}

void set_up(bool json, std::string instance) {
    spdlog::drop("willowrill");
    sink = std::make_shared<StandardError>();
    spdlog::set_default_logger(std::make_shared<spdlog::logger>("willowrill", sink));
    if (json) {
        spdlog::set_formatter(json_lines(std::move(instance)));
    } else {
        spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
    }
}

std::uint64_t dropped_lines() { return sink ? sink->dropped() : 0; }

void event(spdlog::level::level_enum level, std::string_view name, std::initializer_list<Field> fields,
           std::string_view sentence) {
    if (!is_enabled(level)) return;
    const Event here{name, fields};
    current = &here;
    spdlog::log(level, "{}", sentence);
    current = nullptr;
}

} // namespace willowrill::log
