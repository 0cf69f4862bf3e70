// What the tests of proxied requests share: the real classes over loopback, between one client's connection
// and two scripted workers, and the responses that these give.
#pragma once

#include "data/scripted_worker.h"
#include "support/expect.h"

#include "system/data/proxied_request.h"

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <optional>
#include <set>
#include <string>

namespace willowrill::data {

inline std::string configuration_text(const std::string& route_class, bool resumable, int attempts,
                                      int timeout_ms, const std::string& home_regions = "",
                                      const std::string& service_settings = R"("maxConnections":100)") {
    return fmt::format(
        R"({{"configVersion":1,"routes":[{{"name":"r","host":"h.example","pathPrefix":"/a/","routeClass":"{}",
        "timeoutMs":{},"targetMs":40,"maxAttempts":{},"resumable":{},"gap_aim_ms":400,"homeRegions":[{}],
        "service":"s"}}],"services":[{{"name":"s",{}}}]}})",
        route_class, timeout_ms, attempts, resumable, home_regions, service_settings);
}

// Of a request: far more than fits into the buffers of a connection, so that its write is under way.
inline constexpr std::size_t long_body_bytes = 5U << 20U;

// A route of the tests.
struct RouteKind {
    const char* name;
    const char* route_class;
    bool resumable;
    int attempts;
    bool repeatable() const { return std::string(route_class) == "safe" || resumable; }
};

inline const RouteKind route_kinds[] = {{"safe", "safe", false, 2},
                                        {"safe, one attempt", "safe", false, 1},
                                        {"non-idempotent", "non_idempotent", false, 2},
                                        {"stream", "streaming", false, 2},
                                        {"resumable stream", "streaming", true, 2}};

// What one scheduler proxies requests with, a client's connection, and two workers: the first one is asked
// first.
class ProxyFixture {
  public:
    ProxyFixture(const std::string& route_class, bool resumable, int attempts, int timeout_ms = 10000)
        : first(loop), second(loop) {
        settings.zone = "z";
        settings.region = "g";
        settings.regions = {{"z", "g"}};
        settings.node_name = "n";
        context.emplace(loop, settings, 7);
        activate(route_class, resumable, attempts, timeout_ms);
        begun_on = context->active_configuration;
        add_worker("w1", first, 0);
        add_worker("w2", second, 20);
        Tcp::acceptor acceptor(loop, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        Tcp::socket proxy_end(loop);
        proxy_end.connect(acceptor.local_endpoint());
        client_end.emplace(acceptor.accept());
        client.emplace(std::move(proxy_end));
    }

    // For what is decided from now on; requests still begin with the first configuration.
    void activate(const std::string& route_class, bool resumable, int attempts, int timeout_ms = 10000,
                  const std::set<std::string>& evacuated = {}) {
        activate_text(configuration_text(route_class, resumable, attempts, timeout_ms), evacuated);
    }

    void activate_text(const std::string& text, const std::set<std::string>& evacuated = {}) {
        auto parsed = configuration::parse(text);
        cr_assert(static_cast<bool>(parsed), "%s", parsed ? "" : parsed.error().detail.c_str());
        ++position.sequence;
        context->active_configuration =
            std::make_shared<const ActiveConfiguration>(position, std::move(parsed.value()), evacuated);
    }

    // Has one request proxied; returns the bytes that the client got.
    std::string serve(const std::string& id, std::size_t body_bytes = 10) {
        ClientRequest request(http::verb::post, "/a/x?y=1", 11);
        request.set(http::field::host, "h.example");
        request.set("Attempt-Id", id);
        request.set("Model", "m");
        request.set("Time-Remaining", "5000");
        request.body() = std::string(body_bytes, 'b');
        request.prepare_payload();
        const ActiveConfigurationPtr active_configuration = begun_on;
        const configuration::Route* route = active_configuration->routes.find("h.example", "/a/x");
        cr_assert_not_null(route);
        ProxiedRequest proxied(*context, *client, request, active_configuration, *route, steady_now());
        bool done = false;
        asio::co_spawn(loop, proxied.run(), [&](std::exception_ptr failure) {
            cr_assert(!failure);
            done = true;
        });
        while (!done) {
            cr_assert_gt(loop.run_one_for(std::chrono::seconds(20)), 0U, "nothing happens any more");
            if (client_has_head()) {
                first.reset_pending();
                second.reset_pending();
            }
        }
        reusable = proxied.reusable();
        for (auto& [id_of, worker] : context->workers)
            worker.ejected_until = worker.saturated_until = std::nullopt;
        do
            got += available();
        while (client_reads_from.count() > 0 && bytes_on_their_way() > 0);
        return std::exchange(got, {}) + available();
    }

    // The client reads nothing for so long, and little fits into the buffers of its connection.
    void let_client_rest(routing::Time length) {
        client->socket().set_option(asio::socket_base::send_buffer_size(small_buffer));
        client_end->set_option(asio::socket_base::receive_buffer_size(small_buffer));
        client_reads_from = steady_now() + length;
        poll_client();
    }

    asio::io_context loop;
    settings::Settings settings;
    std::optional<Context> context;
    ScriptedWorker first, second;
    ActiveConfigurationPtr begun_on;
    bool reusable = false;

  private:
    void add_worker(const std::string& id, const ScriptedWorker& worker, std::size_t active) {
        routing::Worker& added = context->workers[id];
        added.instance.id = id;
        added.instance.service = "s";
        added.instance.address = worker.address();
        added.instance.zone = "z";
        added.instance.capacity = 64;
        added.load_report = routing::LoadReport{steady_now(), active, 0, 0, 0, true};
    }

    // Written to the client's connection, and not received there yet.
    int bytes_on_their_way() {
        int bytes = 0;
        cr_assert_eq(ioctl(client->socket().native_handle(), SIOCOUTQ, &bytes), 0);
        return bytes;
    }

    std::string available() {
        std::string out;
        ErrorCode error;
        while (client_end->available(error) > 0 && !error) {
            std::string piece(65536, '\0');
            piece.resize(client_end->read_some(asio::buffer(piece), error));
            out += piece;
        }
        return out;
    }

    // Lets `serve` look at the client's connection also while nothing else happens.
    void poll_client() {
        client_poll.expires_after(client_poll_period);
        client_poll.async_wait([this](ErrorCode error) {
            if (!error) poll_client();
        });
    }

    bool client_has_head() {
        if (steady_now() >= client_reads_from) got += available();
        return got.find("\r\n\r\n") != std::string::npos;
    }

    static constexpr int small_buffer = 32768;
    static constexpr std::chrono::milliseconds client_poll_period{5};

    SteadyTimer client_poll{loop};
    routing::Time client_reads_from{0};
    replication::Position position{1, 0};
    std::optional<beast::tcp_stream> client;
    std::optional<Tcp::socket> client_end;
    std::string got;
};

inline int status_of(const std::string& response) {
    return response.size() < 12 ? 0 : std::stoi(response.substr(9, 3));
}

inline bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

inline std::string worker_response(const std::string& status, const std::string& headers,
                                   const std::string& body = "data: x\n\n") {
    return fmt::format("HTTP/1.1 {}\r\n{}Content-Length: {}\r\n\r\n{}", status, headers, body.size(), body);
}

inline const std::string id = "Attempt-Id: ID\r\n", other_id = "Attempt-Id: ffff\r\n",
                         seal = "Server-Seal: seal\r\n", promise = "Not-Executed: 1\r\n";

// The beginning of the head of a worker's success.
inline const std::string sealed_head = "HTTP/1.1 200 OK\r\n" + id + seal;

// The head of a stream in chunks, and what follows it.
inline const std::string stream_head =
    sealed_head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

inline std::string chunk(const std::string& text) { return fmt::format("{:x}\r\n{}\r\n", text.size(), text); }

inline std::string event(int number) { return fmt::format("id: {}\ndata: e{}\n\n", number, number); }

} // namespace willowrill::data
