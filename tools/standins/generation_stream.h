// One answer on its way from an engine.
#ifndef STANDINS_GENERATION_STREAM_H_
#define STANDINS_GENERATION_STREAM_H_

#include <functional>
#include <memory>

#include "model/request.h"
#include "standins/http_server.h"
#include "standins/scheduler.h"

namespace kumquatcart::standins {

// Whether the group can go on right now.
enum class StreamPace {
  kRun,
  kStall,  // A member is paused.
  kBreak,  // A member is lost or left the group.
};

// Faults that hit this one answer.
struct StreamFaults {
  bool silent_before_first_byte = false;
  bool silent_mid_stream = false;
  bool foreign_line = false;
  bool duplicate_line = false;
};

struct StreamPlan {
  GenerateRequest request;
  int cached_prefix_tokens = 0;
  StreamFaults faults;
  std::function<Duration()> token_interval;
  std::function<StreamPace()> pace;
  std::function<void()> ended;  // Called once, whatever the end.
};

// Everything runs on the io_context's thread.
class GenerationStream : public std::enable_shared_from_this<GenerationStream> {
 public:
  // Precondition: `scheduler` outlives the stream.
  GenerationStream(Scheduler* scheduler,
                   StreamPlan plan,
                   ConnectionPtr connection);

  // Sends the first token after `first_token`.
  void Start(Duration first_token);

  // Cuts the connection without the last line.
  void Break();

  const GenerateRequest& Request() const { return this->plan.request; }
  int CachedPrefixTokens() const { return this->plan.cached_prefix_tokens; }

 private:
  void Tick();
  void SendToken();
  void SendInjectedLines(const GenerateChunk& chunk);
  void SendDone();
  void Finish();

  Scheduler* scheduler;
  StreamPlan plan;
  ConnectionPtr connection;
  int next_index;
  bool begun = false;
  bool finished = false;
};

}  // namespace kumquatcart::standins

#endif  // STANDINS_GENERATION_STREAM_H_
