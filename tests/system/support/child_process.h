// Runs a function in a process of its own whose standard error is a pipe, and tells how it ended.
#pragma once

#include <sys/wait.h>
#include <unistd.h>

#include <criterion/criterion.h>

#include <array>
#include <functional>
#include <string>

struct ChildResult {
    int status = 0; // as of waitpid
    std::string log;

    bool ended_with(int exit_code) const { return WIFEXITED(status) && WEXITSTATUS(status) == exit_code; }
    bool ended_by(int signal) const { return WIFSIGNALED(status) && WTERMSIG(status) == signal; }
};

// The process ends with 0 after `body`. What it writes to standard error must fit into a pipe.
inline ChildResult run_in_child(const std::function<void()>& body) {
    std::array<int, 2> pipe_ends{};
    cr_assert_eq(::pipe(pipe_ends.data()), 0);
    const pid_t child = ::fork();
    cr_assert_geq(child, 0);
    if (child == 0) {
        ::close(pipe_ends[0]);
        ::dup2(pipe_ends[1], STDERR_FILENO);
        ::close(pipe_ends[1]);
        body();
        ::_exit(0);
    }
    ::close(pipe_ends[1]);
    ChildResult result;
    std::array<char, 4096> buffer{};
    for (ssize_t count = 0; (count = ::read(pipe_ends[0], buffer.data(), buffer.size())) > 0;)
        result.log.append(buffer.data(), static_cast<std::size_t>(count));
    ::close(pipe_ends[0]);
    cr_assert_eq(::waitpid(child, &result.status, 0), child);
    return result;
}
