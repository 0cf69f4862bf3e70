#include "scheduler/hot_restart/succession.h"

#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <cstdio>
#include <cstring>
#include <span>
#include <utility>
#include <vector>

namespace willowrill::hot_restart {
namespace {

using namespace std::chrono_literals;

constexpr auto tell_pause = 100ms; // between two words on what is held

sockaddr_un address_of(const std::string& path) {
    sockaddr_un out{};
    out.sun_family = AF_UNIX;
    path.copy(out.sun_path, sizeof out.sun_path - 1);
    return out;
}

net::Fd unix_socket() { return net::Fd(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)); }

// Another user's process must neither get the listener nor give us one.
bool is_ours(const net::Fd& fd) {
    ucred peer{};
    socklen_t size = sizeof peer;
    return ::getsockopt(fd.get(), SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 && peer.uid == ::geteuid();
}

bool listens_at(const net::Fd& fd, const net::Endpoint& endpoint) {
    int listens = 0;
    socklen_t size = sizeof listens;
    return ::getsockopt(fd.get(), SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) == 0 && listens != 0 &&
           net::local_address(fd) == endpoint;
}

enum class Kind : std::uint32_t { held, serves, opened, closed };
struct Word {
    std::uint64_t value = 0; // descriptors, or the hash of an id
    Kind kind{};
    std::uint32_t unused = 0;
};
constexpr std::size_t most_words = 256; // in a packet

// A packet, with a descriptor beside it or none. Nobody waits for a run that does not read.
bool send_words(const net::Fd& to, std::span<const Word> words, int descriptor = -1) {
    iovec bytes{.iov_base = const_cast<Word*>(words.data()), .iov_len = words.size_bytes()};
    alignas(cmsghdr) char control[CMSG_SPACE(sizeof descriptor)]{};
    msghdr message{};
    message.msg_iov = &bytes;
    message.msg_iovlen = 1;
    if (descriptor >= 0) {
        message.msg_control = control;
        message.msg_controllen = sizeof control;
        cmsghdr* head = CMSG_FIRSTHDR(&message);
        head->cmsg_level = SOL_SOCKET;
        head->cmsg_type = SCM_RIGHTS;
        head->cmsg_len = CMSG_LEN(sizeof descriptor);
        std::memcpy(CMSG_DATA(head), &descriptor, sizeof descriptor);
    }
    return ::sendmsg(to.get(), &message, MSG_NOSIGNAL) == static_cast<ssize_t>(words.size_bytes());
}

// Nothing: there is none, the other side is gone, or what came is none of ours.
std::vector<Word> receive_words(const net::Fd& from, net::Fd& descriptor, bool& gone) {
    std::vector<Word> words(most_words);
    iovec bytes{.iov_base = words.data(), .iov_len = words.size() * sizeof(Word)};
    int got = -1;
    alignas(cmsghdr) char control[CMSG_SPACE(sizeof got)]{};
    msghdr message{};
    message.msg_iov = &bytes;
    message.msg_iovlen = 1;
    message.msg_control = control;
    message.msg_controllen = sizeof control;
    const auto size = ::recvmsg(from.get(), &message, MSG_CMSG_CLOEXEC);
    gone = size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
    const cmsghdr* head = size > 0 ? CMSG_FIRSTHDR(&message) : nullptr;
    if (head != nullptr && head->cmsg_type == SCM_RIGHTS && head->cmsg_len == CMSG_LEN(sizeof got)) {
        std::memcpy(&got, CMSG_DATA(head), sizeof got);
        descriptor = net::Fd(got);
    }
    words.resize(size > 0 ? static_cast<std::size_t>(size) / sizeof(Word) : 0);
    return words;
}

} // namespace

std::optional<std::string> door_path(const char* folder, const net::Endpoint& listen) {
    if (folder == nullptr || *folder == '\0') return std::nullopt;
    std::string path = std::string(folder) + "/willowrill-" + listen.text();
    // While it is made, the socket has a longer name.
    if (path.size() + 4 >= sizeof(sockaddr_un::sun_path)) {
        spdlog::warn("upgrade: the path of TMPDIR is too long for a socket; no listener is handed over");
        return std::nullopt;
    }
    return path;
}

std::optional<InheritedListener> inherit(const std::string& path, const net::Endpoint& listen,
                                         net::Duration at_most) {
    InheritedListener out;
    out.link = unix_socket();
    const sockaddr_un address = address_of(path);
    // Refused by a stale file, which the door of this run will replace.
    if (!out.link.valid() ||
        ::connect(out.link.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        !is_ours(out.link))
        return std::nullopt;
    pollfd answer{.fd = out.link.get(), .events = POLLIN, .revents = 0};
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(at_most);
    bool gone = false;
    std::vector<Word> words;
    if (::poll(&answer, 1, static_cast<int>(wait.count())) == 1)
        words = receive_words(out.link, out.listener, gone);
    if (words.empty() || !listens_at(out.listener, listen)) {
        spdlog::warn("upgrade: the run that holds the address does not hand it over");
        return std::nullopt;
    }
    out.held = words.front().value;
    return out;
}

Succession::Succession(net::Loop& loop, std::optional<std::string> path,
                       std::optional<InheritedListener> inheritance, Run& run)
    : loop_(loop), path_(std::move(path)), run_(run), tell_(loop.timer_wheel(), [this] { tell_held(); }) {
    door_.action = [this] { on_knock(); };
    before_.action = [this] { on_news_from_predecessor(); };
    after_.action = [this] { on_news_from_successor(); };
    before_.room = [this] { tell_late(before_); };
    after_.room = [this] { tell_late(after_); };
    if (!inheritance) return;
    before_.fd = std::move(inheritance->link);
    neighbour_holds_ = inheritance->held;
    watch(before_);
}

Succession::~Succession() {
    close_door();
    close(before_);
    close(after_);
}

void Succession::watch(End& end) { loop_.watch(end.fd.get(), POLLIN, end); }

void Succession::close(End& end) {
    if (!end.fd.valid()) return;
    loop_.unwatch(end.fd.get());
    end.fd.reset();
    end.ids.clear();
    end.late.clear();
    end.late_serves = false;
}

void Succession::serve() {
    before_.late_serves = before_.fd.valid();
    tell_late(before_);
    open_door();
}

// Made under another name first: a successor that looks in meanwhile finds the old door or this one, and a
// stale file is replaced.
void Succession::open_door() {
    if (!path_) return;
    close(door_);
    const std::string made = *path_ + ".new";
    const sockaddr_un address = address_of(made);
    ::unlink(made.c_str());
    net::Fd fd = unix_socket();
    const mode_t before = ::umask(0177);
    const bool bound =
        fd.valid() && ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    ::umask(before);
    struct stat made_file {};
    if (!bound || ::listen(fd.get(), 4) != 0 || ::stat(made.c_str(), &made_file) != 0 ||
        std::rename(made.c_str(), path_->c_str()) != 0) {
        spdlog::warn("upgrade: no door for a successor: errno {}", errno);
        return;
    }
    door_inode_ = made_file.st_ino;
    door_.fd = std::move(fd);
    watch(door_);
}

// The file may be a successor's by now.
void Succession::close_door() {
    struct stat file {};
    if (door_.fd.valid() && ::stat(path_->c_str(), &file) == 0 && file.st_ino == door_inode_)
        ::unlink(path_->c_str());
    close(door_);
}

void Succession::on_knock() {
    net::Fd fd(::accept4(door_.fd.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd.valid() || !is_ours(fd) || !run_.listener().valid()) return;
    if (after_.fd.valid()) { // the last one that asks is the successor
        close(after_);
        if (std::exchange(after_serves_, false)) run_.on_successor(false);
    }
    after_.fd = std::move(fd);
    watch(after_);
    run_.on_neighbour(); // gives up what it can first
    reported_ = run_.held();
    spdlog::info("upgrade: handing the listener to a successor, keeping {} descriptors", reported_);
    const Word held{.value = reported_, .kind = Kind::held};
    if (!send_words(after_.fd, {&held, 1}, run_.listener().get()))
        spdlog::warn("upgrade: the listener could not be handed over: errno {}", errno);
    for (const std::string& id : run_.ids())
        after_.late[willowrill::key_of(id)] = true;
    tell_late(after_);
    tell_.arm(loop_.now() + tell_pause);
}

void Succession::tell(const std::string& id, bool open) {
    for (End* end : {&before_, &after_}) {
        if (!end->fd.valid()) continue;
        end->late[willowrill::key_of(id)] = open;
        tell_late(*end);
    }
}

// As much as there is room for; the rest when there is more. A run that does not read for a while must not
// miss a message, or both could hold it.
void Succession::tell_late(End& end) {
    if (!end.fd.valid()) return;
    const Word serves{.kind = Kind::serves};
    if (end.late_serves) end.late_serves = !send_words(end.fd, {&serves, 1});
    while (!end.late.empty()) {
        std::vector<Word> words;
        for (auto at = end.late.begin(); at != end.late.end() && words.size() < most_words; ++at)
            words.push_back({.value = at->first, .kind = at->second ? Kind::opened : Kind::closed});
        if (!send_words(end.fd, words)) break;
        for (const Word& word : words)
            end.late.erase(word.value);
    }
    const bool more = end.late_serves || !end.late.empty();
    loop_.watch(end.fd.get(), static_cast<short>(more ? POLLIN | POLLOUT : POLLIN), end);
}

bool Succession::holds(const std::string& id) const {
    return shared() &&
           (before_.ids.contains(willowrill::key_of(id)) || after_.ids.contains(willowrill::key_of(id)));
}

void Succession::tell_held() {
    if (!after_.fd.valid()) return;
    run_.on_neighbour();
    const std::size_t held = run_.held();
    const Word word{.value = held, .kind = Kind::held};
    if (held != reported_ && send_words(after_.fd, {&word, 1})) reported_ = held;
    tell_.arm(loop_.now() + tell_pause);
}

// What both sides tell of their messages is taken in here; the rest is left to the caller.
std::optional<std::uint64_t> Succession::read(End& end, std::uint32_t wanted, bool& gone) {
    net::Fd none;
    std::optional<std::uint64_t> found;
    for (const auto& [value, kind, unused] : receive_words(end.fd, none, gone)) {
        if (kind == Kind::opened) end.ids.insert(value);
        if (kind == Kind::closed) end.ids.erase(value);
        if (static_cast<std::uint32_t>(kind) == wanted) found = value;
    }
    return found;
}

void Succession::on_news_from_predecessor() {
    bool gone = false;
    if (const auto held = read(before_, static_cast<std::uint32_t>(Kind::held), gone)) {
        neighbour_holds_ = *held;
    } else if (gone) {
        spdlog::info("upgrade: the predecessor is gone");
        close(before_);
        neighbour_holds_ = 0;
    } else {
        return;
    }
    run_.on_neighbour();
}

void Succession::on_news_from_successor() {
    bool gone = false;
    if (read(after_, static_cast<std::uint32_t>(Kind::serves), gone)) {
        spdlog::info("upgrade: the successor serves");
        after_serves_ = true;
        return run_.on_successor(true);
    }
    if (!gone) return;
    spdlog::warn("upgrade: the successor is gone");
    close(after_);
    after_serves_ = false;
    run_.on_neighbour();
    run_.on_successor(false);
    open_door(); // the file was the successor's
}

} // namespace willowrill::hot_restart
