#include "entry/entry_fixture.h"

#include <utility>

namespace kumquatcart {

namespace {

RouteRule MakeRoute(const std::string& prefix,
                    const std::string& service,
                    Repeatability repeatability) {
  RouteRule route;
  route.name = prefix;
  route.host = "h";
  route.path_prefix = prefix;
  route.repeatability = repeatability;
  route.streaming = service == "models";
  route.timeout = std::chrono::seconds(5);
  route.target_latency = std::chrono::milliseconds(300);
  route.attempts = 2;
  route.services = {{service, 1}};
  return route;
}

std::string FieldOf(const std::string& head, const std::string& name) {
  const std::size_t at = head.find(name + ": ");
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t begin = at + name.size() + 2;
  return head.substr(begin, head.find('\r', begin) - begin);
}

}  // namespace

EntryFixture::EntryFixture()
    : pool(&this->loop),
      engine_http(&this->loop),
      engines(&this->loop, &this->engine_http),
      store(&this->loop, TcpEndpoint()),
      peers("node", "zone"),
      digests(
          &this->loop,
          &this->peers,
          [] { return NodeDigest(); },
          [](const NodeDigest&) {}),
      prompt_exchange(&this->loop,
                      &this->engines,
                      &this->peers,
                      &this->digests),
      prompts(&this->loop,
              "node",
              &this->prompt_exchange,
              &this->metrics,
              /*seed=*/1),
      role(&this->loop, &this->peers, &this->store, "zone"),
      prober(
          &this->loop,
          &this->engines,
          &this->view,
          &this->role,
          [](const PeerState&) {},
          [] {}),
      permits(&this->loop),
      limiter("node",
              &this->permits,
              &this->metrics,
              /*seed=*/1,
              ColdBound{},
              {[this] {
                 this->group_balancer.AssignFreeSlots();
                 this->plain_balancer.HandleGateOpened();
               },
               [] {}}),
      gate(&this->permits,
           &this->load,
           &this->limiter,
           &this->metrics,
           /*seed=*/1,
           [this] {
             this->group_balancer.AssignFreeSlots();
             this->plain_balancer.HandleGateOpened();
           }),
      slot_network(&this->loop),
      slots("node", &this->slot_network, &this->metrics, /*first_id=*/1),
      group_balancer([this] { return this->loop.Now(); },
                     &this->view,
                     ServerLoadCounters{&this->load, &this->unread_tokens},
                     &this->gate,
                     &this->slots,
                     "zone"),
      plain_balancer(&this->loop,
                     &this->view,
                     ServerLoadCounters{&this->load, &this->unread_tokens},
                     &this->gate,
                     "zone"),
      stall_detector(&this->loop, &this->view, &this->prober),
      shared_retry_budget(RetryLimits{0.2, 100, std::chrono::seconds(10)},
                          this->loop.Now() - std::chrono::seconds(10)) {
  this->shared_retry_budget.SetNodeCount(1);
  this->context.loop = &this->loop;
  this->context.view = &this->view;
  this->context.prober = &this->prober;
  this->context.pool = &this->pool;
  this->context.limiter = &this->limiter;
  this->context.gate = &this->gate;
  this->context.prompts = &this->prompts;
  this->context.group_balancer = &this->group_balancer;
  this->context.plain_balancer = &this->plain_balancer;
  this->context.stall_detector = &this->stall_detector;
  this->context.shared_retry_budget = &this->shared_retry_budget;
  this->context.metrics = &this->metrics;
  this->ApplyConfig();
  this->entry_server = std::make_unique<LoopServer>(
      &this->loop,
      [this](const auto& connection, Waiter* waiter, Coroutine yield) {
        this->sessions.insert(waiter);
        ServeCaller(&this->context, connection, waiter, yield);
        this->sessions.erase(waiter);
      });
}

void EntryFixture::ApplyConfig() {
  RoutingConfig config;
  config.version = 1;
  config.routes = {
      MakeRoute("/once/", "plain", Repeatability::kAtMostOnce),
      MakeRoute("/again/", "plain", Repeatability::kIdempotent),
      MakeRoute("/stream/", "models", Repeatability::kResumable),
      MakeRoute("/stream-once/", "models", Repeatability::kAtMostOnce)};
  config.services["plain"].name = "plain";
  ServiceSpec models;
  models.name = "models";
  models.engine.emplace();
  models.engine->slots = 4;
  config.services["models"] = models;
  config.limits.body_bytes = 16 * 1024 * 1024;
  config.needs_keys = true;
  config.holders["key"] = KeyHolder{"org", std::nullopt, {}};
  this->view.AdoptConfig(std::make_shared<const RoutingConfig>(config));
  this->context.routes =
      std::make_shared<const RouteTable>(this->view.Config());
}

void EntryFixture::Add(const std::string& id,
                       const std::string& service,
                       LoopServer::Script script) {
  this->servers.push_back(
      std::make_unique<LoopServer>(&this->loop, std::move(script)));
  BackendServer server;
  server.id = id;
  server.service = service;
  server.failure_domain = "zone";
  server.slots = 4;
  server.endpoint =
      Endpoint{"127.0.0.1", this->servers.back()->Address().port()};
  this->view.PutServer(server, this->loop.Now());
}

void EntryFixture::AddPlain(const std::string& id, LoopServer::Script script) {
  this->Add(id, "plain", std::move(script));
}

void EntryFixture::AddGroup(const std::string& id, LoopServer::Script script) {
  this->Add(id, "models", std::move(script));
  GroupRecord record;
  record.group = "group." + id;
  record.epoch = 1;
  record.service = "models";
  record.model = "m";
  record.members = {id};
  this->view.PutRecord(record);
  this->view.SetOpen(record.group, 1, true);
}

void EntryFixture::CoordinateBy(const std::string& server) {
  this->slot_network.coordinator = [this, server](const SlotAsk& ask) {
    this->asked.push_back(ask);
    SlotReply reply;
    reply.node = "other";
    reply.id = ask.id;
    reply.state = SlotState::kGranted;
    reply.group = "group." + server;
    reply.epoch = 1;
    reply.server = server;
    this->loop.Spawn(
        [this, reply](Coroutine) { this->slots.HandleReply(reply); });
  };
}

void EntryFixture::LoseSlotRequests() {
  this->slot_network.coordinator = [this](const SlotAsk& ask) {
    this->asked.push_back(ask);
  };
}

void EntryFixture::StartServer(const BackendServer& server) {
  this->view.PutServer(server, this->loop.Now());
  this->limiter.HandleStart(server.id, server.started_ms);
  this->gate.HandleStart({server.id, server.started_ms});
}

void EntryFixture::ChangeConfig(
    const std::function<void(RoutingConfig* config)>& change) {
  RoutingConfig config = *this->view.Config();
  ++config.version;
  change(&config);
  this->AdoptConfig(config);
}

void EntryFixture::SetIdleTimeout(Duration idle_timeout) {
  this->ChangeConfig([idle_timeout](RoutingConfig* config) {
    config->limits.idle_timeout = idle_timeout;
  });
}

void EntryFixture::RemoveService(const std::string& service) {
  this->ChangeConfig([&service](RoutingConfig* config) {
    config->services.erase(service);
    for (RouteRule& route : config->routes) {
      if (route.services.front().service == service) {
        route.services = {{"plain", 1}};
      }
    }
  });
}

void EntryFixture::AdoptConfig(const RoutingConfig& config) {
  this->view.AdoptConfig(std::make_shared<const RoutingConfig>(config));
  this->context.routes =
      std::make_shared<const RouteTable>(this->view.Config());
  this->WakeSessions();
}

void EntryFixture::WakeSessions() {
  for (Waiter* session : this->sessions) {
    session->Notify();
  }
}

void EntryFixture::Exchange(
    const std::string& request,
    const std::function<void(TcpConnection*)>& read_input) {
  RunCoroutine(&this->loop, [&](Coroutine yield) {
    Waiter waiter(&this->loop);
    const auto connection = std::make_shared<TcpConnection>(&this->loop);
    if (!connection->Connect(this->entry_server->Address(),
                             TestDeadline(&this->loop), &waiter, yield)) {
      return;
    }
    connection->Send(request);
    while (!connection->HasEnded() &&
           waiter.WaitUntil(TestDeadline(&this->loop), yield)) {
      read_input(connection.get());
    }
    connection->SetWaiter(nullptr);
    connection->Close();
  });
}

std::string EntryFixture::SendRequest(const std::string& request) {
  std::string bytes;
  this->Exchange(request, [&bytes](TcpConnection* connection) {
    bytes = std::string(connection->Input());
  });
  return bytes;
}

CallerAnswer EntryFixture::Call(const std::string& request) {
  CallerAnswer answer;
  ResponseParser response(request.rfind("HEAD ", 0) == 0);
  this->Exchange(request, [&](TcpConnection* connection) {
    answer.state = response.ParseAvailable(connection);
    answer.extra = answer.state == ResponseState::kComplete
                       ? std::string(connection->Input())
                       : std::string();
  });
  if (response.HasHead()) {
    answer.status = response.Status();
    answer.framing = response.Framing();
    answer.headers = response.Headers();
  }
  answer.body = response.TakeBody();
  return answer;
}

void EntryFixture::SendAndDisconnect(const std::string& request,
                                     Duration stay) {
  this->loop.Spawn([this, request, stay](Coroutine yield) {
    Waiter waiter(&this->loop);
    const auto connection = std::make_shared<TcpConnection>(&this->loop);
    if (connection->Connect(this->entry_server->Address(),
                            TestDeadline(&this->loop), &waiter, yield)) {
      connection->Send(request);
      this->loop.Sleep(stay, yield);
    }
    connection->SetWaiter(nullptr);
    connection->Close();
  });
}

void EntryFixture::RunFor(Duration duration) {
  RunCoroutine(&this->loop, [this, duration](Coroutine yield) {
    this->loop.Sleep(duration, yield);
  });
}

std::string MakeRequest(const std::string& method,
                        const std::string& path,
                        const std::string& extra) {
  return method + " " + path +
         " HTTP/1.1\r\nHost: h\r\nX-Request-Id: id1\r\nX-Deadline-Ms: 4000\r\n"
         "X-Model: m\r\nAuthorization: Bearer key\r\nConnection: close\r\n" +
         extra + "\r\n";
}

std::string MakeAnswer(const std::string& head,
                       const std::string& status,
                       const std::string& body) {
  return "HTTP/1.1 " + status +
         "\r\nX-Request-Id: " + FieldOf(head, "X-Request-Id") +
         "\r\nX-Response-Seal: sealed\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string WithField(std::string answer, const std::string& field) {
  answer.insert(answer.find("\r\n") + 2, field + "\r\n");
  return answer;
}

LoopServer::Script AnswerWith(
    std::function<std::string(const std::string& head)> answer) {
  return [answer = std::move(answer)](const auto& connection, Waiter* waiter,
                                      Coroutine yield) {
    for (;;) {
      const std::string head = ReadHead(connection.get(), waiter, yield);
      if (head.empty()) {
        break;
      }
      const std::string bytes = answer(head);
      if (bytes.empty()) {
        break;
      }
      connection->Send(bytes);
    }
    connection->Close();
  };
}

}  // namespace kumquatcart
