// Workers of the exchange's tests: each takes connections on loopback, reads as much of a request as its
// script says, and then answers, closes or resets. Runs on the loop of the test.
#pragma once

#include "system/transport/asio.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace willowrill::data {

// How much of a request the worker reads before it does anything.
enum class Reads { nothing, head, part_of_body, all };

// What it does then.
enum class Then { says, says_and_closes, says_and_resets, closes, resets, keeps_silent };

struct Step {
    Reads reads = Reads::all;
    Then then = Then::says;
    std::string answer; // "ID" stands for the request's Attempt-Id
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
    // For the next requests, one after the other; without one it answers in order.
    void expect(Step step) { steps_.push_back(std::move(step)); }

    std::vector<std::string> requests; // what was read of each
    std::size_t connections = 0;

  private:
    struct Peer {
        explicit Peer(Tcp::socket s) : socket(std::move(s)) {}
        Tcp::socket socket;
        std::string got;
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
        Step step{Reads::all, Then::says, plain_answer()};
        if (!steps_.empty()) {
            step = steps_.front();
            if (step.reads == Reads::nothing) return begin(peer, step);
        }
        read(peer);
    }

    static std::string plain_answer() {
        return "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nServer-Seal: seal\r\nContent-Length: 12\r\n\r\ndata: "
               "good\n\n";
    }

    void read(const PeerPtr& peer) {
        peer->socket.async_read_some(asio::buffer(peer->buffer), [this, peer](ErrorCode error,
                                                                              std::size_t n) {
            if (error) return;
            peer->got.append(peer->buffer.data(), n);
            const Step step = steps_.empty() ? Step{Reads::all, Then::says, plain_answer()} : steps_.front();
            if (!enough(peer->got, step.reads)) return read(peer);
            begin(peer, step);
        });
    }

    static bool enough(const std::string& got, Reads reads) {
        const std::size_t head = got.find("\r\n\r\n");
        if (head == std::string::npos) return false;
        if (reads == Reads::head) return true;
        std::size_t length = 0;
        if (const std::size_t at = got.find("Content-Length: "); at != std::string::npos && at < head)
            length = std::stoul(got.substr(at + 16));
        const std::size_t body = got.size() - head - 4;
        return reads == Reads::part_of_body ? body > 0 && body >= length / 3 : body >= length;
    }

    void begin(const PeerPtr& peer, const Step& step) {
        if (!steps_.empty()) steps_.pop_front();
        requests.push_back(std::exchange(peer->got, {}));
        std::string answer = step.answer;
        const std::string& request = requests.back();
        const std::size_t id = request.find("Attempt-Id: ");
        const std::string value =
            id == std::string::npos ? "" : request.substr(id + 12, request.find("\r\n", id) - id - 12);
        for (std::size_t at = answer.find("ID\r\n"); at != std::string::npos;
             at = answer.find("ID\r\n", at + 1))
            answer.replace(at, 2, value);
        ErrorCode ignored;
        switch (step.then) {
        case Then::says:
            asio::write(peer->socket, asio::buffer(answer), ignored);
            return read(peer);
        case Then::says_and_closes:
            asio::write(peer->socket, asio::buffer(answer), ignored);
            peer->socket.shutdown(Tcp::socket::shutdown_send, ignored);
            return drain(peer);
        case Then::says_and_resets:
            asio::write(peer->socket, asio::buffer(answer), ignored);
            return reset_soon(peer);
        case Then::closes:
            peer->socket.shutdown(Tcp::socket::shutdown_send, ignored);
            return drain(peer);
        case Then::resets:
            return reset(peer);
        case Then::keeps_silent:
            return hold(peer);
        }
    }

    // Reads on, so that closing does not reset what was said.
    void drain(const PeerPtr& peer) {
        peer->socket.async_read_some(asio::buffer(peer->buffer), [this, peer](ErrorCode error, std::size_t) {
            if (!error) drain(peer);
        });
    }

    static void hold(const PeerPtr& peer) {
        peer->socket.async_wait(Tcp::socket::wait_error, [peer](ErrorCode) {});
    }

    // Once the other end has read what was said: a reset would take it away.
    void reset_soon(const PeerPtr& peer) { held_.push_back(peer); }

  public:
    // Resets the connections whose last words have been read.
    void reset_held() {
        for (const PeerPtr& peer : held_)
            reset(peer);
        held_.clear();
    }

  private:
    static void reset(const PeerPtr& peer) {
        ErrorCode ignored;
        peer->socket.set_option(asio::socket_base::linger(true, 0), ignored);
        peer->socket.close(ignored);
    }

    static constexpr int receive_buffer = 65536;

    Tcp::acceptor acceptor_;
    std::deque<Step> steps_;
    std::vector<PeerPtr> held_;
};

} // namespace willowrill::data
