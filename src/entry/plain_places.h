// Load balancing of requests over the servers of plain services.
#ifndef ENTRY_PLAIN_PLACES_H_
#define ENTRY_PLAIN_PLACES_H_

#include <string>

#include "entry/group_places.h"
#include "routing/failure_score.h"

namespace kumquatcart {

// Assigns each request to the server with the lowest score of load, recent
// failures and distance. Runs on the event loop's thread.
class PlainPlaces {
 public:
  PlainPlaces(EventLoop* loop,
              FleetView* view,
              WorkCounts counts,
              std::string failure_domain)
      : loop(loop),
        view(view),
        counts(counts),
        failure_domain(std::move(failure_domain)) {}

  // Returns a slot at the best server of the service without queueing.
  SlotResult Acquire(const SlotQuery& query);

  void NoteFailure(const std::string& server);
  void NoteSuccess(const std::string& server);

 private:
  EventLoop* const loop;
  FleetView* const view;
  const WorkCounts counts;
  const std::string failure_domain;
  FailureScore failures;
};

}  // namespace kumquatcart

#endif  // ENTRY_PLAIN_PLACES_H_
