#include "system/process/startup.h"

#include "common/log_output/non_blocking_writer.h"
#include "system/logging/log.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <string>

namespace willowrill::process {
namespace {

void open_standard_descriptors() {
    for (const int descriptor : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
        if (::fcntl(descriptor, F_GETFD) >= 0 || errno != EBADF) continue;
        // The lowest free number, which is this one.
        (void)::open("/dev/null", descriptor == STDIN_FILENO ? O_RDONLY : O_WRONLY);
    }
}

std::string describe_current_exception() {
    const std::exception_ptr current = std::current_exception();
    if (!current) return "no exception";
    try {
        std::rethrow_exception(current);
    } catch (const std::exception& error) {
        return error.what();
    } catch (...) {
        return "not a std::exception";
    }
}

// By a writer of its own: the log's may be in use by the thread that failed.
[[noreturn]] void log_and_abort() {
    log_output::NonBlockingWriter writer(STDERR_FILENO);
    writer.write("level=error event=terminated detail=\"" + describe_current_exception() + "\"\n");
    std::abort();
}

// 0 where there is no limit.
rlim_t limit_of(__rlimit_resource resource) {
    rlimit limit{};
    const bool is_limited = ::getrlimit(resource, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
    return is_limited ? limit.rlim_cur : 0;
}

std::string_view kind_of_log() {
    struct stat status {};
    if (::fstat(STDERR_FILENO, &status) != 0) return "closed";
    if (S_ISREG(status.st_mode)) return "file";
    if (S_ISFIFO(status.st_mode)) return "pipe";
    return S_ISSOCK(status.st_mode) ? "socket" : "device";
}

} // namespace

void prepare() {
    open_standard_descriptors();
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGXFSZ, SIG_IGN);
    std::set_terminate(log_and_abort);
}

void apply_limits(settings::Settings& settings) {
    rlimit descriptors{};
    if (::getrlimit(RLIMIT_NOFILE, &descriptors) != 0) return;
    const rlim_t wanted = std::min<rlim_t>(settings.max_files, descriptors.rlim_max);
    if (descriptors.rlim_cur < wanted) {
        const rlimit raised{wanted, descriptors.rlim_max};
        if (::setrlimit(RLIMIT_NOFILE, &raised) == 0) descriptors = raised;
    }
    settings.max_files = std::min<std::size_t>(settings.max_files, descriptors.rlim_cur);
}

void log_start(std::string_view role, std::string_view version, const settings::Settings& settings) {
    logging::info("started")
        .field("role", role)
        .field("node", settings.node_name)
        .field("release", version)
        .field("initial", settings.initial_start)
        .field("memory_mb", settings.memory_mb)
        .field("descriptors", settings.max_files)
        .field("file_bytes", limit_of(RLIMIT_FSIZE))
        .field("log", kind_of_log());
}

} // namespace willowrill::process
