#include "system/http/server.h"

#include "system/transport/socket_options.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <optional>
#include <utility>

namespace willowrill::http_server {
namespace {

constexpr std::chrono::milliseconds unacknowledged{5000};
constexpr const char* retry_after_s = "0.2";

} // namespace

struct Server::Shared {
    Shared(asio::io_context& io, Options o, Handler h)
        : loop(io), acceptor(io), options(o), handler(std::move(h)) {}
    asio::io_context& loop;
    Tcp::acceptor acceptor;
    Options options;
    Handler handler;
    std::size_t open = 0;
};

namespace {

// One client's connection: reads a request, hands it over, writes the answer, and so on.
template <class Shared> class Session : public std::enable_shared_from_this<Session<Shared>> {
  public:
    Session(std::shared_ptr<Shared> shared, Tcp::socket socket)
        : shared_(std::move(shared)), stream_(std::move(socket)) {
        ++shared_->open;
    }
    ~Session() { --shared_->open; }
    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;

    void read() {
        parser_.emplace();
        parser_->header_limit(static_cast<std::uint32_t>(shared_->options.header_bytes));
        parser_->body_limit(shared_->options.body_bytes);
        stream_.expires_after(shared_->options.read_timeout);
        http::async_read(stream_, buffer_, *parser_,
                         [self = this->shared_from_this()](ErrorCode error, std::size_t /*bytes*/) {
                             self->on_read(error);
                         });
    }

  private:
    void on_read(ErrorCode error) {
        using errors::ErrorKind;
        if (error == http::error::header_limit || error == http::error::body_limit)
            return write(error_response({}, {ErrorKind::request_too_large, error.message()}), true);
        if (error && error.category() == http::make_error_code(http::error::bad_method).category() &&
            error != http::error::end_of_stream && error != http::error::partial_message)
            return write(error_response({}, {ErrorKind::malformed_request, error.message()}), true);
        if (error) return;
        stream_.expires_never();
        const Request request = parser_->release();
        const bool last = !request.keep_alive();
        shared_->handler(request, [self = this->shared_from_this(), last](Response response) {
            self->write(std::move(response), last);
        });
    }

    void write(Response response, bool last) {
        response.keep_alive(!last);
        response.prepare_payload();
        response_ = std::move(response);
        stream_.expires_after(shared_->options.read_timeout);
        http::async_write(stream_, response_,
                          [self = this->shared_from_this(), last](ErrorCode error, std::size_t /*bytes*/) {
                              if (error) return;
                              if (!last) return self->read();
                              ErrorCode ignored;
                              self->stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
                          });
    }

    std::shared_ptr<Shared> shared_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    Response response_;
};

} // namespace

Server::Server(asio::io_context& loop, const std::string& host, std::uint16_t port, Options options,
               Handler handler)
    : shared_(std::make_shared<Shared>(loop, options, std::move(handler))) {
    const Tcp::endpoint endpoint(asio::ip::make_address(host), port);
    shared_->acceptor.open(endpoint.protocol());
    shared_->acceptor.set_option(Tcp::acceptor::reuse_address(true));
    shared_->acceptor.bind(endpoint);
    shared_->acceptor.listen();
    accept();
}

Server::~Server() { stop_accepting(); }

void Server::stop_accepting() {
    ErrorCode ignored;
    shared_->acceptor.close(ignored);
}

void Server::accept() {
    // The handler outlives this object, so it keeps what it needs alone.
    struct Accept {
        static void next(const std::shared_ptr<Shared>& shared) {
            shared->acceptor.async_accept([shared](ErrorCode error, Tcp::socket socket) {
                if (!shared->acceptor.is_open()) return;
                if (!error && shared->open < shared->options.most_connections) {
                    transport::prepare(socket, unacknowledged);
                    std::make_shared<Session<Shared>>(shared, std::move(socket))->read();
                }
                next(shared);
            });
        }
    };
    Accept::next(shared_);
}

Response json_response(const Request& request, unsigned status, std::string body) {
    Response response;
    response.version(request.version());
    response.result(status);
    response.set(http::field::content_type, "application/json");
    response.body() = std::move(body);
    return response;
}

Response error_response(const Request& request, const errors::Error& error) {
    const errors::Answer answer = errors::answer_to(error.kind);
    const nlohmann::json body{{"error", std::string(answer.reason)}, {"detail", error.detail}};
    Response response = json_response(request, answer.status,
                                      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    if (answer.retry_after) response.set(http::field::retry_after, retry_after_s);
    return response;
}

} // namespace willowrill::http_server
