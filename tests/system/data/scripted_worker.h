// Workers of the tests of proxied requests: each takes connections on loopback, reads as much of a request as
// its script says, and then responds, closes or resets. Runs on the loop of the test.
#pragma once

#include "system/transport/asio.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace willowrill::data {

// How much of a request the worker reads before it does anything.
enum class ReadAmount { nothing, head, part_of_body, all };

// What it does then.
enum class Reaction {
    respond,
    respond_and_close,
    respond_and_reset,         // once the client has a head
    respond_and_reset_at_once, // with whatever of the request is still to come
    respond_close_and_reset,   // ends its side, and resets when the other end has had time to see it
    close,
    reset,
    stay_silent
};

// Bytes that follow a response, or another part, after a pause.
struct LaterPart {
    std::chrono::milliseconds pause;
    std::string bytes; // "ID" as in a response
};

struct Step {
    ReadAmount reads = ReadAmount::all;
    Reaction reaction = Reaction::respond;
    std::string response;  // "ID" stands for the request's Attempt-Id
    std::string surplus{}; // sent before it, where this connection has carried the same request before
    std::vector<LaterPart> later_parts{}; // of a worker that responds
};

class ScriptedWorker {
  public:
    explicit ScriptedWorker(asio::io_context& loop)
        : acceptor_(loop, Tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
        acceptor_.set_option(
            asio::socket_base::receive_buffer_size(receive_buffer)); // a long body does not fit
        accept();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
    // For the next requests, one after the other; without a step it responds in order.
    void expect(Step step) { steps_.push_back(std::move(step)); }

    // Answers the requests for which it has been silent so far.
    void end_silence(const std::string& response) {
        ErrorCode ignored;
        for (const PeerPtr& peer : silent_peers_)
            asio::write(peer->socket, asio::buffer(with_id(response, peer->ids.back())), ignored);
        silent_peers_.clear();
    }

    std::vector<std::string> requests; // what was read of each
    std::size_t connections = 0;
    std::size_t ended_connections = 0; // by the other end, while the worker read

  private:
    struct Peer {
        explicit Peer(Tcp::socket s) : socket(std::move(s)) {}
        Tcp::socket socket;
        std::string got;
        std::vector<std::string> ids; // of the requests before
        std::vector<char> buffer = std::vector<char>(65536);
    };
    using PeerPtr = std::shared_ptr<Peer>;

    void accept() {
        acceptor_.async_accept([this](ErrorCode error, Tcp::socket socket) {
            if (error) return;
            ++connections;
            serve(std::make_shared<Peer>(std::move(socket)));
            accept();
        });
    }

    void serve(const PeerPtr& peer) {
        Step step{ReadAmount::all, Reaction::respond, plain_response()};
        if (!steps_.empty()) {
            step = steps_.front();
            if (step.reads == ReadAmount::nothing) return react(peer, step);
        }
        read(peer);
    }

    static std::string plain_response() {
        return "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nServer-Seal: seal\r\nContent-Length: 12\r\n\r\ndata: "
               "good\n\n";
    }

    void read(const PeerPtr& peer) {
        peer->socket.async_read_some(
            asio::buffer(peer->buffer), [this, peer](ErrorCode error, std::size_t n) {
                if (error) {
                    ++ended_connections;
                    return;
                }
                peer->got.append(peer->buffer.data(), n);
                const Step step = steps_.empty() ? Step{ReadAmount::all, Reaction::respond, plain_response()}
                                                 : steps_.front();
                if (!has_read_enough(peer->got, step.reads)) return read(peer);
                react(peer, step);
            });
    }

    static bool has_read_enough(const std::string& got, ReadAmount reads) {
        const std::size_t head = got.find("\r\n\r\n");
        if (head == std::string::npos) return false;
        if (reads == ReadAmount::head) return true;
        std::size_t length = 0;
        if (const std::size_t at = got.find("Content-Length: "); at != std::string::npos && at < head)
            length = std::stoul(got.substr(at + 16));
        const std::size_t body = got.size() - head - 4;
        return reads == ReadAmount::part_of_body ? body > 0 && body >= length / 3 : body >= length;
    }

    void react(const PeerPtr& peer, const Step& step) {
        if (!steps_.empty()) steps_.pop_front();
        requests.push_back(std::exchange(peer->got, {}));
        const std::string& request = requests.back();
        const std::size_t id = request.find("Attempt-Id: ");
        const std::string value =
            id == std::string::npos ? "" : request.substr(id + 12, request.find("\r\n", id) - id - 12);
        const bool sent_before = std::ranges::count(peer->ids, value) > 0;
        peer->ids.push_back(value);
        const std::string response = with_id((sent_before ? step.surplus : "") + step.response, value);
        ErrorCode ignored;
        switch (step.reaction) {
        case Reaction::respond:
            asio::write(peer->socket, asio::buffer(response), ignored);
            send_later(peer, step.later_parts, value);
            return read(peer);
        case Reaction::respond_and_close:
            asio::write(peer->socket, asio::buffer(response), ignored);
            peer->socket.shutdown(Tcp::socket::shutdown_send, ignored);
            return drain(peer);
        case Reaction::respond_and_reset:
            asio::write(peer->socket, asio::buffer(response), ignored);
            return reset_later(peer);
        case Reaction::respond_and_reset_at_once:
            asio::write(peer->socket, asio::buffer(response), ignored);
            return reset(peer);
        case Reaction::respond_close_and_reset:
            asio::write(peer->socket, asio::buffer(response), ignored);
            peer->socket.shutdown(Tcp::socket::shutdown_send, ignored);
            return reset_after_delay(peer);
        case Reaction::close:
            peer->socket.shutdown(Tcp::socket::shutdown_send, ignored);
            return drain(peer);
        case Reaction::reset:
            return reset(peer);
        case Reaction::stay_silent:
            silent_peers_.push_back(peer);
            return keep_open(peer);
        }
    }

    static std::string with_id(std::string response, const std::string& value) {
        for (std::size_t at = response.find("ID\r\n"); at != std::string::npos;
             at = response.find("ID\r\n", at + 1))
            response.replace(at, 2, value);
        return response;
    }

    static void send_later(const PeerPtr& peer, const std::vector<LaterPart>& parts,
                           const std::string& value) {
        std::chrono::milliseconds pause{0};
        for (const LaterPart& part : parts) {
            pause += part.pause;
            const auto timer = std::make_shared<SteadyTimer>(peer->socket.get_executor(), pause);
            timer->async_wait([peer, timer, bytes = with_id(part.bytes, value)](ErrorCode) {
                ErrorCode ignored;
                asio::write(peer->socket, asio::buffer(bytes), ignored);
            });
        }
    }

    // Reads on, so that closing does not reset what was written.
    void drain(const PeerPtr& peer) {
        peer->socket.async_read_some(asio::buffer(peer->buffer), [this, peer](ErrorCode error, std::size_t) {
            if (!error) drain(peer);
        });
    }

    static void keep_open(const PeerPtr& peer) {
        peer->socket.async_wait(Tcp::socket::wait_error, [peer](ErrorCode) {});
    }

    void reset_after_delay(const PeerPtr& peer) {
        const auto timer = std::make_shared<SteadyTimer>(peer->socket.get_executor(), reset_delay);
        timer->async_wait([peer, timer](ErrorCode) { reset(peer); });
    }

    // Once the other end has read the response: a reset would discard it.
    void reset_later(const PeerPtr& peer) { pending_resets_.push_back(peer); }

  public:
    // Resets the connections whose responses have been read.
    void reset_pending() {
        for (const PeerPtr& peer : pending_resets_)
            reset(peer);
        pending_resets_.clear();
    }

  private:
    static void reset(const PeerPtr& peer) {
        ErrorCode ignored;
        peer->socket.set_option(asio::socket_base::linger(true, 0), ignored);
        peer->socket.close(ignored);
    }

    static constexpr int receive_buffer = 65536;
    static constexpr std::chrono::milliseconds reset_delay{20};

    Tcp::acceptor acceptor_;
    std::deque<Step> steps_;
    std::vector<PeerPtr> pending_resets_;
    std::vector<PeerPtr> silent_peers_;
};

} // namespace willowrill::data
