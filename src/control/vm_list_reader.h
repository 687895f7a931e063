// Updates the copy of the platform's VM list on the board.
#ifndef CONTROL_VM_LIST_READER_H_
#define CONTROL_VM_LIST_READER_H_

#include "base/clock.h"
#include "base/metrics.h"
#include "base/periodic_task.h"
#include "base/worker_pool.h"
#include "board/board.h"
#include "control/watch_settings.h"
#include "platform/vm_list.h"

namespace kumquatcart {

// Reads the list periodically. While the platform is unavailable, the last list
// remains on the board. All methods are thread safe.
class VmListReader {
 public:
  // Precondition: the arguments outlive the reader.
  VmListReader(Clock* clock,
               WorkerPool* pool,
               Board* board,
               VmList* vm_list,
               MetricRegistry* metrics,
               const WatchSettings& settings);

  void Start() { this->task.Start(); }
  // Precondition: the pool is running.
  void Stop() { this->task.Stop(); }

  // Reads the list once.
  void ReadOnce();

 private:
  Board* board;
  VmList* vm_list;
  Counter* failures;
  Gauge* listed;
  Gauge* leaving;
  PeriodicTask task;
};

}  // namespace kumquatcart

#endif  // CONTROL_VM_LIST_READER_H_
