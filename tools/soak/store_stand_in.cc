#include "soak/store_stand_in.h"

#include "net/http_status.h"

namespace kumquatcart::soak {

namespace {

using Kind = tools::StoreCall::Kind;

// How often a waiting read looks for records.
constexpr Duration kPoll = std::chrono::milliseconds(5);
// A call whose answer is lost holds its connection for this long.
constexpr Duration kLostAnswer = std::chrono::seconds(10);

}  // namespace

const char* ToString(StoreFault fault) {
  constexpr const char* kNames[] = {"none", "refuses", "silent",
                                    "loses_answers"};
  return kNames[static_cast<int>(fault)];
}

StoreStandIn::StoreStandIn(EventLoop* loop)
    : loop(loop),
      service(loop, [this](const ReadRequest& request, Coroutine yield) {
        return this->Answer(request, yield);
      }) {}

TextAnswer StoreStandIn::Answer(const ReadRequest& request, Coroutine yield) {
  while (this->fault == StoreFault::kSilent) {
    this->loop->Sleep(kPoll, yield);
  }
  if (this->fault == StoreFault::kRefuses) {
    return {kHttpUnavailable, ""};
  }
  const tools::StoreCall call = tools::DecodeStoreCall(request);
  const MonotonicTime until = this->loop->Now() + call.wait;
  while (call.kind == Kind::kRead &&
         this->topics.End(call.topic) <= call.from &&
         this->loop->Now() < until) {
    this->loop->Sleep(kPoll, yield);
  }
  TextAnswer answer = this->topics.Answer(call);
  if (call.kind == Kind::kAppend && this->fault == StoreFault::kLosesAnswers) {
    this->loop->Sleep(kLostAnswer, yield);
  }
  return answer;
}

}  // namespace kumquatcart::soak
