#include "control/content_rules.h"

#include <optional>
#include <utility>

#include "control/group_record_codec.h"
#include "platform/config_decoder.h"
#include "platform/server_decoder.h"

namespace kumquatcart {

namespace {

// Time after a change of the store's era in which records may be written again
// out of their order.
constexpr Duration kRewriteTime = std::chrono::seconds(60);
// Time in which running servers write entries again that the store has lost.
constexpr Duration kLostEntryReturnTime = std::chrono::milliseconds(2500);

std::optional<std::int64_t> VersionOf(const std::string& key,
                                      const std::string& value) {
  return key == ConfigurationKey() ? FindConfigVersion(value) : std::nullopt;
}

// Applies an entry or its removal, unless it is no news of its server.
bool ApplyRetainedServer(
    const RetainedRecord& record,
    MonotonicTime now,
    FleetView* view,
    const std::function<void(const TopicRecord& record)>& apply) {
  const Result<BackendServer> server =
      DecodeServerEntry(record.key, record.value);
  if (server.has_error() || !view->IsNews(server.value(), record.is_removed)) {
    return false;
  }
  if (record.is_removed) {
    view->RemoveServer(record.key, now);
    view->ExpireServers(now);
    view->NoteRemoved(server.value(), now);
  } else {
    apply({record.key, record.value, 0});
  }
  return true;
}

}  // namespace

ContentRules ConfigContentRules(
    const StoreClient* store,
    const FleetView* view,
    std::function<void(const std::string& text)> load) {
  ContentRules rules;
  rules.is_outdated = [store, view](const TopicRecord& record, bool) {
    if (store->Era() == 0) {
      return false;
    }
    const auto version = VersionOf(record.key, *record.value);
    return version && view->Config() && *version < view->Config()->version;
  };
  rules.apply_retained = [view, load = std::move(load)](
                             const RetainedRecord& record) {
    const auto version = VersionOf(record.key, record.value);
    if (!version || (view->Config() && *version <= view->Config()->version)) {
      return false;
    }
    load(record.value);
    return true;
  };
  return rules;
}

ContentRules ServerContentRules(
    EventLoop* loop,
    const StoreClient* store,
    FleetView* view,
    std::function<void(const TopicRecord& record)> apply) {
  ContentRules rules;
  rules.is_outdated = [loop, store, view, started_at = loop->Now()](
                          const TopicRecord& record, bool is_from_copy) {
    // The era may have changed just before the start.
    const MonotonicTime changed_at = store->EraChangedAt().value_or(started_at);
    if (store->Era() == 0 || loop->Now() - changed_at > kRewriteTime) {
      return false;
    }
    const Result<BackendServer> server =
        DecodeServerEntry(record.key, *record.value);
    return server.has_value() && view->IsOutdated(server.value(), is_from_copy);
  };
  rules.apply_retained =
      [loop, view, apply = std::move(apply)](const RetainedRecord& record) {
        return ApplyRetainedServer(record, loop->Now(), view, apply);
      };
  rules.handle_lost = [loop, view](const std::string& key) {
    view->RemoveLostServer(key, loop->Now() + kLostEntryReturnTime);
  };
  return rules;
}

ContentRules GroupContentRules(FleetView* view) {
  ContentRules rules;
  rules.is_outdated = [view](const TopicRecord& record, bool) {
    const Result<GroupRecord> group =
        DecodeGroupRecord(record.key, record.offset, *record.value);
    const GroupStatus* status = view->FindGroup(record.key);
    return group.has_value() && status != nullptr &&
           group.value().epoch < status->record.epoch;
  };
  rules.apply_retained = [view](const RetainedRecord& record) {
    const Result<GroupRecord> group =
        DecodeGroupRecord(record.key, /*offset=*/0, record.value);
    return group.has_value() && view->PutRecord(group.value());
  };
  return rules;
}

}  // namespace kumquatcart
