// Compares placement with a naive planner over recorded lists of failures, and
// measures planning time. Prints a table and writes CSV to the file named as
// the first argument, if any.
#include <algorithm>
#include <cstdio>
#include <fstream>
#include <random>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "control/baseline_placement.h"
#include "control/placement_planner.h"
#include "placement_world.h"

namespace kumquatcart {
namespace {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr unsigned kSeed = 20261203;
constexpr Duration kDay = hours(24);
constexpr double kFailuresPerDay = 7;
constexpr double kRestartsPerDay = 450;
constexpr std::int64_t kWeightsBytes = 16'000'000'000;

// Replicas of one class in every failure domain.
struct ClassShare {
  const char* service;
  int replicas;
  int vm_count;
};

// One installation, the same in each of its failure domains.
struct Installation {
  const char* name;
  int failure_domains;
  int fabric_domains;
  int vms_per_fabric;
  std::vector<ClassShare> classes;
};

// Prices of a partner.
struct Prices {
  const char* partner;
  double downtime;
  double stranding;
};

// 840 replicas on 3,296 accelerators, and 66 on 288.
const Installation kLarge{"840",
                          8,
                          4,
                          103,
                          {{"pair", 90, 2},
                           {"eight", 9, 8},
                           {"sixteen", 4, 16},
                           {"thirty-two", 2, 32}}};
// The same replicas with one spare VM for each fabric domain.
const Installation kShort{"840-short",
                          8,
                          4,
                          96,
                          {{"pair", 90, 2},
                           {"eight", 9, 8},
                           {"sixteen", 4, 16},
                           {"thirty-two", 2, 32}}};
const Installation kToday{"65", 3, 2, 48, {{"truelle-llm", 22, 4}}};

ConfigView MakeConfig(const Installation& installation,
                      const Prices& prices,
                      const FailureDomainId& home) {
  ConfigView config;
  config.offset = 1;
  for (const ClassShare& share : installation.classes) {
    const ObjectName name(share.service);
    config.replica_group_classes[name].body.vm_count = share.vm_count;
    ModelService service;
    service.replica_group_class = name;
    service.version = "v1";
    service.weights_bytes_per_vm = kWeightsBytes;
    config.model_services[name].body = service;
    PlacementIntent intent;
    intent.model_service = name;
    intent.spread = {{home, share.replicas}};
    intent.downtime_weight = prices.downtime;
    intent.stranding_weight = prices.stranding;
    config.placement_intents[name].body = intent;
  }
  return config;
}

VmTable MakeVms(const Installation& installation, const FailureDomainId& home) {
  VmTable table;
  for (int fabric = 0; fabric < installation.fabric_domains; ++fabric) {
    for (int i = 0; i < installation.vms_per_fabric; ++i) {
      Vm vm;
      vm.id = VmId(fmt::format("rack-{}-vm-{:03}", fabric, i));
      vm.failure_domain = home;
      vm.fabric_domain = FabricDomainId(fmt::format("rack-{}", fabric));
      vm.accelerators = 1;
      table.vms[vm.id] = vm;
    }
  }
  return table;
}

enum class Scenario { kOrdinaryDay, kFabricDark, kFailureDomainDark };

const char* ToString(Scenario scenario) {
  switch (scenario) {
    case Scenario::kOrdinaryDay:
      return "ordinary-day";
    case Scenario::kFabricDark:
      return "fabric-dark";
    case Scenario::kFailureDomainDark:
      return "failure-domain-dark";
  }
  return "";
}

// A VM is announced as leaving two minutes before it restarts and is back,
// empty, three minutes later.
void AddRestart(Duration at,
                const VmId& vm,
                std::vector<FailureEvent>* events) {
  events->push_back({at, FailureKind::kNotice, vm});
  events->push_back({at + minutes(2), FailureKind::kLose, vm});
  events->push_back({at + minutes(5), FailureKind::kReturn, vm});
}

// The failures of one failure domain in a day.
std::vector<FailureEvent> MakeEvents(const Installation& installation,
                                     const VmTable& vms,
                                     Scenario scenario,
                                     int index) {
  std::mt19937 random(kSeed + static_cast<unsigned>(index));
  std::vector<VmId> names;
  for (const auto& [id, vm] : vms.vms) {
    names.push_back(id);
  }
  std::uniform_int_distribution<std::size_t> pick(0, names.size() - 1);
  std::uniform_int_distribution<std::int64_t> when(0, 23 * 3600);
  std::vector<FailureEvent> events;
  const double share = 1.0 / installation.failure_domains;
  // Fractions are rounded so that the whole installation meets its rate.
  const auto count = [&](double rate) {
    return static_cast<int>(rate * share * (index + 1)) -
           static_cast<int>(rate * share * index);
  };
  // Each VM fails or restarts at most once, so that its events never mix.
  std::shuffle(names.begin(), names.end(), random);
  std::size_t next = 0;
  for (int i = 0; i < count(kRestartsPerDay) && next < names.size(); ++i) {
    AddRestart(seconds(when(random)), names[next++], &events);
  }
  for (int i = 0; i < count(kFailuresPerDay) && next < names.size(); ++i) {
    const Duration at = seconds(when(random));
    events.push_back({at, FailureKind::kLose, names[next]});
    events.push_back({at + hours(2), FailureKind::kReturn, names[next++]});
  }
  if (scenario != Scenario::kOrdinaryDay && index == 0) {
    const bool whole = scenario == Scenario::kFailureDomainDark;
    for (const auto& [id, vm] : vms.vms) {
      if (whole || vm.fabric_domain.value == "rack-0") {
        // A fabric domain loses its power, a failure domain its network.
        events.push_back({hours(12), FailureKind::kLose, id});
        events.push_back({hours(12) + minutes(whole ? 10 : 30),
                          whole ? FailureKind::kResume : FailureKind::kReturn,
                          id});
      }
    }
  }
  std::stable_sort(events.begin(), events.end(),
                   [](const FailureEvent& left, const FailureEvent& right) {
                     return left.at < right.at;
                   });
  return events;
}

WorldCost RunInstallation(const Installation& installation,
                          const Prices& prices,
                          Scenario scenario,
                          PlacementPlanner planner) {
  WorldCost total;
  for (int i = 0; i < installation.failure_domains; ++i) {
    const FailureDomainId home(fmt::format("domain-{}", i));
    const VmTable vms = MakeVms(installation, home);
    PlacementWorld world(home, MakeConfig(installation, prices, home), vms,
                         planner, WorldTerms());
    world.Prepare();
    const WorldCost cost =
        world.Run(MakeEvents(installation, vms, scenario, i), kDay);
    total.downtime_seconds += cost.downtime_seconds;
    total.unavoidable_seconds += cost.unavoidable_seconds;
    total.stranded_accelerator_seconds += cost.stranded_accelerator_seconds;
    total.loads += cost.loads;
    total.orders += cost.orders;
    total.plan_ms.insert(total.plan_ms.end(), cost.plan_ms.begin(),
                         cost.plan_ms.end());
  }
  std::sort(total.plan_ms.begin(), total.plan_ms.end());
  return total;
}

double Quantile(const std::vector<double>& sorted, double quantile) {
  if (sorted.empty()) {
    return 0;
  }
  const auto index = static_cast<std::size_t>(
      quantile * static_cast<double>(sorted.size() - 1));
  return sorted[index];
}

void Report(std::ostream* csv,
            const Installation& installation,
            const Prices& prices,
            Scenario scenario,
            const char* planner,
            const WorldCost& cost) {
  const std::string row =
      fmt::format("{},{},{},{},{:.0f},{:.0f},{:.2f},{},{},{:.3f},{:.3f},{:.3f}",
                  installation.name, prices.partner, ToString(scenario),
                  planner, cost.downtime_seconds, cost.unavoidable_seconds,
                  cost.stranded_accelerator_seconds / 3600, cost.loads,
                  cost.orders, Quantile(cost.plan_ms, 0.5),
                  Quantile(cost.plan_ms, 0.99), Quantile(cost.plan_ms, 1));
  fmt::print("{}\n", row);
  *csv << row << "\n";
}

void Compare(std::ostream* csv,
             const Installation& installation,
             const Prices& prices,
             Scenario scenario) {
  const WorldCost ours =
      RunInstallation(installation, prices, scenario, PlanPlacement);
  const WorldCost naive =
      RunInstallation(installation, prices, scenario, PlanBaselinePlacement);
  Report(csv, installation, prices, scenario, "ours", ours);
  Report(csv, installation, prices, scenario, "naive", naive);
  const double floor = ours.unavoidable_seconds;
  fmt::print(
      "  ratio to naive: downtime {:.3f}, downtime above what is unavoidable "
      "{:.3f}, stranding {:.3f}\n",
      ours.downtime_seconds / naive.downtime_seconds,
      (ours.downtime_seconds - floor) / (naive.downtime_seconds - floor),
      ours.stranded_accelerator_seconds / naive.stranded_accelerator_seconds);
}

// Times one plan at several sizes: every replica in one failure domain, one VM
// in a hundred lost.
void MeasurePlanning(std::ostream* csv) {
  const Prices prices{"armor", 10, 1};
  const FailureDomainId home("domain-0");
  for (const int parts : {1, 2, 4, 8}) {
    Installation installation = kLarge;
    installation.fabric_domains *= parts;
    int replicas = 0;
    for (ClassShare& share : installation.classes) {
      share.replicas *= parts;
      replicas += share.replicas;
    }
    const VmTable vms = MakeVms(installation, home);
    PlacementWorld world(home, MakeConfig(installation, prices, home), vms,
                         PlanPlacement, WorldTerms());
    world.Prepare();
    std::vector<FailureEvent> events;
    int i = 0;
    for (const auto& [id, vm] : vms.vms) {
      if (++i % 100 == 0) {
        events.push_back({seconds(i / 100), FailureKind::kLose, id});
      }
    }
    WorldCost cost = world.Run(events, minutes(5));
    std::sort(cost.plan_ms.begin(), cost.plan_ms.end());
    const std::string row = fmt::format(
        "planning,{},{},{},{:.3f},{:.3f},{:.3f}", replicas, vms.vms.size(),
        cost.plan_ms.size(), Quantile(cost.plan_ms, 0.5),
        Quantile(cost.plan_ms, 0.99), Quantile(cost.plan_ms, 1));
    fmt::print("{}\n", row);
    *csv << row << "\n";
  }
}

int Main(const char* csv_path) {
  std::ofstream csv(csv_path);
  const std::string header =
      "replicas,weights,scenario,planner,downtime_s,unavoidable_s,"
      "stranded_accelerator_h,loads,orders,plan_p50_ms,plan_p99_ms,plan_max_ms";
  fmt::print("{}\n", header);
  csv << header << "\n";
  const Prices armor{"armor", 10, 1};
  const Prices cedarline{"cedarline", 1, 10};
  for (const Installation& installation : {kToday, kLarge}) {
    for (const Prices& prices : {armor, cedarline}) {
      for (const Scenario scenario :
           {Scenario::kOrdinaryDay, Scenario::kFabricDark,
            Scenario::kFailureDomainDark}) {
        Compare(&csv, installation, prices, scenario);
      }
    }
  }
  for (const Prices& prices : {armor, cedarline}) {
    Compare(&csv, kShort, prices, Scenario::kOrdinaryDay);
  }
  const std::string planning_header =
      "planning,replicas,vms,plans,plan_p50_ms,plan_p99_ms,plan_max_ms";
  fmt::print("{}\n", planning_header);
  csv << planning_header << "\n";
  MeasurePlanning(&csv);
  return 0;
}

}  // namespace
}  // namespace kumquatcart

int main(int argc, char** argv) {
  return kumquatcart::Main(argc > 1 ? argv[1] : "/dev/null");
}
