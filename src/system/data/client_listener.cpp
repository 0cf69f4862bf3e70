#include "system/data/client_listener.h"

#include "system/data/client_session.h"
#include "system/logging/log.h"
#include "system/transport/socket_options.h"

#include <algorithm>
#include <utility>

namespace willowrill::data {
namespace {

constexpr std::chrono::milliseconds unacknowledged_timeout{5000};
constexpr std::size_t max_descriptors_for_others = 400;

// Each client may need a connection to a worker too.
std::size_t max_clients(const settings::Settings& settings) {
    const std::size_t for_others = std::min(max_descriptors_for_others, settings.max_files / 2);
    return (settings.max_files - for_others) / 2;
}

void log_failure(const std::exception_ptr& failure) {
    if (failure) logging::error("client-session-failed");
}

} // namespace

struct ClientListener::Shared {
    explicit Shared(Context& c) : context(c) {}
    Context& context;
    std::shared_ptr<ClientCounts> counts = std::make_shared<ClientCounts>();
    ClientSessionList sessions;
};

ClientListener::ClientListener(Context& context, const std::string& host, std::uint16_t port)
    : shared_(std::make_shared<Shared>(context)),
      listener_(context.loop, host, port,
                [shared = shared_](Tcp::socket socket) { start_session(*shared, std::move(socket)); }) {}

void ClientListener::start_session(Shared& shared, Tcp::socket socket) {
    if (shared.counts->connections >= max_clients(shared.context.settings)) return;
    transport::configure_socket(socket, unacknowledged_timeout);
    const auto session = std::make_shared<ClientSession>(shared.context, shared.counts, std::move(socket));
    shared.sessions.push_back(*session);
    asio::co_spawn(shared.context.loop, ClientSession::run(session), log_failure);
}

void ClientListener::close_idle_connections() {
    for (ClientSession& session : shared_->sessions)
        session.close_if_idle();
}

void ClientListener::give_up_requests() {
    for (ClientSession& session : shared_->sessions)
        session.give_up_request();
}

bool ClientListener::is_busy() const {
    return !std::ranges::all_of(shared_->sessions,
                                [](const ClientSession& session) { return session.is_idle(); });
}

std::size_t ClientListener::active_requests() const { return shared_->counts->active_requests; }

} // namespace willowrill::data
