#include "base/worker_pool.h"

#include <atomic>
#include <memory>
#include <utility>

namespace kumquatcart {

namespace {

// A list of functions that several threads process concurrently.
struct Batch {
  explicit Batch(std::vector<std::function<void()>> work)
      : work(std::move(work)) {}

  // Runs functions until none is left to start.
  void Drain() {
    for (;;) {
      const std::size_t index = this->next.fetch_add(1);
      if (index >= this->work.size()) {
        return;
      }
      this->work[index]();
      const std::lock_guard<std::mutex> lock(this->mutex);
      ++this->done;
      this->changed.notify_all();
    }
  }

  void WaitUntilDone() {
    std::unique_lock<std::mutex> lock(this->mutex);
    this->changed.wait(lock,
                       [this] { return this->done == this->work.size(); });
  }

  std::vector<std::function<void()>> work;
  std::atomic<std::size_t> next{0};
  std::mutex mutex;
  std::condition_variable changed;
  std::size_t done = 0;
};

}  // namespace

WorkerPool::WorkerPool(std::size_t threads) {
  this->threads.reserve(threads);
  for (std::size_t index = 0; index < threads; ++index) {
    this->threads.emplace_back([this] { this->Run(); });
  }
}

WorkerPool::~WorkerPool() {
  this->Stop();
}

void WorkerPool::Post(std::function<void()> work) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->stopping) {
      return;
    }
    this->queue.push_back(std::move(work));
  }
  this->changed.notify_one();
}

void WorkerPool::RunAll(std::vector<std::function<void()>> batch) {
  const auto shared = std::make_shared<Batch>(std::move(batch));
  for (std::size_t index = 1; index < shared->work.size(); ++index) {
    this->Post([shared] { shared->Drain(); });
  }
  shared->Drain();
  shared->WaitUntilDone();
}

void WorkerPool::Stop() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->stopping = true;
  }
  this->changed.notify_all();
  for (std::thread& thread : this->threads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

std::size_t WorkerPool::QueueLength() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->queue.size();
}

void WorkerPool::Run() {
  for (;;) {
    std::function<void()> work;
    {
      std::unique_lock<std::mutex> lock(this->mutex);
      this->changed.wait(
          lock, [this] { return this->stopping || !this->queue.empty(); });
      if (this->queue.empty()) {
        return;
      }
      work = std::move(this->queue.front());
      this->queue.pop_front();
    }
    work();
  }
}

}  // namespace kumquatcart
