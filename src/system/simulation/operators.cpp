#include "system/simulation/operators.h"

#include "system/errors/error.h"

#include <fmt/format.h>

#include <utility>
#include <vector>

namespace willowrill::simulation {
namespace {

constexpr Time answer_timeout{1000};     // an operator moves on after that
constexpr Time evacuation_timeout{5000}; // an evacuation is not sent again after that
constexpr int max_redirects = 2;

// No two orders have the same text.
std::string patch_of(Version version, std::uint64_t author, std::uint64_t names, bool valid) {
    return fmt::format(R"({{"configVersion":{},"upsert":{{"services":[{{"name":"s{}","author":{}}}]}},)"
                       R"("remove":{{"services":["s{}"]}}{})",
                       version, names % 3, author, names % 3 + 1, valid ? "}" : "");
}

std::string body_of(Version version, std::uint64_t author, bool valid) {
    return fmt::format(R"({{"configVersion":{},"author":{},"routes":[],"services":[]{})", version, author,
                       valid ? "}" : "");
}

bool is_refusal(errors::ErrorKind kind) { return errors::answer_to(kind).status < 500; }

} // namespace

Operators::Operators(Environment& environment, std::deque<Member>& members, Habits habits)
    : environment_(environment), members_(members), habits_(habits) {}

void Operators::start() {
    for (std::size_t author = 1; author <= habits_.operators; ++author)
        environment_.queue.after(Time(environment_.queue.uniform(1000)), [this, author] { act(author); });
}

void Operators::act(std::size_t author) {
    const double what = environment_.queue.chance();
    if (what < 0.2)
        read_anywhere();
    else if (what < 0.35)
        evacuate(author);
    else if (habits_.finish_upgrades && what < 0.4)
        finish_upgrade();
    else
        change(author);
    environment_.queue.after(habits_.shortest_pause + Time(environment_.queue.uniform(habits_.pause_spread)),
                             [this, author] { act(author); });
}

Member* Operators::some_member() {
    std::vector<Member*> found;
    for (Member& member : members_)
        if (member.answers()) found.push_back(&member);
    return found.empty() ? nullptr : found[environment_.queue.index(found.size())];
}

Member* Operators::answering() {
    Member* member = some_member();
    for (int hops = 0; member != nullptr && hops <= max_redirects; ++hops) {
        if (!member->answers()) return nullptr;
        if (member->replica().is_primary()) return member;
        const auto primary = member->replica().primary();
        member = primary && *primary != member->id() ? environment_.find(*primary) : nullptr;
    }
    return nullptr;
}

void Operators::change(std::size_t author) {
    Member* member = answering();
    if (member == nullptr || environment_.queue.now() < waits_until_[author]) return;
    waits_until_[author] = environment_.queue.now() + answer_timeout;
    // An order that had no clear answer is sent again, unchanged.
    std::shared_ptr<ChangeOrder>& order = pending_[author];
    if (!order) {
        order = std::make_shared<ChangeOrder>();
        order->based_on = environment_.history.newest_seen();
        order->version = order->based_on + 1 + static_cast<Version>(environment_.queue.uniform(4));
        order->valid = environment_.queue.chance() >= 0.05;
        order->patch = order->based_on > 0 && environment_.queue.chance() < 0.5;
        const std::uint64_t identity = author * 1'000'000 + ++orders_;
        order->body = order->patch ? patch_of(order->version, identity, orders_, order->valid)
                                   : body_of(order->version, identity, order->valid);
        environment_.history.sent(*order);
    }
    const Time asked = environment_.queue.now();
    configuration::Order sent = configuration::PutConfiguration{order->based_on, order->body};
    if (order->patch) sent = configuration::PatchConfiguration{order->based_on, order->body};
    member->orders().submit(std::move(sent),
                            [this, author, order, asked](const control::OrderResult& result) {
                                if (environment_.queue.chance() >= habits_.lost_answers)
                                    on_change_answer(author, order, asked, result);
                            });
}

void Operators::on_change_answer(std::size_t author, const std::shared_ptr<ChangeOrder>& order, Time asked,
                                 const control::OrderResult& result) {
    if (environment_.queue.now() - asked > answer_timeout) return; // the operator has moved on
    waits_until_[author] = Time{0};
    if (!result && !is_refusal(result.error().kind)) return;
    if (pending_[author] == order) pending_[author] = nullptr;
    if (result) return environment_.history.acknowledged(*order);
    environment_.history.refused(*order, result.error().kind == errors::ErrorKind::invalid_configuration);
    read_anywhere(); // to learn the current version
}

void Operators::evacuate(std::size_t author) {
    Member* member = answering();
    if (member == nullptr) return;
    Evacuation& mine = evacuations_[author];
    const Time now = environment_.queue.now();
    if (!mine.pending || now - mine.first_sent > evacuation_timeout) {
        mine.evacuated = !mine.evacuated;
        mine.pending = true;
        mine.first_sent = now;
    }
    const std::string zone = fmt::format("zone-{}", author);
    environment_.history.evacuation_sent(zone, mine.evacuated);
    configuration::Order order = configuration::EndEvacuation{zone};
    if (mine.evacuated) order = configuration::Evacuate{zone};
    member->orders().submit(std::move(order), [this, author, zone, asked = now,
                                               wanted = mine.evacuated](const control::OrderResult& result) {
        if (environment_.queue.chance() < habits_.lost_answers ||
            environment_.queue.now() - asked > answer_timeout)
            return;
        Evacuation& known = evacuations_[author];
        if (!result || known.evacuated != wanted || !known.pending) return;
        known.pending = false;
        environment_.history.evacuation_acknowledged(zone, wanted);
    });
}

void Operators::finish_upgrade() {
    Member* member = answering();
    if (member == nullptr || !member->knows_upgrades()) return;
    member->finish_upgrade([this, asked = environment_.queue.now()](const control::OrderResult& result) {
        if (environment_.queue.chance() < habits_.lost_answers ||
            environment_.queue.now() - asked > answer_timeout)
            return;
        if (result) environment_.history.upgrade_acknowledged();
    });
}

void Operators::read_anywhere() {
    if (Member* member = answering()) read_at(*member);
}

void Operators::read_at_some_primary() {
    std::vector<Member*> found;
    for (Member& member : members_)
        if (member.answers() && member.replica().is_primary()) found.push_back(&member);
    if (!found.empty()) read_at(*found[environment_.queue.index(found.size())]);
}

void Operators::read_at(Member& member) {
    const Version at_least = environment_.history.newest_acknowledged();
    const Time asked = environment_.queue.now();
    if (habits_.unconfirmed_reads) {
        const auto state = configuration::decode(*member.replica().committed().content);
        return environment_.history.read(state.value().configuration, at_least);
    }
    member.orders().read([this, at_least, asked](const errors::Result<std::string>& text) {
        if (text && environment_.queue.now() - asked <= answer_timeout)
            environment_.history.read(text.value(), at_least);
    });
}

} // namespace willowrill::simulation
