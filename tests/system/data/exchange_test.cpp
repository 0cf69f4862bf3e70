// A request's exchange with workers, the real one over loopback, against scripted workers: every pair of what
// was sent so far and what came back, for each class of route, on new and on kept connections. A plain model
// says what is allowed: whether a second worker may be asked, and what the client may be told.
#include "data/scripted_worker.h"
#include "system/data/answer_head.h"
#include "system/data/exchange.h"

#include "support/expect.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <optional>
#include <string>

using namespace willowrill;
using namespace willowrill::data;

namespace {

std::string configuration_text(const std::string& route_class, bool resumable, int attempts, int timeout_ms) {
    return fmt::format(
        R"({{"configVersion":1,"routes":[{{"name":"r","host":"h.example","pathPrefix":"/a/","routeClass":"{}",
        "timeoutMs":{},"targetMs":40,"maxAttempts":{},"resumable":{},"gap_aim_ms":400,"service":"s"}}],
        "services":[{{"name":"s","maxConnections":100}}]}})",
        route_class, timeout_ms, attempts, resumable);
}

// One scheduler's exchange machinery, a client's connection, and two workers: the first one is asked first.
class Stage {
  public:
    Stage(const std::string& route_class, bool resumable, int attempts, int timeout_ms = 10000)
        : first(loop), second(loop) {
        settings.zone = "z";
        settings.region = "g";
        settings.regions = {{"z", "g"}};
        settings.node_name = "n";
        context.emplace(loop, settings, 7);
        auto parsed = configuration::parse(configuration_text(route_class, resumable, attempts, timeout_ms));
        cr_assert(static_cast<bool>(parsed), "%s", parsed ? "" : parsed.error().detail.c_str());
        context->active_configuration = std::make_shared<const ActiveConfiguration>(
            replication::Position{1, 1}, std::move(parsed.value()), std::set<std::string>{});
        add_worker("w1", first, 0);
        add_worker("w2", second, 20);
        Tcp::acceptor acceptor(loop, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        Tcp::socket near(loop);
        near.connect(acceptor.local_endpoint());
        far.emplace(acceptor.accept());
        client.emplace(std::move(near));
    }

    // Runs one request through an exchange; returns the bytes that the client got.
    std::string serve(const std::string& id, std::size_t body_bytes = 10) {
        ClientRequest request(http::verb::post, "/a/x?y=1", 11);
        request.set(http::field::host, "h.example");
        request.set("Attempt-Id", id);
        request.set("Model", "m");
        request.set("Time-Remaining", "5000");
        request.body() = std::string(body_bytes, 'b');
        request.prepare_payload();
        const ActiveConfigurationPtr active_configuration = context->active_configuration;
        const configuration::Route* route = active_configuration->routes.find("h.example", "/a/x");
        cr_assert_not_null(route);
        Exchange exchange(*context, *client, request, active_configuration, *route, steady_now());
        bool done = false;
        asio::co_spawn(loop, exchange.run(), [&](std::exception_ptr failure) {
            cr_assert(!failure);
            done = true;
        });
        while (!done) {
            cr_assert_gt(loop.run_one_for(std::chrono::seconds(20)), 0U, "nothing happens any more");
            if (client_has_head()) {
                first.reset_held();
                second.reset_held();
            }
        }
        reusable = exchange.reusable();
        for (auto& [id_of, worker] : context->workers)
            worker.ejected_until = worker.saturated_until = std::nullopt;
        return std::exchange(got, {}) + available();
    }

    asio::io_context loop;
    settings::Settings settings;
    std::optional<Context> context;
    ScriptedWorker first, second;
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

    std::string available() {
        std::string out;
        ErrorCode error;
        while (far->available(error) > 0 && !error) {
            std::string piece(65536, '\0');
            piece.resize(far->read_some(asio::buffer(piece), error));
            out += piece;
        }
        return out;
    }

    bool client_has_head() {
        got += available();
        return got.find("\r\n\r\n") != std::string::npos;
    }

    std::optional<beast::tcp_stream> client;
    std::optional<Tcp::socket> far;
    std::string got;
};

int status_of(const std::string& answer) { return answer.size() < 12 ? 0 : std::stoi(answer.substr(9, 3)); }

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

std::string answer(const std::string& status, const std::string& headers,
                   const std::string& body = "data: x\n\n") {
    return fmt::format("HTTP/1.1 {}\r\n{}Content-Length: {}\r\n\r\n{}", status, headers, body.size(), body);
}

const std::string id = "Attempt-Id: ID\r\n", other_id = "Attempt-Id: ffff\r\n",
                  seal = "Server-Seal: seal\r\n", promise = "Not-Executed: 1\r\n";

// ---- The plain model -------------------------------------------------------------------------------------

// What the worker's behaviour tells of the request, from the pages alone.
// `misdirected`: not run, as the instance it was sent to is not there; that was no send to a worker.
enum class Fate { answered, not_run, misdirected, unknown };

struct Outcome {
    const char* name;
    Step step;
    Fate on_new;  // on a connection that has carried nothing else
    Fate on_kept; // on one that has
};

std::vector<Outcome> outcomes() {
    const auto says = [](const std::string& text) { return Step{Reads::all, Then::says, text}; };
    const Fate answered = Fate::answered, not_run = Fate::not_run, misdirected = Fate::misdirected,
               unknown = Fate::unknown;
    return {
        {"whole answer", says(answer("200 OK", id + seal)), answered, answered},
        {"failure of the worker's", says(answer("500 Internal Server Error", id + seal)), answered, answered},
        {"503 with the promise", says(answer("503 Service Unavailable", id + promise)), not_run, not_run},
        {"429 with the promise", says(answer("429 Too Many Requests", id + promise)), not_run, not_run},
        {"408 with the promise", says(answer("408 Request Timeout", id + promise)), not_run, not_run},
        {"400 with the promise", says(answer("400 Bad Request", id + promise)), not_run, not_run},
        {"421 is a promise", says(answer("421 Misdirected Request", id)), misdirected, misdirected},
        {"503 without the promise", says(answer("503 Service Unavailable", id + seal)), unknown, unknown},
        {"429 without the promise", says(answer("429 Too Many Requests", id + seal)), unknown, unknown},
        {"408 without the promise", says(answer("408 Request Timeout", id + seal)), unknown, unknown},
        {"promise without an id", says(answer("503 Service Unavailable", promise)), not_run, unknown},
        {"421 without an id", says(answer("421 Misdirected Request", "")), misdirected, unknown},
        {"answer without an id", says(answer("200 OK", seal)), unknown, unknown},
        {"answer with another id, then the own one",
         says(answer("200 OK", other_id + seal, "wrong") + answer("200 OK", id + seal)), unknown, answered},
        {"promise with another id, then the own answer",
         says(answer("503 Service Unavailable", other_id + promise, "wrong") + answer("200 OK", id + seal)),
         unknown, answered},
        {"promise with another id, then silence and a close",
         {Reads::all, Then::says_and_closes, answer("503 Service Unavailable", other_id + promise, "wrong")},
         unknown,
         unknown},
        {"2xx without a seal", says(answer("200 OK", id)), unknown, unknown},
        {"bytes that are no answer", says("garbage garbage\r\n\r\n"), unknown, unknown},
        {"cut short and closed",
         {Reads::all, Then::says_and_closes,
          "HTTP/1.1 200 OK\r\n" + id + seal + "Content-Length: 100\r\n\r\ndata: x"},
         unknown,
         unknown},
        {"no length, ended in order",
         {Reads::all, Then::says_and_closes, "HTTP/1.1 200 OK\r\n" + id + seal + "\r\ndata: x\n\n"},
         answered,
         answered},
        {"closed after all", {Reads::all, Then::closes, ""}, unknown, unknown},
        {"reset after all", {Reads::all, Then::resets, ""}, unknown, unknown},
        {"closed after the head", {Reads::head, Then::closes, ""}, unknown, unknown},
        {"reset after the head", {Reads::head, Then::resets, ""}, unknown, unknown},
        {"closed after part of the body", {Reads::part_of_body, Then::closes, ""}, unknown, unknown},
        {"reset after part of the body", {Reads::part_of_body, Then::resets, ""}, unknown, unknown},
        {"answered after the head, body unread",
         {Reads::head, Then::says, answer("200 OK", id + seal)},
         answered,
         answered},
        {"refused after the head, body unread",
         {Reads::head, Then::says, answer("503 Service Unavailable", id + promise)},
         not_run,
         not_run},
    };
}

struct RouteKind {
    const char* name;
    const char* route_class;
    bool resumable;
    int attempts;
    bool repeatable() const { return std::string(route_class) == "safe" || resumable; }
    bool may_ask_again(Fate fate) const {
        if (fate == Fate::misdirected) return true;
        return attempts > 1 && (fate == Fate::not_run || (fate == Fate::unknown && repeatable()));
    }
};

const RouteKind route_kinds[] = {{"safe", "safe", false, 2},
                                 {"safe, one attempt", "safe", false, 1},
                                 {"non-idempotent", "non_idempotent", false, 2},
                                 {"stream", "streaming", false, 2},
                                 {"resumable stream", "streaming", true, 2}};

void check(const RouteKind& route, const Outcome& outcome, bool kept, std::size_t body) {
    const std::string where =
        fmt::format("{}, {}, {} connection, {} bytes", route.name, outcome.name, kept ? "kept" : "new", body);
    Stage stage(route.route_class, route.resumable, route.attempts);
    if (kept) cr_assert_eq(status_of(stage.serve("0a")), 200, "%s", where.c_str());
    stage.first.expect(outcome.step);
    const std::string got = stage.serve("0b", body);
    const Fate fate = kept ? outcome.on_kept : outcome.on_new;
    const int status = status_of(got);
    const bool again = !stage.second.requests.empty();
    cr_assert_eq(again, fate != Fate::answered && route.may_ask_again(fate), "%s: asked again: %d",
                 where.c_str(), again);
    cr_assert(!contains(got, "wrong"), "%s: bytes of another request", where.c_str());
    if (fate == Fate::answered) {
        cr_assert(status == 200 || status == 500, "%s: %d", where.c_str(), status);
        cr_assert(contains(got, "0b"), "%s", where.c_str());
    } else if (again) {
        cr_assert_eq(status, 200, "%s: %d", where.c_str(), status);
        cr_assert(contains(stage.second.requests[0], "Attempt-Id: 0b\r\n"), "%s", where.c_str());
    } else if (fate == Fate::unknown) {
        // 408, 421, 429 and 503 would promise that nothing has run.
        cr_assert(status == 502 || status == 504, "%s: %d", where.c_str(), status);
    } else {
        cr_assert_eq(status, 503, "%s: %d", where.c_str(), status);
        cr_assert(contains(got, "Retry-After:"), "%s", where.c_str());
    }
    // What comes next on the client's connection and on kept ones is its own.
    const std::string next = stage.serve("0c");
    cr_assert_eq(status_of(next), 200, "%s: next %d", where.c_str(), status_of(next));
    cr_assert(contains(next, "0c") && !contains(next, "0b"), "%s: next", where.c_str());
    // No worker finds the rest of another request's body where a request begins.
    for (const ScriptedWorker* worker : {&stage.first, &stage.second})
        for (const std::string& request : worker->requests)
            cr_assert(request.starts_with("POST /a/x?y=1 HTTP/1.1\r\n"), "%s: %s", where.c_str(),
                      request.substr(0, 40).c_str());
}

} // namespace

Test(exchange, every_outcome_on_a_new_connection) {
    for (const RouteKind& route : route_kinds)
        for (const Outcome& outcome : outcomes())
            check(route, outcome, false, 10);
}

Test(exchange, every_outcome_on_a_kept_connection) {
    for (const RouteKind& route : route_kinds)
        for (const Outcome& outcome : outcomes())
            check(route, outcome, true, 10);
}

// Far more than fits into the buffers of a connection.
Test(exchange, every_outcome_of_a_long_body) {
    for (const RouteKind& route : route_kinds)
        for (const Outcome& outcome : outcomes())
            check(route, outcome, false, 5U << 20U);
}

// Nothing could be sent, as nobody is there: it has not run, whatever its class.
Test(exchange, a_worker_that_cannot_be_reached_has_run_nothing) {
    for (const RouteKind& route : route_kinds) {
        Stage stage(route.route_class, route.resumable, route.attempts);
        stage.context->workers["w1"].instance.address = "127.0.0.1:1";
        cr_assert_eq(status_of(stage.serve("0b")), 200, "%s", route.name);
        cr_assert_eq(stage.second.requests.size(), 1U, "%s", route.name);
    }
}

Test(exchange, silence_until_the_deadline_is_no_promise) {
    Stage stage("non_idempotent", false, 2, 150);
    stage.first.expect({Reads::all, Then::keeps_silent, ""});
    cr_assert_eq(status_of(stage.serve("0b")), 504);
    cr_assert(stage.second.requests.empty());
}

Test(exchange, a_second_answer_in_the_same_segment_goes_to_nobody) {
    Stage stage("safe", false, 1);
    stage.first.expect(
        {Reads::all, Then::says, answer("200 OK", id + seal, "mine") + answer("200 OK", id + seal, "again")});
    cr_assert(contains(stage.serve("0b"), "mine"));
    const std::string next = stage.serve("0c");
    cr_assert(!contains(next, "again"));
    cr_assert_eq(status_of(next), 200);
    cr_assert_eq(stage.first.connections, 2U, "such a connection is not kept");
}

Test(exchange, an_answer_without_a_length_that_is_reset_is_not_whole) {
    Stage stage("non_idempotent", false, 2);
    stage.first.expect({Reads::all, Then::says_and_resets, "HTTP/1.1 200 OK\r\n" + id + seal + "\r\npart"});
    asio::steady_timer later(stage.loop, std::chrono::milliseconds(50));
    later.async_wait([&](ErrorCode) { stage.first.reset_held(); });
    cr_assert_eq(status_of(stage.serve("0b")), 502);
    cr_assert(stage.second.requests.empty());
}

Test(exchange, the_request_goes_out_unchanged_with_what_is_left_of_its_time) {
    Stage stage("non_idempotent", false, 1);
    stage.serve("0b");
    const std::string& sent = stage.first.requests.at(0);
    cr_assert(sent.starts_with("POST /a/x?y=1 HTTP/1.1\r\n"));
    for (const char* const part : {"Host: h.example\r\n", "Attempt-Id: 0b\r\n", "Model: m\r\n",
                                   "Target-Instance: w1\r\n", "Content-Length: 10\r\n", "bbbbbbbbbb"})
        cr_assert(contains(sent, part), "%s", part);
    const std::size_t at = sent.find("Time-Remaining: ");
    const int left = std::stoi(sent.substr(at + 16));
    cr_assert(left > 0 && left <= 5000, "%d", left);
    cr_assert(sent.find("Time-Remaining", at + 1) == std::string::npos, "once");
}

// ---- Streams ---------------------------------------------------------------------------------------------

namespace {

std::string chunk(const std::string& text) { return fmt::format("{:x}\r\n{}\r\n", text.size(), text); }

std::string event(int number) { return fmt::format("id: {}\ndata: e{}\n\n", number, number); }

const std::string stream_head = "HTTP/1.1 200 OK\r\n" + id + seal +
                                "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

Test(streams, one_that_breaks_off_in_an_event_goes_on_after_the_last_whole_one) {
    for (const Then then : {Then::says_and_closes, Then::says_and_resets}) {
        Stage stage("streaming", true, 2);
        stage.first.expect({Reads::all, then, stream_head + chunk(event(1)) + chunk("id: 2\nda")});
        stage.second.expect({Reads::all, Then::says, stream_head + chunk(event(2) + event(3)) + "0\r\n\r\n"});
        const std::string got = stage.serve("0b");
        cr_assert(contains(stage.second.requests.at(0), "Last-Event-Id: 1\r\n"));
        for (const char* const part : {"data: e1\n", "data: e2\n", "data: e3\n"})
            cr_assert(got.find(part) != std::string::npos && got.find(part) == got.rfind(part), "%s", part);
        cr_assert(got.ends_with("0\r\n\r\n"));
        cr_assert_eq(got.find("HTTP/1.1"), got.rfind("HTTP/1.1"), "one head");
        cr_assert(stage.reusable);
    }
}

Test(streams, one_that_may_not_be_resumed_ends_without_looking_complete) {
    Stage stage("streaming", false, 2);
    stage.first.expect({Reads::all, Then::says_and_closes, stream_head + chunk(event(1))});
    const std::string got = stage.serve("0b");
    cr_assert(contains(got, "data: e1"));
    cr_assert(!got.ends_with("0\r\n\r\n"));
    cr_assert_not(stage.reusable, "the connection must end, so that nothing looks whole");
    cr_assert(stage.second.requests.empty());
}

Test(streams, a_resumption_that_is_refused_is_asked_elsewhere_or_ends_cut_short) {
    for (const std::string& refusal :
         {answer("503 Service Unavailable", id + promise), answer("200 OK", seal),
          answer("500 Internal Server Error", id + seal)}) {
        Stage stage("streaming", true, 2);
        stage.first.expect({Reads::all, Then::says_and_closes, stream_head + chunk(event(1))});
        stage.second.expect({Reads::all, Then::says, refusal});
        const std::string got = stage.serve("0b");
        cr_assert(!got.ends_with("0\r\n\r\n"), "%s", refusal.c_str());
        cr_assert_not(stage.reusable);
        cr_assert_eq(got.find("HTTP/1.1"), got.rfind("HTTP/1.1"), "no second head");
    }
}

Test(streams, one_without_a_length_is_whole_where_its_connection_ends_in_order) {
    Stage stage("streaming", false, 1);
    stage.first.expect(
        {Reads::all, Then::says_and_closes,
         "HTTP/1.1 200 OK\r\n" + id + seal + "Content-Type: text/event-stream\r\n\r\n" + event(1)});
    const std::string got = stage.serve("0b");
    cr_assert(contains(got, "data: e1"));
    cr_assert(got.ends_with("0\r\n\r\n"));
}

// ---- Heads, each against the table -----------------------------------------------------------------------

Test(heads, mean_what_the_pages_say) {
    struct Case {
        int status;
        const char* id; // null: none
        bool promised;
        AnswerMeaning on_new, on_kept;
        bool sealed = true;
    };
    using enum AnswerMeaning;
    const Case cases[] = {
        {200, "0b", false, whole, whole},
        {404, "0b", false, whole, whole},
        {500, "0b", false, whole, whole},
        {504, "0b", false, whole, whole},
        {503, "0b", true, not_executed, not_executed},
        {400, "0b", true, not_executed, not_executed},
        {421, "0b", false, misdirected, misdirected},
        {408, "0b", false, unusable, unusable},
        {429, "0b", false, unusable, unusable},
        {503, "0b", false, unusable, unusable},
        {503, nullptr, true, not_executed, unusable},
        {421, nullptr, false, misdirected, unusable},
        {200, nullptr, false, unusable, unusable},
        {200, "ff", false, unusable, earlier},
        {503, "ff", true, unusable, earlier},
        {421, "ff", false, unusable, earlier},
        {200, "0b", false, unusable, unusable, false},
        {204, "0b", false, unusable, unusable, false},
        {500, "0b", false, whole, whole, false},
    };
    for (const Case& one : cases) {
        http::response_header<> head;
        head.result(static_cast<unsigned>(one.status));
        if (one.id != nullptr) head.set("Attempt-Id", one.id);
        if (one.promised) head.set("Not-Executed", "1");
        if (one.sealed) head.set("Server-Seal", "seal");
        for (const bool reused : {false, true}) {
            const AnswerMeaning expected = reused ? one.on_kept : one.on_new;
            cr_assert(meaning_of(head, {"0b", false, reused, false}) == expected, "%d %s", one.status,
                      one.id == nullptr ? "no id" : one.id);
            const AnswerMeaning of_stream = meaning_of(head, {"0b", true, reused, true});
            if (expected != whole) cr_assert(of_stream == expected);
            if (expected == whole) cr_assert(of_stream == (one.status == 200 ? stream : unusable));
        }
    }
}
