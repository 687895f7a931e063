// How many prompt tokens a group may be given at once.
#ifndef ROUTING_READING_ROOM_H_
#define ROUTING_READING_ROOM_H_

#include <optional>

#include "model/routing_config.h"

namespace kumquatcart {

// Answers the load of many prompts that reach one group together: after the
// loss of another group, after all entry VMs have started again, or by chance.
// An engine reads prompts between the token steps of the streams that it
// writes, so every unread prompt lengthens the pause in all of them. Thread
// safe.
//
// `gap_target`: longest pause between events of these streams; zero for none.
// Returns the tokens that a group of `model` may have unread, or none where no
// bound follows from the configuration.
std::optional<double> ReadingRoom(const EngineSpec& engine,
                                  const ModelSpec& model,
                                  Duration gap_target);

// The part of the groups' room that one of `nodes` entry VMs may use, for the
// time before it has heard of the others' prompts; one group's at least.
// `groups`: open groups of the model.
double OwnReadingRoom(double room, int groups, int nodes);

// Time until `groups` groups have read `unread` prompt tokens of one of `nodes`
// entry VMs beside the others' prompts.
Duration ReadingWait(const EngineSpec& engine,
                     const ModelSpec& model,
                     double unread,
                     int groups,
                     int nodes);

}  // namespace kumquatcart

#endif  // ROUTING_READING_ROOM_H_
