// One attempt at a model completion on one replica group.
#ifndef GATEWAY_ENGINE_ATTEMPT_H_
#define GATEWAY_ENGINE_ATTEMPT_H_

#include <memory>
#include <string>
#include <string_view>

#include "gateway/gateway_context.h"
#include "gateway/line_splitter.h"
#include "gateway/request_truth.h"
#include "gateway/upstream_exchange.h"
#include "model/request.h"

namespace kumquatcart {

// What the owner of an attempt makes of a chunk.
enum class ChunkReaction {
  kContinue,
  kHold,  // The caller is slow: ResumeBody is called once it has caught up.
  kStop,  // The attempt is of no more use.
};

// Owner of engine attempts; called for one event at a time.
class EngineAttemptOwner {
 public:
  virtual ~EngineAttemptOwner() = default;

  // The answer begins. Called at most once, before any chunk.
  virtual void OnAnswer(ResponseFraming framing) = 0;

  virtual ChunkReaction OnChunk(const GenerateChunk& chunk) = 0;

  // The attempt is over. Called once, after every chunk.
  virtual void OnAttemptEnd(const ExchangeEnd& end) = 0;
};

// Reads an engine's answer and hands its chunks to the owner. Events come from
// one exchange, one at a time.
class EngineAttempt : public ExchangeObserver {
 public:
  explicit EngineAttempt(std::shared_ptr<EngineAttemptOwner> owner);

  // Makes the exchange of one attempt; its Start takes what BuildRequest
  // returns.
  static std::shared_ptr<UpstreamExchange> Make(
      GatewayContext* context,
      std::shared_ptr<EngineAttemptOwner> owner);
  static UpstreamRequest BuildRequest(const Endpoint& endpoint,
                                      const GenerateRequest& request);

  void OnHead(const UpstreamAnswerHead& head) override;
  bool OnBody(std::string_view bytes) override;
  void OnEnd(const ExchangeEnd& end) override;

 private:
  ChunkReaction HandleLine(std::string_view line);
  void StopExchange(std::string reason);

  std::shared_ptr<EngineAttemptOwner> owner;
  std::weak_ptr<UpstreamExchange> exchange;
  LineSplitter lines;
  int status = 0;
  std::string stop_reason;
};

}  // namespace kumquatcart

#endif  // GATEWAY_ENGINE_ATTEMPT_H_
