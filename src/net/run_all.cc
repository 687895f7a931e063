#include "net/run_all.h"

#include <memory>

#include "net/waiter.h"

namespace kumquatcart {

void RunAll(EventLoop* loop,
            std::vector<std::function<void(Coroutine)>> tasks,
            Coroutine yield) {
  Waiter waiter(loop);
  std::size_t running = tasks.size();
  for (std::function<void(Coroutine)>& task : tasks) {
    loop->Spawn([task = std::move(task), &running, &waiter](Coroutine inner) {
      task(inner);
      --running;
      waiter.Notify();
    });
  }
  while (running > 0) {
    waiter.WaitUntil(MonotonicTime::max(), yield);
  }
}

}  // namespace kumquatcart
