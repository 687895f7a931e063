// Versioned shared value with change notification.
#ifndef BOARD_TABLE_H_
#define BOARD_TABLE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace kumquatcart {

// Holds an immutable value that writers replace as a whole. All methods are
// thread safe.
//
// Lock order: `write_mutex` before `value_mutex`. A thread holds the locks of
// only one table at a time, except inside the function passed to Update, which
// may call Read (never Update) on other tables. Subscribers are called without
// any lock held.
template <class T>
class Table {
 public:
  using Subscriber = std::function<void(const std::shared_ptr<const T>&)>;

  // The current value; never null.
  std::shared_ptr<const T> Read() const {
    const std::lock_guard<std::mutex> lock(this->value_mutex);
    return this->value;
  }

  // Incremented with each change of the value.
  std::uint64_t Version() const {
    const std::lock_guard<std::mutex> lock(this->value_mutex);
    return this->version;
  }

  // Replaces the value. Does nothing if `next` equals the current value.
  void Publish(T next) {
    this->Update([&](const T&) { return std::move(next); });
  }

  // Replaces the value with the result of `change`, called with the current
  // value. Atomic with respect to other writers. Does nothing if the result
  // equals the current value.
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

  // Calls `subscriber` after each change on the writer's thread; it must return
  // quickly. Subscribers must be added before any writer starts and cannot be
  // removed.
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
