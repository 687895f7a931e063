// One entry VM process of the soak.
#ifndef SOAK_ENTRY_CHILD_H_
#define SOAK_ENTRY_CHILD_H_

#include <sys/types.h>

#include <memory>
#include <string>

#include "soak/backoff_ledger.h"
#include "soak/limit_ledger.h"
#include "soak/prompt_ledger.h"
#include "soak/run_ledger.h"
#include "soak/tcp_proxy.h"

namespace kumquatcart::soak {

// Where the program is and where its files go.
struct ChildPlaces {
  std::string program;
  std::string directory;  // Exists; settings and logs go there.
  int failure_domains = 1;
  int descriptors = 1024;  // Largest number of open ones.
  int memory_mb = 0;       // Of the VM; 0: the settings leave it out.
};

// Starts, signals and reaps the process; only ever its own, by its id. For the
// event loop's thread.
class EntryChild {
 public:
  // `number`: from 0; gives the address on loopback.
  EntryChild(EventLoop* loop,
             RunLedger* ledger,
             LimitLedger* limits,
             BackoffLedger* backoffs,
             PromptLedger* prompts,
             ChildPlaces places,
             int number,
             const TcpEndpoint& store);
  ~EntryChild();
  EntryChild(const EntryChild&) = delete;
  EntryChild& operator=(const EntryChild&) = delete;

  // Writes the settings and starts the link to the store. Errors: kUnavailable.
  Status Prepare();
  // Precondition: not running.
  void Launch();
  // `expects_end`: the signal ends the process.
  void Signal(int number, bool expects_end);
  // Takes note of an end; tells the ledger of one that nobody asked for, and of
  // a stop that takes longer than its grace.
  void Reap();

  bool IsRunning() const { return this->pid > 0; }
  // 0 while it is not running.
  pid_t ProcessId() const { return this->pid; }
  bool IsStopping() const { return this->ending; }
  int Starts() const { return this->starts; }
  TcpProxy& StoreLink() { return *this->store_link; }
  // Whether the store is reached over the link, whatever the link's state. A
  // change cuts its connections.
  void ReachStore(bool reaches);
  // The last start or signal but a reload.
  MonotonicTime DisturbedAt() const { return this->disturbed_at; }
  const TcpEndpoint& Callers() const { return this->callers; }
  const TcpEndpoint& Readiness() const { return this->readiness; }
  const std::string& Name() const { return this->name; }

 private:
  EventLoop* const loop;
  RunLedger* const ledger;
  LimitLedger* const limits;
  BackoffLedger* const backoffs;
  PromptLedger* const prompts;
  const ChildPlaces places;
  const std::string name;
  const std::string host;
  const std::string failure_domain;
  const TcpEndpoint store;
  TcpEndpoint callers;
  TcpEndpoint readiness;
  std::unique_ptr<TcpProxy> store_link;
  pid_t pid = 0;
  int starts = 0;
  bool ending = false;
  MonotonicTime told_at;
  MonotonicTime disturbed_at;
};

}  // namespace kumquatcart::soak

#endif  // SOAK_ENTRY_CHILD_H_
