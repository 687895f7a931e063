#include "cli/operator_backend.h"

#include <mutex>

#include <pplx/threadpool.h>

#include "net/http_status.h"
#include "platform/http_exchange.h"
#include "platform/http_log_service.h"
#include "platform/http_vm_list.h"

namespace kumquatcart {

namespace {

constexpr int kHttpThreads = 2;
constexpr Duration kStatusTimeout = std::chrono::seconds(2);

// The library would start 40 threads by default.
void LimitHttpThreads() {
  static std::once_flag done;
  std::call_once(done, [] {
    crossplat::threadpool::initialize_with_threads(kHttpThreads);
  });
}

class HttpOperatorBackend : public OperatorBackend {
 public:
  HttpOperatorBackend(const OperatorOptions& options, Clock* clock)
      : clock(clock),
        log(options.platform_url, PlatformSettings(), clock),
        vms(options.platform_url, PlatformSettings(), clock) {}

  LogService* Log() override { return &this->log; }
  VmList* Vms() override { return &this->vms; }

  Result<Json> FetchStatus(const Endpoint& endpoint) override {
    const internal::HttpCall call{web::http::methods::GET, "/status", "",
                                  kStatusTimeout};
    BOOST_OUTCOME_TRY(answer,
                      internal::ExchangeOnce("http://" + endpoint.ToString(),
                                             this->clock, call));
    if (answer.status != kHttpOk) {
      return internal::UnexpectedStatus(ErrorCode::kUnavailable, answer);
    }
    return ParseJson(answer.body);
  }

 private:
  Clock* const clock;
  HttpLogService log;
  HttpVmList vms;
};

}  // namespace

std::unique_ptr<OperatorBackend> MakeHttpOperatorBackend(
    const OperatorOptions& options,
    Clock* clock) {
  LimitHttpThreads();
  return std::make_unique<HttpOperatorBackend>(options, clock);
}

}  // namespace kumquatcart
