#include "standins/vm_host.h"

#include <cstdlib>
#include <utility>

#include "base/json.h"

namespace kumquatcart::standins {

VmHost::VmHost(boost::asio::io_context* context,
               Scheduler* scheduler,
               TopologyVm topology)
    : scheduler(scheduler),
      topology(std::move(topology)),
      server(context,
             this->topology.vm.endpoint,
             [this](const HttpRequest& request, ConnectionPtr connection) {
               this->Receive(request, std::move(connection));
             }) {}

Status VmHost::Start() {
  BOOST_OUTCOME_TRYV(this->server.Open());
  this->alive = true;
  return Ok();
}

void VmHost::Die() {
  this->alive = false;
  this->paused = false;
  this->held.clear();
  this->server.Close();
  this->Reset();
}

Status VmHost::Restart() {
  if (this->alive) {
    return Ok();
  }
  this->Reset();
  this->topology.vm.state = VmState::kLive;
  return this->Start();
}

void VmHost::Pause() {
  this->paused = this->alive;
}

void VmHost::Resume() {
  this->paused = false;
  const std::vector<Deferred> released = std::exchange(this->held, {});
  for (const Deferred& deferred : released) {
    this->Run(deferred);
  }
}

void VmHost::SetLeaving(bool leaving) {
  this->topology.vm.state = leaving ? VmState::kLeaving : VmState::kLive;
}

void VmHost::Receive(const HttpRequest& request, ConnectionPtr connection) {
  Deferred deferred{request, std::move(connection), this->scheduler->Now()};
  if (this->paused) {
    this->held.push_back(std::move(deferred));
    return;
  }
  if (this->faults.slowness > Duration::zero()) {
    this->scheduler->After(this->faults.slowness,
                           [this, deferred] { this->Run(deferred); });
    return;
  }
  this->Run(deferred);
}

void VmHost::Run(const Deferred& deferred) {
  if (!this->alive) {
    return;
  }
  this->Handle(deferred.request, deferred.connection,
               this->scheduler->Now() - deferred.read_at);
}

std::string PathOf(const HttpRequest& request) {
  const std::string target(request.target());
  return target.substr(0, target.find('?'));
}

std::int64_t QueryNumber(const HttpRequest& request,
                         const std::string& name,
                         std::int64_t fallback) {
  const std::string target(request.target());
  const std::size_t query = target.find('?');
  if (query == std::string::npos) {
    return fallback;
  }
  const std::string parameters = "&" + target.substr(query + 1);
  const std::size_t found = parameters.find("&" + name + "=");
  if (found == std::string::npos) {
    return fallback;
  }
  const std::string text = parameters.substr(found + name.size() + 2);
  return std::strtoll(text.c_str(), nullptr, 10);
}

std::string ErrorBody(const std::string& reason) {
  return Json{{"error", reason}}.dump();
}

}  // namespace kumquatcart::standins
