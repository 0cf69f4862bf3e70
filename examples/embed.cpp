// The smallest host: one dispatcher, two workers, three jobs. A real host would feed `handle` from its
// network code and carry the actions out; this one prints them.
#include <willowrill/dispatcher.h>

#include <iostream>

namespace ws = willowrill;
using namespace std::chrono_literals;

int main() {
    ws::Settings settings;
    settings.seed = 1;
    settings.classes.push_back({.effect = ws::Effect::repeatable, .aim = 300ms, .give_up = 5s});
    settings.max_attempts = 3;
    settings.tick = 2ms;
    ws::Dispatcher dispatcher(settings);

    ws::EndpointListUpdate list{ws::EndpointListUpdate::Kind::complete, {}};
    for (ws::WorkerId worker = 0; worker < 2; ++worker) {
        list.entries.push_back({.worker = worker, .key = worker});
    }
    std::vector<ws::Event> events{list};
    for (ws::JobId job = 0; job < 3; ++job) {
        events.emplace_back(ws::JobArrived{.job = job, .time_left = 5s});
    }
    std::vector<ws::Action> actions;
    dispatcher.handle(0ns, events, actions);

    for (const ws::Action& action : actions) {
        if (const auto* send = std::get_if<ws::Send>(&action)) {
            std::cout << "send job " << send->job << " to worker " << send->worker << '\n';
        } else if (const auto* wake = std::get_if<ws::Wake>(&action)) {
            std::cout << "wake at " << wake->at.count() << " ns\n";
        }
    }
}
