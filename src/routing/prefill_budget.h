// Bounds on the prompt tokens that are queued for prefill in a replica group.
#ifndef ROUTING_PREFILL_BUDGET_H_
#define ROUTING_PREFILL_BUDGET_H_

#include <optional>

#include "model/routing_config.h"

namespace kumquatcart {

// Prompt tokens that a group of `model` may have queued for prefill, or none if
// the configuration implies no bound. An engine processes prompts between the
// decode steps of its running streams, so every queued prompt lengthens the
// pause in all of them. Many prompts reach one group at once after the loss of
// another group, after a restart of all entry VMs, or by chance. Thread safe.
//
// `gap_target`: longest pause between events of these streams; zero for none.
std::optional<double> PrefillBudget(const EngineSpec& engine,
                                    const ModelSpec& model,
                                    Duration gap_target);

// Share of the groups' total budget that one of `nodes` entry VMs may use,
// since the counts of the other entry VMs arrive with a delay. At least
// `budget`, the budget of one group. `groups`: open groups of the model. Thread
// safe.
double LocalPrefillBudget(double budget, int groups, int nodes);

// Time that `groups` groups need to process `unread` prompt tokens of one of
// `nodes` entry VMs, while they also process the prompts of the others. Zero if
// the rate is unknown or there are no groups. Thread safe.
Duration EstimatePrefillWait(const EngineSpec& engine,
                             const ModelSpec& model,
                             double unread,
                             int groups,
                             int nodes);

}  // namespace kumquatcart

#endif  // ROUTING_PREFILL_BUDGET_H_
