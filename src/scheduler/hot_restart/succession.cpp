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

constexpr auto descriptor_report_interval = 100ms; // to a successor

sockaddr_un socket_address(const std::string& path) {
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    path.copy(address.sun_path, sizeof address.sun_path - 1);
    return address;
}

net::Fd unix_socket() { return net::Fd(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)); }

// The listener is neither handed to nor accepted from a process of another user.
bool is_same_user(const net::Fd& fd) {
    ucred peer{};
    socklen_t size = sizeof peer;
    return ::getsockopt(fd.get(), SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 && peer.uid == ::geteuid();
}

bool is_listening_at(const net::Fd& fd, const net::Endpoint& endpoint) {
    int is_listening = 0;
    socklen_t size = sizeof is_listening;
    return ::getsockopt(fd.get(), SOL_SOCKET, SO_ACCEPTCONN, &is_listening, &size) == 0 &&
           is_listening != 0 && net::local_address(fd) == endpoint;
}

// The handover protocol: each packet holds records in the host's byte order; both processes run on one host.
enum class Kind : std::uint32_t { descriptor_count, serving, message_opened, message_closed };
struct Record {
    std::uint64_t value = 0; // a number of descriptors, or the hash of a message id
    Kind kind{};
    std::uint32_t unused = 0;
};
constexpr std::size_t max_records_per_packet = 256;

// Sends the records in one packet, with a file descriptor if `descriptor` is not negative. Never blocks:
// returns false if the packet could not be sent, for instance because the peer does not read.
bool send_records(const net::Fd& to, std::span<const Record> records, int descriptor = -1) {
    iovec bytes{.iov_base = const_cast<Record*>(records.data()), .iov_len = records.size_bytes()};
    alignas(cmsghdr) char control[CMSG_SPACE(sizeof descriptor)]{};
    msghdr message{};
    message.msg_iov = &bytes;
    message.msg_iovlen = 1;
    if (descriptor >= 0) {
        message.msg_control = control;
        message.msg_controllen = sizeof control;
        cmsghdr* header = CMSG_FIRSTHDR(&message);
        header->cmsg_level = SOL_SOCKET;
        header->cmsg_type = SCM_RIGHTS;
        header->cmsg_len = CMSG_LEN(sizeof descriptor);
        std::memcpy(CMSG_DATA(header), &descriptor, sizeof descriptor);
    }
    return ::sendmsg(to.get(), &message, MSG_NOSIGNAL) == static_cast<ssize_t>(records.size_bytes());
}

// Receives one packet and stores the file descriptor that comes with it, if any. Returns no records if no
// packet is available, the peer has closed the connection (`disconnected` is set), or the packet is too
// short.
std::vector<Record> receive_records(const net::Fd& from, net::Fd& descriptor, bool& disconnected) {
    std::vector<Record> records(max_records_per_packet);
    iovec bytes{.iov_base = records.data(), .iov_len = records.size() * sizeof(Record)};
    int received_descriptor = -1;
    alignas(cmsghdr) char control[CMSG_SPACE(sizeof received_descriptor)]{};
    msghdr message{};
    message.msg_iov = &bytes;
    message.msg_iovlen = 1;
    message.msg_control = control;
    message.msg_controllen = sizeof control;
    const auto size = ::recvmsg(from.get(), &message, MSG_CMSG_CLOEXEC);
    disconnected = size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
    const cmsghdr* header = size > 0 ? CMSG_FIRSTHDR(&message) : nullptr;
    if (header != nullptr && header->cmsg_type == SCM_RIGHTS &&
        header->cmsg_len == CMSG_LEN(sizeof received_descriptor)) {
        std::memcpy(&received_descriptor, CMSG_DATA(header), sizeof received_descriptor);
        descriptor = net::Fd(received_descriptor);
    }
    records.resize(size > 0 ? static_cast<std::size_t>(size) / sizeof(Record) : 0);
    return records;
}

} // namespace

std::optional<std::string> handover_socket_path(const char* directory, const net::Endpoint& listen) {
    if (directory == nullptr || *directory == '\0') return std::nullopt;
    std::string path = std::string(directory) + "/willowrill-" + listen.text();
    // The socket is created under this path with the suffix ".new".
    if (path.size() + 4 >= sizeof(sockaddr_un::sun_path)) {
        spdlog::warn("upgrade: the path of TMPDIR is too long for a Unix socket; hot restart is disabled");
        return std::nullopt;
    }
    return path;
}

std::optional<InheritedListener> request_listener(const std::string& path, const net::Endpoint& listen,
                                                  net::Duration timeout) {
    InheritedListener inherited;
    inherited.connection = unix_socket();
    const sockaddr_un address = socket_address(path);
    // A stale socket file refuses the connection; `open_listening_channel` replaces it later.
    if (!inherited.connection.valid() ||
        ::connect(inherited.connection.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
            0 ||
        !is_same_user(inherited.connection))
        return std::nullopt;
    pollfd readable{.fd = inherited.connection.get(), .events = POLLIN, .revents = 0};
    const auto timeout_ms = std::chrono::ceil<std::chrono::milliseconds>(timeout);
    bool disconnected = false;
    std::vector<Record> records;
    if (::poll(&readable, 1, static_cast<int>(timeout_ms.count())) == 1)
        records = receive_records(inherited.connection, inherited.listener, disconnected);
    if (records.empty() || !is_listening_at(inherited.listener, listen)) {
        spdlog::warn("upgrade: the process that listens on this address did not hand over its listener");
        return std::nullopt;
    }
    inherited.reserved_descriptors = records.front().value;
    return inherited;
}

HotRestart::HotRestart(net::Loop& loop, std::optional<std::string> path,
                       std::optional<InheritedListener> inherited, Delegate& delegate)
    : loop_(loop), path_(std::move(path)), delegate_(delegate),
      report_timer_(loop.timer_wheel(), [this] { report_descriptors(); }) {
    listening_channel_.on_readable = [this] { on_connect(); };
    predecessor_.on_readable = [this] { on_predecessor_readable(); };
    successor_.on_readable = [this] { on_successor_readable(); };
    predecessor_.on_writable = [this] { send_pending(predecessor_); };
    successor_.on_writable = [this] { send_pending(successor_); };
    if (!inherited) return;
    predecessor_.fd = std::move(inherited->connection);
    predecessor_descriptors_ = inherited->reserved_descriptors;
    watch(predecessor_);
}

HotRestart::~HotRestart() {
    close_listening_channel();
    close(predecessor_);
    close(successor_);
}

void HotRestart::watch(Channel& channel) { loop_.watch(channel.fd.get(), POLLIN, channel); }

void HotRestart::close(Channel& channel) {
    if (!channel.fd.valid()) return;
    loop_.unwatch(channel.fd.get());
    channel.fd.reset();
    channel.message_ids.clear();
    channel.pending.clear();
    channel.pending_serving = false;
}

void HotRestart::start_serving() {
    predecessor_.pending_serving = predecessor_.fd.valid();
    send_pending(predecessor_);
    open_listening_channel();
}

// Creates the socket under a temporary name and renames it, so that a successor that connects meanwhile finds
// the old socket or the new one, and a stale file is replaced.
void HotRestart::open_listening_channel() {
    if (!path_) return;
    close(listening_channel_);
    const std::string temporary_path = *path_ + ".new";
    const sockaddr_un address = socket_address(temporary_path);
    ::unlink(temporary_path.c_str());
    net::Fd fd = unix_socket();
    const mode_t previous_umask = ::umask(0177);
    const bool bound =
        fd.valid() && ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    ::umask(previous_umask);
    struct stat socket_status {};
    if (!bound || ::listen(fd.get(), 4) != 0 || ::stat(temporary_path.c_str(), &socket_status) != 0 ||
        std::rename(temporary_path.c_str(), path_->c_str()) != 0) {
        spdlog::warn("upgrade: cannot open the handover socket for a successor: errno {}", errno);
        return;
    }
    socket_inode_ = socket_status.st_ino;
    listening_channel_.fd = std::move(fd);
    watch(listening_channel_);
}

// Removes the socket file unless a successor has replaced it by its own.
void HotRestart::close_listening_channel() {
    struct stat socket_status {};
    if (listening_channel_.fd.valid() && ::stat(path_->c_str(), &socket_status) == 0 &&
        socket_status.st_ino == socket_inode_)
        ::unlink(path_->c_str());
    close(listening_channel_);
}

void HotRestart::on_connect() {
    net::Fd fd(::accept4(listening_channel_.fd.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd.valid() || !is_same_user(fd) || !delegate_.listener().valid()) return;
    if (successor_.fd.valid()) { // the latest process that connects replaces an earlier one
        close(successor_);
        if (std::exchange(successor_serves_, false)) delegate_.on_successor_changed(false);
    }
    successor_.fd = std::move(fd);
    watch(successor_);
    delegate_.on_peer_changed(); // first reduces its limits, so that fewer descriptors are reported
    reported_descriptors_ = delegate_.required_descriptors();
    spdlog::info("upgrade: handing over the listener to a successor, keeping {} descriptors",
                 reported_descriptors_);
    const Record record{.value = reported_descriptors_, .kind = Kind::descriptor_count};
    if (!send_records(successor_.fd, {&record, 1}, delegate_.listener().get()))
        spdlog::warn("upgrade: cannot hand over the listener: errno {}", errno);
    for (const std::string& id : delegate_.message_ids())
        successor_.pending[willowrill::key_of(id)] = true;
    send_pending(successor_);
    report_timer_.arm(loop_.now() + descriptor_report_interval);
}

void HotRestart::notify_peers(const std::string& id, bool open) {
    for (Channel* channel : {&predecessor_, &successor_}) {
        if (!channel->fd.valid()) continue;
        channel->pending[willowrill::key_of(id)] = open;
        send_pending(*channel);
    }
}

// Sends as many pending records as the socket takes and the others once it is writable again. A peer that
// stalls must not miss a record: both processes could then accept the same message.
void HotRestart::send_pending(Channel& channel) {
    if (!channel.fd.valid()) return;
    const Record record{.kind = Kind::serving};
    if (channel.pending_serving) channel.pending_serving = !send_records(channel.fd, {&record, 1});
    while (!channel.pending.empty()) {
        std::vector<Record> records;
        for (auto at = channel.pending.begin();
             at != channel.pending.end() && records.size() < max_records_per_packet; ++at)
            records.push_back(
                {.value = at->first, .kind = at->second ? Kind::message_opened : Kind::message_closed});
        if (!send_records(channel.fd, records)) break;
        for (const Record& sent : records)
            channel.pending.erase(sent.value);
    }
    const bool has_pending = channel.pending_serving || !channel.pending.empty();
    loop_.watch(channel.fd.get(), static_cast<short>(has_pending ? POLLIN | POLLOUT : POLLIN), channel);
}

bool HotRestart::holds(const std::string& id) const {
    return has_peer() && (predecessor_.message_ids.contains(willowrill::key_of(id)) ||
                          successor_.message_ids.contains(willowrill::key_of(id)));
}

void HotRestart::report_descriptors() {
    if (!successor_.fd.valid()) return;
    delegate_.on_peer_changed();
    const std::size_t required = delegate_.required_descriptors();
    const Record record{.value = required, .kind = Kind::descriptor_count};
    if (required != reported_descriptors_ && send_records(successor_.fd, {&record, 1}))
        reported_descriptors_ = required;
    report_timer_.arm(loop_.now() + descriptor_report_interval);
}

// Applies the records about messages, and returns the value of the last record of kind `wanted_kind`, if any.
std::optional<std::uint64_t> HotRestart::receive(Channel& channel, std::uint32_t wanted_kind,
                                                 bool& disconnected) {
    net::Fd unexpected_descriptor;
    std::optional<std::uint64_t> found;
    for (const auto& [value, kind, unused] :
         receive_records(channel.fd, unexpected_descriptor, disconnected)) {
        if (kind == Kind::message_opened) channel.message_ids.insert(value);
        if (kind == Kind::message_closed) channel.message_ids.erase(value);
        if (static_cast<std::uint32_t>(kind) == wanted_kind) found = value;
    }
    return found;
}

void HotRestart::on_predecessor_readable() {
    bool disconnected = false;
    if (const auto count =
            receive(predecessor_, static_cast<std::uint32_t>(Kind::descriptor_count), disconnected)) {
        predecessor_descriptors_ = *count;
    } else if (disconnected) {
        spdlog::info("upgrade: the predecessor has disconnected");
        close(predecessor_);
        predecessor_descriptors_ = 0;
    } else {
        return;
    }
    delegate_.on_peer_changed();
}

void HotRestart::on_successor_readable() {
    bool disconnected = false;
    if (receive(successor_, static_cast<std::uint32_t>(Kind::serving), disconnected)) {
        spdlog::info("upgrade: the successor accepts connections");
        successor_serves_ = true;
        return delegate_.on_successor_changed(true);
    }
    if (!disconnected) return;
    spdlog::warn("upgrade: the successor has disconnected");
    close(successor_);
    successor_serves_ = false;
    delegate_.on_peer_changed();
    delegate_.on_successor_changed(false);
    open_listening_channel(); // the successor's socket has replaced this one's file
}

} // namespace willowrill::hot_restart
