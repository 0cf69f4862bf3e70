#include "lab/scale/case.h"

#include "net/http.h"

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>
#include <stdexcept>

namespace willowrill::lab::scale {
namespace {

constexpr std::size_t most_processes = 300;
// Measured with 100 workers, rounded up: resident memory of a process, and of a hollow scheduler or worker.
constexpr std::size_t process_mb = 12, hollow_kb = 1024;
constexpr std::size_t kb_per_mb = 1024;
// Of a worker in a list, rounded up; a list is sent whole to whoever starts.
constexpr std::size_t entry_bytes = 124;
constexpr std::size_t own_mb = 64, own_descriptors = 64; // of the laboratory

} // namespace

std::string_view name_of(Role role) {
    switch (role) {
    case Role::real_scheduler:
        return "real-scheduler";
    case Role::hollow_scheduler:
        return "hollow-scheduler";
    case Role::discovery:
        return "discovery";
    case Role::worker:
        return "worker";
    case Role::decision:
        return "decision";
    }
    return "";
}

std::string_view name_of(Phase phase) {
    switch (phase) {
    case Phase::steady:
        return "steady";
    case Phase::load:
        return "load";
    case Phase::change:
        return "change";
    case Phase::outage:
        return "outage";
    case Phase::restart:
        return "restart";
    }
    return "";
}

Need need_of(const Case& one) {
    const std::size_t hollow = one.schedulers - one.real;
    Need out;
    out.processes = one.real;
    // A listener and a watch for each scheduler; for each worker two listeners; and probes, of which a
    // scheduler has as many out at once as there are workers at the most.
    out.descriptors = own_descriptors + 4 * one.schedulers + 2 * one.workers +
                      2 * std::min(one.schedulers * one.workers, 10 * (one.schedulers + one.workers));
    out.memory_mb = own_mb + one.real * process_mb + (hollow + one.workers) * hollow_kb / kb_per_mb;
    return out;
}

Machine Machine::read() {
    Machine out{.processes = most_processes, .descriptors = 0, .memory_mb = 0};
    rlimit files{};
    if (::getrlimit(RLIMIT_NOFILE, &files) != 0)
        throw std::runtime_error("the limit of descriptors is not known");
    out.descriptors = files.rlim_cur;
    const long pages = ::sysconf(_SC_PHYS_PAGES), page = ::sysconf(_SC_PAGESIZE);
    if (pages <= 0 || page <= 0) throw std::runtime_error("the machine's memory is not known");
    out.memory_mb =
        static_cast<std::size_t>(pages) / 2 * static_cast<std::size_t>(page) / kb_per_mb / kb_per_mb;
    return out;
}

std::string refusal(const Case& one, const Machine& machine) {
    if (one.schedulers == 0 || one.workers == 0) return "a size needs a scheduler and a worker at least";
    if (one.real > one.schedulers) return "more real schedulers than schedulers";
    if (one.workers * entry_bytes > net::http::most_body)
        return "a list of " + std::to_string(one.workers) + " workers is longer than the " +
               std::to_string(net::http::most_body) + " bytes that the protocol allows a body";
    const Need need = need_of(one);
    const auto over = [](const char* what, std::size_t wanted, std::size_t allowed) {
        return wanted <= allowed ? std::string()
                                 : std::string(what) + ": " + std::to_string(wanted) + " needed, " +
                                       std::to_string(allowed) + " allowed";
    };
    for (const std::string& why :
         {over("processes", need.processes, machine.processes),
          over("descriptors (ulimit -n)", need.descriptors, machine.descriptors),
          over("megabytes, half of the machine's", need.memory_mb, machine.memory_mb)})
        if (!why.empty()) return why;
    return "";
}

} // namespace willowrill::lab::scale
