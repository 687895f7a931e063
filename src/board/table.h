// One versioned shared table of the blackboard.
#ifndef BOARD_TABLE_H_
#define BOARD_TABLE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace kumquatcart {

// Holds an immutable value that writers replace whole. All methods are thread
// safe.
//
// Lock order: `write_mutex` before `value_mutex`. A thread holds the locks of
// one table at a time only, except inside the function given to Update, which
// may Read (never Update) other tables. Subscribers run with no lock held.
template <class T>
class Table {
 public:
  using Subscriber = std::function<void(const std::shared_ptr<const T>&)>;

  // The newest value; never null.
  std::shared_ptr<const T> Read() const {
    const std::lock_guard<std::mutex> lock(this->value_mutex);
    return this->value;
  }

  // Grows by one with each published change.
  std::uint64_t Version() const {
    const std::lock_guard<std::mutex> lock(this->value_mutex);
    return this->version;
  }

  // Replaces the value. Does nothing when it is equal to the present one.
  void Publish(T next) {
    this->Update([&](const T&) { return std::move(next); });
  }

  // Replaces the value by `change` of it, atomically with regard to other
  // writers.
  template <class Change>
  void Update(Change change) {
    std::shared_ptr<const T> published;
    {
      const std::lock_guard<std::mutex> write_lock(this->write_mutex);
      auto next = std::make_shared<const T>(change(*this->Read()));
      const std::lock_guard<std::mutex> lock(this->value_mutex);
      if (*next == *this->value) {
        return;
      }
      this->value = next;
      ++this->version;
      published = std::move(next);
    }
    this->Notify(published);
  }

  // Calls `subscriber` after each change, on the writer's thread. It must be
  // quick. Subscribers are added before writers start and stay for the table's
  // life.
  void Subscribe(Subscriber subscriber) {
    const std::lock_guard<std::mutex> lock(this->value_mutex);
    this->subscribers.push_back(std::move(subscriber));
  }

 private:
  void Notify(const std::shared_ptr<const T>& published) {
    std::vector<Subscriber> targets;
    {
      const std::lock_guard<std::mutex> lock(this->value_mutex);
      targets = this->subscribers;
    }
    for (const Subscriber& subscriber : targets) {
      subscriber(published);
    }
  }

  std::mutex write_mutex;
  mutable std::mutex value_mutex;
  std::shared_ptr<const T> value = std::make_shared<const T>();
  std::uint64_t version = 0;
  std::vector<Subscriber> subscribers;
};

}  // namespace kumquatcart

#endif  // BOARD_TABLE_H_
