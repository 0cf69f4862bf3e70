// One replica with a disk that answers at once, or later, or with a refusal, as a test wants it.
#pragma once

#include "system/replication/replica.h"

#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace willowrill::replication {

class ReplicaDriver {
  public:
    enum class DiskMode { answers, holds, refuses };

    explicit ReplicaDriver(Options options, Loaded disk = {})
        : replica(std::move(options)), disk_(std::move(disk)) {
        step(0, disk_);
    }

    // The actions that this gives rise to, but for saves, which the disk carries out.
    std::vector<Action> step(int at_ms, const Event& event) {
        std::vector<Action> out;
        now_ = Time(at_ms);
        feed(event, out);
        return out;
    }

    std::vector<Action> receive(int at_ms, const MemberId& from, const Message& message) {
        return step(at_ms, Received{from, message});
    }

    // Carries out what was held.
    std::vector<Action> release(int at_ms) {
        std::vector<Action> out;
        now_ = Time(at_ms);
        mode = DiskMode::answers;
        while (!held_.empty()) {
            const Save save = std::move(held_.front());
            held_.pop_front();
            answer(save, out);
        }
        return out;
    }

    const std::optional<WitnessRegister>& witness_register() const { return disk_.witness_register; }
    const std::optional<ReplicatedState>& state() const { return disk_.state; }
    const Loaded& disk() const { return disk_; }
    std::size_t held() const { return held_.size(); }
    std::size_t saves() const { return saves_; }

    Replica replica;
    DiskMode mode = DiskMode::answers;

  private:
    void feed(const Event& event, std::vector<Action>& out) {
        std::vector<Action> actions;
        replica.step(now_, event, actions);
        for (const Action& action : actions) {
            const auto* save = std::get_if<Save>(&action);
            if (save == nullptr)
                out.push_back(action);
            else if (mode == DiskMode::holds)
                held_.push_back(*save);
            else
                answer(*save, out);
        }
    }

    void answer(const Save& save, std::vector<Action>& out) {
        ++saves_;
        if (mode == DiskMode::refuses || (failed_ && !save.is_restoration)) {
            failed_ = true;
            return feed(SaveFailed{save.save_id}, out);
        }
        failed_ = false;
        if (const auto* value = std::get_if<WitnessRegister>(&save.record))
            disk_.witness_register = *value;
        else
            disk_.state = std::get<ReplicatedState>(save.record);
        feed(Saved{save.save_id}, out);
    }

    Loaded disk_;
    Time now_{0};
    std::deque<Save> held_;
    std::size_t saves_ = 0;
    bool failed_ = false;
};

// The messages of one kind among the actions.
template <class M> std::vector<M> sent(const std::vector<Action>& actions) {
    std::vector<M> out;
    for (const Action& action : actions)
        if (const auto* send = std::get_if<Send>(&action))
            if (const auto* message = std::get_if<M>(&send->message)) out.push_back(*message);
    return out;
}

template <class A> std::vector<A> done(const std::vector<Action>& actions) {
    std::vector<A> out;
    for (const Action& action : actions)
        if (const auto* found = std::get_if<A>(&action)) out.push_back(*found);
    return out;
}

} // namespace willowrill::replication
