// Operators in virtual time: they change the configuration, two and more on the same version, read it back,
// and evacuate zones; they lose answers and send the same again, to any member.
#pragma once

#include "system/simulation/member.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace willowrill::simulation {

class Operators {
  public:
    struct Habits {
        std::size_t operators = 2;
        Time shortest_pause{150};
        std::int64_t pause_spread = 500; // ms
        double lost_answers = 0.2;       // share of answers that never arrive
        bool finish_upgrades = false;    // try to, now and then
        bool unconfirmed_reads = false;  // a deliberate break: what a member takes for the state is read
    };
    // `members`: all that ever ran, those removed too.
    Operators(Environment& environment, std::deque<Member>& members, Habits habits);

    void start();
    // One member that takes itself for the primary is asked at once, where there is any.
    void read_at_some_primary();
    // A read of somebody who asks until there is an answer.
    void read_anywhere();

  private:
    struct Evacuation {
        bool evacuated = false;
        bool pending = false;
        Time first_sent{0};
    };
    void act(std::size_t author);
    void change(std::size_t author);
    void evacuate(std::size_t author);
    void finish_upgrade();
    void read_at(Member& member);
    Member* some_member();
    // The member that would answer after redirects, or null where the answer is "not here" or none.
    Member* answering();
    void on_change_answer(std::size_t author, const std::shared_ptr<ChangeOrder>& order, Time asked,
                          const control::OrderResult& result);

    Environment& environment_;
    std::deque<Member>& members_;
    Habits habits_;
    std::uint64_t orders_ = 0;
    std::map<std::size_t, std::shared_ptr<ChangeOrder>> pending_; // by author
    std::map<std::size_t, Time> waits_until_;                     // for an answer; by author
    std::map<std::size_t, Evacuation> evacuations_;
};

} // namespace willowrill::simulation
