// A fixed-size thread pool.
#ifndef BASE_WORKER_POOL_H_
#define BASE_WORKER_POOL_H_

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace kumquatcart {

// Runs work on `threads` threads; work starts in the order in which it is
// posted. All methods are thread safe.
class WorkerPool {
 public:
  // Precondition: `threads` is at least 1.
  explicit WorkerPool(std::size_t threads);
  // Calls Stop.
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  // Queues `work`. Work posted after Stop is discarded.
  void Post(std::function<void()> work);

  // Runs every function of `batch` on the pool and the calling thread and waits
  // until all have finished. Can be called from a worker thread.
  void RunAll(std::vector<std::function<void()>> batch);

  // Runs all queued work and joins the threads. Idempotent.
  void Stop();

  // Returns the number of functions waiting for a thread.
  std::size_t QueueLength() const;

 private:
  void Run();

  mutable std::mutex mutex;
  std::condition_variable changed;
  std::deque<std::function<void()>> queue;
  bool stopping = false;
  std::vector<std::thread> threads;
};

}  // namespace kumquatcart

#endif  // BASE_WORKER_POOL_H_
