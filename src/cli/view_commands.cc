// get and status.
#include <optional>
#include <utility>

#include <fmt/format.h>

#include "cli/config_history.h"
#include "cli/operator_commands.h"
#include "cli/text_table.h"
#include "model/config_access.h"
#include "model/member.h"
#include "model/replica_group.h"

namespace kumquatcart::internal {

namespace {

class GetCommand : public OperatorCommand {
 public:
  using OperatorCommand::OperatorCommand;
  std::string Name() const override { return "get"; }
  std::string Help() const override {
    return "Show objects in force, by kind and name.";
  }

 protected:
  void AddOwnOptions(CLI::App* app) override {
    app->add_option("kind", this->kind, "Kind of the objects.")
        ->check(CLI::IsMember(ObjectKindNames()));
    app->add_option("name", this->name, "Name of one object.");
  }

  ExitCode RunWith(const CommandContext& context,
                   OperatorBackend* backend) override {
    const Result<ConfigHistory> history = ReadConfigInForce(backend->Log());
    if (history.has_error()) {
      return Fail(context, ExitCode::kRefused,
                  "the log can't be read: " + history.error().message);
    }
    const std::vector<ConfigObject> objects =
        this->Select(history.value().view);
    if (objects.empty() && !this->name.empty()) {
      return Fail(context, ExitCode::kRefused,
                  "no object in force is named " + this->name);
    }
    this->Print(context, objects);
    return ExitCode::kDone;
  }

 private:
  std::vector<ConfigObject> Select(const ConfigView& view) const {
    const std::optional<ObjectKind> wanted = ParseObjectKind(this->kind);
    std::vector<ConfigObject> selected;
    for (ConfigObject& object :
         wanted.has_value() ? ListObjects(view, *wanted) : ListObjects(view)) {
      if (this->name.empty() || object.meta.name.value == this->name) {
        selected.push_back(std::move(object));
      }
    }
    return selected;
  }

  // JSON output can be edited and applied again.
  void Print(const CommandContext& context,
             const std::vector<ConfigObject>& objects) const {
    if (this->options.IsJson()) {
      Json list = Json::array();
      for (const ConfigObject& object : objects) {
        list.push_back({{"kind", ToString(object.kind)},
                        {"name", object.meta.name},
                        {"owner", object.meta.owner},
                        {"revision", object.meta.revision},
                        {"spec", object.spec}});
      }
      context.output << Json{{"objects", list}}.dump(2) << "\n";
      return;
    }
    TextTable table({"KIND", "NAME", "OWNER", "REVISION", "SPEC"});
    for (const ConfigObject& object : objects) {
      table.Add({ToString(object.kind), object.meta.name.value,
                 object.meta.owner.value, std::to_string(object.meta.revision),
                 object.spec.dump()});
    }
    table.Print(context.output);
  }

  std::string kind;
  std::string name;
};

class StatusCommand : public OperatorCommand {
 public:
  using OperatorCommand::OperatorCommand;
  std::string Name() const override { return "status"; }
  std::string Help() const override {
    return "Show members, replica groups and leases as entry VMs see them.";
  }

 protected:
  void AddOwnOptions(CLI::App* app) override { static_cast<void>(app); }

  ExitCode RunWith(const CommandContext& context,
                   OperatorBackend* backend) override {
    const Result<std::vector<Endpoint>> nodes =
        ParseEndpoints(this->options.nodes);
    if (nodes.has_error()) {
      return Fail(context, ExitCode::kUsage, nodes.error().message);
    }
    // Any node that answers will do.
    for (const Endpoint& node : nodes.value()) {
      const Result<Json> status = backend->FetchStatus(node);
      if (status.has_value() && status.value().is_object()) {
        this->Print(context, status.value());
        return ExitCode::kDone;
      }
      context.errors << node.ToString() << ": "
                     << (status.has_error() ? status.error().message
                                            : "the answer is not an object")
                     << "\n";
    }
    return Fail(context, ExitCode::kRefused, "no entry VM answered");
  }

 private:
  void Print(const CommandContext& context, const Json& status) const {
    if (this->options.IsJson()) {
      context.output << status.dump(2, ' ', false,
                                    Json::error_handler_t::replace)
                     << "\n";
      return;
    }
    context.output << "config offset "
                   << status.value("config_offset", Json()).dump() << "\n\n";
    PrintMembers(context, status.value("members", Json::array()));
    context.output << "\n";
    PrintGroups(context, status.value("groups", Json::array()));
  }

  static void PrintMembers(const CommandContext& context, const Json& json) {
    const auto members = FromJson<std::vector<Member>>(json);
    if (members.has_error()) {
      context.errors << "members: " << members.error().message << "\n";
      return;
    }
    TextTable table(
        {"VM", "FAILURE DOMAIN", "HTTP", "STATE", "CONFIG OFFSET", "PLATFORM"});
    for (const Member& member : members.value()) {
      table.Add({member.identity.vm.value, member.identity.failure_domain.value,
                 member.identity.http_endpoint.ToString(),
                 Json(member.state).get<std::string>(),
                 std::to_string(member.config_offset),
                 member.platform_reachable ? "reachable" : "cut off"});
    }
    table.Print(context.output);
  }

  static void PrintGroups(const CommandContext& context, const Json& json) {
    const auto groups = FromJson<std::vector<ReplicaGroup>>(json);
    if (groups.has_error()) {
      context.errors << "groups: " << groups.error().message << "\n";
      return;
    }
    TextTable table({"GROUP", "EPOCH", "SERVICE", "VERSION", "STATE",
                     "FAILURE DOMAIN", "VMS"});
    for (const ReplicaGroup& group : groups.value()) {
      std::string members;
      for (const VmId& vm : group.claim.members) {
        members += (members.empty() ? "" : ",") + vm.value;
      }
      table.Add({group.claim.group.value, std::to_string(group.claim.epoch),
                 group.claim.service.value, group.claim.version,
                 Json(group.state).get<std::string>(),
                 group.failure_domain.value, members});
    }
    table.Print(context.output);
  }
};

}  // namespace

std::unique_ptr<Command> MakeGetCommand(OperatorBackendFactory factory) {
  return std::make_unique<GetCommand>(std::move(factory));
}

std::unique_ptr<Command> MakeStatusCommand(OperatorBackendFactory factory) {
  return std::make_unique<StatusCommand>(std::move(factory));
}

}  // namespace kumquatcart::internal
