// Bounds the memory that many holders have together. Pure; one thread.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace willowrill::budget {

class ByteBudget {
  public:
    explicit ByteBudget(std::size_t max_bytes) : max_bytes_(max_bytes) {}
    ByteBudget(const ByteBudget&) = delete;
    ByteBudget& operator=(const ByteBudget&) = delete;

    std::size_t reserved() const { return reserved_; }

    // What one holder has; given back when this is destroyed.
    class Reservation {
      public:
        explicit Reservation(std::shared_ptr<ByteBudget> budget) : budget_(std::move(budget)) {}
        // Takes over what the other one holds.
        Reservation(Reservation&& other) noexcept
            : budget_(std::move(other.budget_)), bytes_(std::exchange(other.bytes_, 0)) {}
        Reservation& operator=(Reservation&&) = delete;
        ~Reservation() {
            if (budget_) budget_->reserved_ -= bytes_;
        }
        Reservation(const Reservation&) = delete;
        Reservation& operator=(const Reservation&) = delete;

        // Reserves `bytes` in all, if it holds fewer. Returns false, and changes nothing, where the budget
        // has not as many left.
        bool grow_to(std::size_t bytes) {
            if (bytes <= bytes_) return true;
            const std::size_t more = bytes - bytes_;
            if (more > budget_->max_bytes_ - budget_->reserved_) return false;
            budget_->reserved_ += more;
            bytes_ = bytes;
            return true;
        }

        // Gives back what it holds beyond `bytes`.
        void shrink_to(std::size_t bytes) {
            if (bytes >= bytes_) return;
            budget_->reserved_ -= bytes_ - bytes;
            bytes_ = bytes;
        }

      private:
        std::shared_ptr<ByteBudget> budget_;
        std::size_t bytes_ = 0;
    };

  private:
    std::size_t max_bytes_;
    std::size_t reserved_ = 0; // at most `max_bytes_`
};

} // namespace willowrill::budget
