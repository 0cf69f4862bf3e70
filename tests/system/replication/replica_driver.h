// Drives one replica with a simulated disk that completes saves immediately, delays them, or fails them.
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
    enum class DiskMode { completes, delays, fails };

    explicit ReplicaDriver(Options options, Loaded disk = {})
        : replica(std::move(options)), disk_(std::move(disk)) {
        step(0, disk_);
    }

    // Passes the event to the replica and returns the resulting actions, except for saves, which the disk
    // handles.
    std::vector<Action> step(int at_ms, const Event& event) {
        std::vector<Action> out;
        now_ = Time(at_ms);
        process(event, out);
        return out;
    }

    std::vector<Action> receive(int at_ms, const MemberId& from, const Message& message) {
        return step(at_ms, Received{from, message});
    }

    // Completes all delayed saves and makes the disk complete further ones immediately.
    std::vector<Action> complete_delayed_saves(int at_ms) {
        std::vector<Action> out;
        now_ = Time(at_ms);
        mode = DiskMode::completes;
        while (!delayed_saves_.empty()) {
            const Save save = std::move(delayed_saves_.front());
            delayed_saves_.pop_front();
            complete_save(save, out);
        }
        return out;
    }

    const std::optional<WitnessRegister>& witness_register() const { return disk_.witness_register; }
    const std::optional<ReplicatedState>& state() const { return disk_.state; }
    const Loaded& disk() const { return disk_; }
    std::size_t delayed_saves() const { return delayed_saves_.size(); }
    std::size_t completed_saves() const { return completed_saves_; }

    Replica replica;
    DiskMode mode = DiskMode::completes;

  private:
    void process(const Event& event, std::vector<Action>& out) {
        std::vector<Action> actions;
        replica.step(now_, event, actions);
        for (const Action& action : actions) {
            const auto* save = std::get_if<Save>(&action);
            if (save == nullptr)
                out.push_back(action);
            else if (mode == DiskMode::delays)
                delayed_saves_.push_back(*save);
            else
                complete_save(*save, out);
        }
    }

    void complete_save(const Save& save, std::vector<Action>& out) {
        ++completed_saves_;
        if (mode == DiskMode::fails || (last_save_failed_ && !save.is_restoration)) {
            last_save_failed_ = true;
            return process(SaveFailed{save.save_id}, out);
        }
        last_save_failed_ = false;
        if (const auto* value = std::get_if<WitnessRegister>(&save.record))
            disk_.witness_register = *value;
        else
            disk_.state = std::get<ReplicatedState>(save.record);
        process(Saved{save.save_id}, out);
    }

    Loaded disk_;
    Time now_{0};
    std::deque<Save> delayed_saves_;
    std::size_t completed_saves_ = 0;
    bool last_save_failed_ = false;
};

// The messages of one type that are sent by the actions.
template <class M> std::vector<M> messages_of(const std::vector<Action>& actions) {
    std::vector<M> out;
    for (const Action& action : actions)
        if (const auto* send = std::get_if<Send>(&action))
            if (const auto* message = std::get_if<M>(&send->message)) out.push_back(*message);
    return out;
}

// The actions of one type.
template <class A> std::vector<A> actions_of(const std::vector<Action>& actions) {
    std::vector<A> out;
    for (const Action& action : actions)
        if (const auto* found = std::get_if<A>(&action)) out.push_back(*found);
    return out;
}

} // namespace willowrill::replication
