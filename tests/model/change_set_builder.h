// Builds change set records for tests.
#ifndef MODEL_CHANGE_SET_BUILDER_H_
#define MODEL_CHANGE_SET_BUILDER_H_

#include <string>
#include <utility>

#include "model/change_set.h"

namespace kumquatcart {

// Collects the changes of one change set.
class ChangeSetBuilder {
 public:
  explicit ChangeSetBuilder(std::string id, std::string partner = "armor") {
    this->change_set.id = AppendId(std::move(id));
    this->change_set.actor = "tester";
    this->change_set.partner = PartnerId(std::move(partner));
  }

  ChangeSetBuilder& Put(ObjectKind kind,
                        const std::string& name,
                        Json spec,
                        Offset revision = kNoOffset) {
    this->change_set.changes.push_back(
        {ChangeOperation::kPut, kind, ObjectName(name),
         this->change_set.partner, std::move(spec), revision});
    return *this;
  }

  ChangeSetBuilder& Delete(ObjectKind kind,
                           const std::string& name,
                           Offset revision) {
    this->change_set.changes.push_back(
        {ChangeOperation::kDelete, kind, ObjectName(name),
         this->change_set.partner, Json::object(), revision});
    return *this;
  }

  const ChangeSet& Build() const { return this->change_set; }
  std::string Payload() const { return EncodeChangeSet(this->change_set); }
  LogRecord Record(Offset offset) const {
    return {offset, offset, this->change_set.id, this->Payload()};
  }

 private:
  ChangeSet change_set;
};

}  // namespace kumquatcart

#endif  // MODEL_CHANGE_SET_BUILDER_H_
