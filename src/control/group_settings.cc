#include "control/group_controller.h"

namespace kumquatcart {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kMaxFailuresPerVmDay = 1000;

}  // namespace

SettingGroup DescribeSettings(GroupSettings* settings) {
  PlacementLimits& limits = settings->limits;
  return SettingGroup{
      "Replica groups",
      {
          DurationSetting(
              "group-plan-interval-ms", "Time between placement plans.",
              &settings->plan_interval, milliseconds(50), seconds(60)),
          DurationSetting(
              "group-lost-after-ms",
              "Time without a status after which placement replaces "
              "a VM.",
              &settings->lost_after, milliseconds(200), hours(1)),
          DurationSetting("group-order-timeout-ms",
                          "Time to wait for an engine's answer to an order.",
                          &settings->order_timeout, milliseconds(50),
                          seconds(60)),
          DurationSetting("group-order-validity-ms",
                          "Age at which an engine discards an order.",
                          &settings->order_validity, milliseconds(50),
                          seconds(2)),
          DurationSetting("group-store-poll-interval-ms",
                          "Time between status requests to the weight store.",
                          &settings->store_poll_interval, milliseconds(100),
                          hours(1)),
          IntSetting("group-max-orders",
                     "Maximum number of orders in one planning round.",
                     &settings->max_orders_per_round, 1, 100'000),
          DurationSetting("group-load-window-ms",
                          "Limit on outstanding loads, as time at the weight "
                          "store's full rate.",
                          &limits.load_window, milliseconds(0), hours(24)),
          DurationSetting("group-drain-estimate-ms",
                          "Expected time until the streams of a draining group "
                          "end.",
                          &limits.drain_estimate, milliseconds(0), hours(1)),
          NumberSetting("group-rollout-part",
                        "Fraction of a service's replicas that a rollout "
                        "replaces at once.",
                        &limits.rollout_fraction, 0, 1),
          NumberSetting("group-failures-per-vm-day",
                        "Unplanned losses per VM and day; determines the size "
                        "of the spare reserve.",
                        &limits.failures_per_vm_day, 0, kMaxFailuresPerVmDay),
          DurationSetting("group-repair-time-ms",
                          "Time until a failed VM returns.",
                          &limits.repair_time, seconds(1), hours(24 * 30)),
          NumberSetting("group-spare-shortage-probability",
                        "Accepted probability that a fabric domain lacks a "
                        "spare.",
                        &limits.spare_shortage_probability, 1e-9, 1),
      }};
}

}  // namespace kumquatcart
