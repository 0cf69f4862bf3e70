#include "system/data/front.h"

#include "system/data/exchange.h"
#include "system/http_server/server.h"
#include "system/transport/socket_options.h"

#include <fmt/format.h>

#include <set>
#include <utility>

namespace willowrill::data {
namespace {

using errors::Error;
using errors::ErrorKind;

constexpr std::chrono::milliseconds unacknowledged{5000};
constexpr std::chrono::milliseconds body_timeout{15000};
constexpr std::size_t descriptors_for_others = 400;

std::string text(boost::beast::string_view view) { return {view.data(), view.size()}; }

} // namespace

struct Front::Shared {
    Shared(Context& c) : context(c), acceptor(c.loop) {}
    Context& context;
    Tcp::acceptor acceptor;
    std::size_t open = 0;
    std::size_t under_way = 0;
};

namespace {

template <class Shared> class ClientSession : public std::enable_shared_from_this<ClientSession<Shared>> {
  public:
    ClientSession(std::shared_ptr<Shared> shared, Tcp::socket socket)
        : shared_(std::move(shared)), stream_(std::move(socket)) {
        ++shared_->open;
    }
    ~ClientSession() { --shared_->open; }
    ClientSession(const ClientSession&) = delete;
    ClientSession& operator=(const ClientSession&) = delete;

    static asio::awaitable<void> run(std::shared_ptr<ClientSession> self) {
        bool more = true;
        while (more)
            more = co_await self->serve_one();
        self->close();
    }

  private:
    Context& context() { return shared_->context; }

    // Reads and answers a request. False when the connection is at its end.
    asio::awaitable<bool> serve_one() {
        const ActiveConfigurationPtr active_configuration = context().active_configuration;
        const configuration::Limits& limits = active_configuration->configuration.limits;
        http::request_parser<http::string_body> parser;
        parser.header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
        parser.body_limit(limits.max_body_bytes);
        ErrorCode error;
        stream_.expires_after(served_ == 0 ? limits.header_timeout : limits.idle_timeout);
        co_await http::async_read_header(stream_, buffer_, parser,
                                         asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            stream_.expires_after(body_timeout);
            if (beast::iequals(parser.get()[http::field::expect], "100-continue")) co_await send_continue();
            co_await http::async_read(stream_, buffer_, parser,
                                      asio::redirect_error(asio::use_awaitable, error));
        }
        stream_.expires_never();
        if (error) co_return co_await refuse_bytes(error, parser.got_some());
        ++served_;
        const ClientRequest request = parser.release();
        co_return co_await answer(request);
    }

    asio::awaitable<bool> answer(const ClientRequest& request) {
        const routing::Time arrived = steady_now();
        const ActiveConfigurationPtr active_configuration =
            context().active_configuration; // as of the whole request
        const std::string target = text(request.target());
        const std::string path = target.substr(0, target.find('?'));
        const configuration::Route* route =
            active_configuration->routes.find(text(request[http::field::host]), path);
        // Errors are named before they are awaited with: GCC 12 destroys such temporaries twice (its bug
        // 99576).
        if (route == nullptr) {
            const Error error{ErrorKind::unknown_route, path};
            co_return co_await refuse(request, error);
        }
        if (request.find("Attempt-Id") == request.end()) {
            const Error error{ErrorKind::malformed_request, "Attempt-Id is missing"};
            co_return co_await refuse(request, error);
        }
        ++shared_->under_way;
        Exchange exchange(context(), stream_, request, active_configuration, *route, arrived);
        watch_client(exchange);
        co_await exchange.run();
        --shared_->under_way;
        ++watch_serial_;
        ErrorCode ignored;
        stream_.socket().cancel(ignored); // the watch
        co_return exchange.reusable() && !context().leaving;
    }

    // While a request is being answered its client sends nothing more, or its next request, or leaves.
    void watch_client(Exchange& exchange) {
        const auto on_ready = [self = this->shared_from_this(), &exchange,
                               serial = ++watch_serial_](ErrorCode error) {
            if (self->watch_serial_ != serial || error == asio::error::operation_aborted) return;
            switch (transport::pending(self->stream_.socket())) {
            case transport::Pending::nothing:
                return self->watch_client(exchange);
            case transport::Pending::bytes:
                return;
            case transport::Pending::ended:
                return exchange.client_gone();
            }
        };
        stream_.socket().async_wait(Tcp::socket::wait_read, on_ready);
    }

    asio::awaitable<void> send_continue() {
        static const std::string line = "HTTP/1.1 100 Continue\r\n\r\n";
        ErrorCode ignored;
        co_await asio::async_write(stream_, asio::buffer(line),
                                   asio::redirect_error(asio::use_awaitable, ignored));
    }

    // Bytes that are no request: answered where there were any, and then closed.
    asio::awaitable<bool> refuse_bytes(ErrorCode error, bool got_some) {
        Error kind{ErrorKind::malformed_request, error.message()};
        if (error == http::error::header_limit || error == http::error::body_limit)
            kind.kind = ErrorKind::request_too_large;
        else if (error == beast::error::timeout && got_some)
            kind.kind = ErrorKind::request_timed_out;
        else if (error.category() != http::make_error_code(http::error::bad_method).category() ||
                 error == http::error::end_of_stream || error == http::error::partial_message)
            co_return false; // it left, or rested for too long
        ++context().counters.bad;
        auto answer = http_server::error_response({}, kind);
        answer.keep_alive(false);
        answer.prepare_payload();
        ErrorCode ignored;
        stream_.expires_after(std::chrono::seconds(1));
        co_await http::async_write(stream_, answer, asio::redirect_error(asio::use_awaitable, ignored));
        co_return false;
    }

    asio::awaitable<bool> refuse(const ClientRequest& request, const Error& error) {
        ++context().counters.bad;
        const bool keep = request.keep_alive() && !context().leaving;
        auto answer = http_server::error_response(request, error);
        if (const auto id = request.find("Attempt-Id"); id != request.end())
            answer.set("Attempt-Id", id->value());
        answer.keep_alive(keep);
        answer.prepare_payload();
        ErrorCode failed;
        stream_.expires_after(std::chrono::seconds(1));
        co_await http::async_write(stream_, answer, asio::redirect_error(asio::use_awaitable, failed));
        stream_.expires_never();
        co_return keep && !failed;
    }

    void close() {
        ErrorCode ignored;
        stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
        stream_.socket().close(ignored);
    }

    std::shared_ptr<Shared> shared_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    std::uint64_t watch_serial_ = 0; // of the exchange whose client is watched
    std::uint64_t served_ = 0;
};

template <class Shared> void accept_next(const std::shared_ptr<Shared>& shared) {
    shared->acceptor.async_accept([shared](ErrorCode error, Tcp::socket socket) {
        if (!shared->acceptor.is_open()) return;
        const std::size_t most = shared->context.settings.most_files - descriptors_for_others;
        if (!error && shared->open < most / 2) {
            transport::configure_socket(socket, unacknowledged);
            auto session = std::make_shared<ClientSession<Shared>>(shared, std::move(socket));
            asio::co_spawn(shared->context.loop, ClientSession<Shared>::run(session),
                           [](const std::exception_ptr& failure) {
                               if (failure) fmt::print(stderr, "level=error event=client-session-failed\n");
                           });
        }
        accept_next(shared);
    });
}

} // namespace

Front::Front(Context& context, const std::string& host, std::uint16_t port)
    : shared_(std::make_shared<Shared>(context)) {
    const Tcp::endpoint endpoint(asio::ip::make_address(host), port);
    shared_->acceptor.open(endpoint.protocol());
    shared_->acceptor.set_option(Tcp::acceptor::reuse_address(true));
    shared_->acceptor.bind(endpoint);
    shared_->acceptor.listen();
    accept_next(shared_);
}

Front::~Front() { stop_accepting(); }

void Front::stop_accepting() {
    ErrorCode ignored;
    shared_->acceptor.close(ignored);
}

std::size_t Front::under_way() const { return shared_->under_way; }

} // namespace willowrill::data
