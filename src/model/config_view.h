// The configuration in force on one node.
#ifndef MODEL_CONFIG_VIEW_H_
#define MODEL_CONFIG_VIEW_H_

#include <map>
#include <tuple>

#include "base/comparable.h"
#include "base/ids.h"
#include "model/config_objects.h"
#include "model/log_place.h"
#include "model/log_record.h"

namespace kumquatcart {

// An object with its name, owner and revision.
template <class Body>
struct Configured {
  ObjectMeta meta;
  Body body;

  auto Tie() const { return std::tie(this->meta, this->body); }
};

template <class Body>
using ObjectMap = std::map<ObjectName, Configured<Body>>;

// Every object in force after the record at `offset` was judged. Names are
// unique over all kinds. Immutable once published.
struct ConfigView {
  Offset offset = kNoOffset;  // Last record judged, accepted or refused.
  // Place of that record; unknown when its offset differs from `offset`. Not
  // compared: it is about the log and not about the configuration.
  LogPlace place;
  ObjectMap<Organisation> organisations;
  ObjectMap<ReplicaGroupClass> replica_group_classes;
  ObjectMap<ModelService> model_services;
  ObjectMap<PlainService> plain_services;
  ObjectMap<PlacementIntent> placement_intents;
  ObjectMap<Quota> quotas;
  ObjectMap<Grant> grants;
  ObjectMap<Token> tokens;

  // Returns the place of the last record; one that names only the offset when
  // the record is unknown.
  LogPlace CurrentPlace() const {
    LogPlace known = this->place;
    if (known.offset != this->offset) {
      known = LogPlace();
      known.offset = this->offset;
    }
    return known;
  }

  auto Tie() const {
    return std::tie(this->offset, this->organisations,
                    this->replica_group_classes, this->model_services,
                    this->plain_services, this->placement_intents, this->quotas,
                    this->grants, this->tokens);
  }
};

}  // namespace kumquatcart

#endif  // MODEL_CONFIG_VIEW_H_
