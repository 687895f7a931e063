#include "soak/config_plan.h"

#include <utility>

#include <fmt/format.h>

namespace kumquatcart::soak {

namespace {

// Routes that are moved, and as many that are split.
constexpr int kChangingRoutes = 3;
constexpr int kHighestWeight = 4;
// Added routes above which one is dropped, and the newest that stay.
constexpr std::size_t kMostAdded = 4;
constexpr int kNewestKept = 2;

std::string MovedPath(int index) {
  return fmt::format("/moved/{}/", index);
}

std::string SplitPath(int index) {
  return fmt::format("/split/{}/", index);
}

std::string KeyOf(int number) {
  return fmt::format("key-of-{}", number);
}

}  // namespace

std::string VersionPath(int number) {
  return fmt::format("/v{}/", number);
}

ConfigPlan::ConfigPlan(std::uint64_t seed,
                       std::vector<std::string> services,
                       std::string lasting_key)
    : services(std::move(services)),
      lasting_key(std::move(lasting_key)),
      generator(static_cast<std::minstd_rand::result_type>(
          (seed * 6007 + 29) % 2147483646 + 1)) {
  for (int i = 0; i < kChangingRoutes; ++i) {
    this->current.routes[MovedPath(i)] = {{this->services.front(), 1}};
    this->current.routes[SplitPath(i)] = {{this->services.front(), 1}};
  }
  this->current.keys.insert(this->lasting_key);
}

int ConfigPlan::Draw(int low, int high) {
  return std::uniform_int_distribution<int>(low, high)(this->generator);
}

const std::string& ConfigPlan::DrawService() {
  return this->services[static_cast<std::size_t>(
      this->Draw(0, static_cast<int>(this->services.size()) - 1))];
}

void ConfigPlan::Ask(const std::string& about, const std::string& path) {
  this->current.questions.push_back({about, path, this->lasting_key});
}

ConfigVersion ConfigPlan::MakeNext(MonotonicTime confirmed_at) {
  ++this->current.number;
  this->current.confirmed_at = confirmed_at;
  this->current.questions.clear();
  this->AddRoute();
  this->MoveRoute();
  this->SplitRoute();
  this->DropRoute();
  this->RotateKeys();
  return this->current;
}

void ConfigPlan::AddRoute() {
  const std::string path = VersionPath(this->current.number);
  this->current.routes[path] = {{this->DrawService(), 1}};
  this->added.push_back(path);
  this->Ask("added", path);
}

void ConfigPlan::MoveRoute() {
  const std::string path = MovedPath(this->Draw(0, kChangingRoutes - 1));
  auto& weights = this->current.routes[path];
  const bool was_first = weights.count(this->services.front()) > 0;
  weights = {{was_first ? this->services.back() : this->services.front(), 1}};
  this->Ask("moved", path);
}

void ConfigPlan::SplitRoute() {
  const std::string path = SplitPath(this->Draw(0, kChangingRoutes - 1));
  auto& weights = this->current.routes[path];
  const bool was_split = weights.size() > 1;
  weights.clear();
  if (was_split) {
    weights[this->DrawService()] = 1;
  } else {
    for (const std::string& service : this->services) {
      weights[service] = this->Draw(1, kHighestWeight);
    }
  }
  this->Ask(was_split ? "joined" : "split", path);
}

void ConfigPlan::DropRoute() {
  if (this->added.size() <= kMostAdded) {
    return;
  }
  const int pick =
      this->Draw(0, static_cast<int>(this->added.size()) - 1 - kNewestKept);
  const std::string path = this->added[static_cast<std::size_t>(pick)];
  this->added.erase(this->added.begin() + pick);
  this->current.routes.erase(path);
  this->Ask("dropped", path);
}

void ConfigPlan::RotateKeys() {
  const int number = this->current.number;
  const std::string path = MovedPath(0);  // In every version.
  this->current.keys.insert(KeyOf(number));
  this->current.questions.push_back({"new key", path, KeyOf(number)});
  if (this->current.keys.erase(KeyOf(number - 2)) > 0) {
    this->current.questions.push_back({"dropped key", path, KeyOf(number - 2)});
  }
}

}  // namespace kumquatcart::soak
