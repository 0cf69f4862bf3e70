#include "lab/process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <system_error>

extern char** environ;

namespace willowrill::lab {

Process::Process(net::Loop& loop, std::vector<std::string> arguments,
                 const std::vector<std::pair<std::string, std::string>>& environment)
    : loop_(loop) {
    std::array<int, 2> ends{};
    if (::pipe2(ends.data(), O_CLOEXEC) != 0) throw std::system_error(errno, std::generic_category(), "pipe");
    read_ = net::Fd(ends[0]);
    ::fcntl(ends[0], F_SETFL, O_NONBLOCK); // the child's end waits, as an operator's would
    const net::Fd write(ends[1]);
    std::vector<std::string> values;
    for (char** one = environ; *one != nullptr; ++one) {
        const std::string_view text(*one);
        const auto name = text.substr(0, text.find('='));
        bool replaced = false;
        for (const auto& [key, value] : environment)
            replaced = replaced || key == name;
        if (!replaced) values.emplace_back(text);
    }
    for (const auto& [key, value] : environment)
        values.push_back(std::string(key).append("=").append(value));
    std::vector<char*> argv, envp;
    for (std::string& one : arguments)
        argv.push_back(one.data());
    for (std::string& one : values)
        envp.push_back(one.data());
    argv.push_back(nullptr);
    envp.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_adddup2(&actions, write.get(), STDERR_FILENO);
    const int error = ::posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), envp.data());
    ::posix_spawn_file_actions_destroy(&actions);
    if (error != 0) throw std::system_error(error, std::generic_category(), arguments[0]);
    loop_.watch(read_.get(), POLLIN, *this);
}

Process::~Process() {
    loop_.unwatch(read_.get());
    if (ended()) return;
    signal(SIGKILL);
    ::waitpid(pid_, nullptr, 0);
}

void Process::read_log(bool on) { on ? loop_.watch(read_.get(), POLLIN, *this) : loop_.unwatch(read_.get()); }

void Process::signal(int signal) {
    if (!ended_) ::kill(pid_, signal);
}

std::optional<int> Process::ended() {
    int status = 0;
    if (!ended_ && ::waitpid(pid_, &status, WNOHANG) == pid_)
        ended_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    return ended_;
}

void Process::on_ready(short) {
    std::array<char, 65536> buffer{};
    for (;;) {
        const auto got = ::read(read_.get(), buffer.data(), buffer.size());
        if (got < 0) return;
        if (got == 0) return loop_.unwatch(read_.get());
        log_.append(buffer.data(), static_cast<std::size_t>(got));
    }
}

std::optional<net::Endpoint> Process::address_after(std::string_view words) const {
    const std::size_t at = log_.find(words);
    if (at == std::string::npos) return std::nullopt;
    std::string_view rest = std::string_view(log_).substr(at + words.size());
    const std::size_t end = rest.find_first_not_of("0123456789.:");
    if (end == std::string_view::npos) return std::nullopt; // not whole yet
    return net::Endpoint::parse(rest.substr(0, end));
}

} // namespace willowrill::lab
