#include "cli/ops_page.h"

namespace kumquatcart {

namespace {

constexpr char kPage[] = R"html(<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>kumquatcart operations</title>
<style>
:root { color-scheme: light dark; --good: #1a7f37; --busy: #9a6700; --bad: #cf222e; }
@media (prefers-color-scheme: dark) {
  :root { --good: #57d27a; --busy: #e3b341; --bad: #ff7b72; }
}
body { font: 1.05rem/1.45 system-ui, sans-serif; margin: 0 auto; padding: 1rem; max-width: 90rem; }
h1 { font-size: 1.5rem; margin: 0 0 .25rem; }
h2 { font-size: 1.15rem; margin: 0 0 .5rem; }
main { display: grid; gap: 1rem; grid-template-columns: repeat(auto-fit, minmax(min(100%, 29rem), 1fr)); }
section { border: 1px solid #8886; border-radius: .5rem; padding: .75rem 1rem; overflow-x: auto; }
.wide { grid-column: 1 / -1; }
table { border-collapse: collapse; width: 100%; font-variant-numeric: tabular-nums; }
th, td { text-align: left; padding: .2rem .6rem .2rem 0; vertical-align: top; }
td:first-child { white-space: nowrap; }
td.number { text-align: left; }
@media (max-width: 40rem) { body { font-size: .9rem; } }
.good { color: var(--good); } .busy { color: var(--busy); } .bad { color: var(--bad); }
.big { font-size: 1.9rem; font-weight: 600; }
#state { margin: 0 0 1rem; }
</style>
</head>
<body>
<h1>kumquatcart</h1>
<p id="state" role="status">Reading…</p>
<main>
<section><h2>Replica groups by failure domain</h2><table id="groups"></table></section>
<section><h2>Accelerators by partner</h2><table id="accelerators"></table></section>
<section><h2>Requests at this entry VM</h2><table id="requests"></table></section>
<section><h2>Group downtime counted here</h2><table id="downtime"></table></section>
<section class="wide"><h2>Entry VMs</h2><table id="members"></table></section>
<section class="wide"><h2>Recent changes and orders</h2><table id="audit"></table></section>
</main>
<script>
"use strict";
const states = ["whole", "forming", "draining", "incomplete"];
const colours = {whole: "good", forming: "busy", draining: "busy", incomplete: "bad",
                 alive: "good", suspect: "busy", leaving: "busy", dead: "bad",
                 completed: "good", "not-run": "busy", unknown: "bad",
                 accepted: "good", applied: "good", refused: "bad"};

// A cell is a text, a number, or {text, style}.
function row(tag, cells) {
  const line = document.createElement("tr");
  for (const cell of cells) {
    const value = typeof cell === "object" ? cell : {text: cell};
    const element = document.createElement(tag);
    element.textContent = value.text;
    const isNumber = typeof value.text === "number";
    element.className = [value.style || "", isNumber ? "number" : ""].join(" ");
    line.append(element);
  }
  return line;
}

function fill(id, head, rows, empty) {
  const table = document.getElementById(id);
  const body = rows.length ? rows : [[empty]];
  table.replaceChildren(row("th", head), ...body.map((cells) => row("td", cells)));
}

function coloured(text) { return {text, style: colours[text] || ""}; }

function count(map, key, field, amount) {
  map[key] = map[key] || {};
  map[key][field] = (map[key][field] || 0) + amount;
}

function showGroups(status) {
  const domains = {};
  for (const group of status.groups) {
    count(domains, group.failure_domain || "unknown", group.state, 1);
  }
  const rows = Object.keys(domains).sort().map((name) => [name].concat(states.map((state) => {
    const number = domains[name][state] || 0;
    return {text: number, style: number ? colours[state] : ""};
  })));
  fill("groups", ["failure domain", ...states], rows, "no groups");
}

// Groups of other failure domains come without members, so accelerators are counted by failure domain,
// each of which belongs to one partner. A dead VM of an incomplete group counts as stranded here.
function showAccelerators(status) {
  const partnerOf = {};
  const partners = {};
  for (const vm of status.vms) {
    if (vm.role !== "engine") { continue; }
    partnerOf[vm.failure_domain] = vm.partner;
    count(partners, vm.partner, "all", vm.accelerators);
  }
  for (const group of status.groups) {
    const serving = group.state === "whole" || group.state === "draining";
    const partner = partnerOf[group.failure_domain];
    if (partner) { count(partners, partner, serving ? "serving" : "stranded", group.accelerators); }
  }
  const rows = Object.keys(partners).sort().map((name) => {
    const {all, serving = 0, stranded = 0} = partners[name];
    return [name, serving, Math.max(0, all - serving - stranded),
            {text: stranded, style: stranded ? "bad" : "good"}];
  });
  fill("accelerators", ["partner", "serving", "spare", "stranded"], rows, "no engine VMs");
}

function showRequests(status) {
  const rows = Object.entries(status.requests).map(
      ([outcome, number]) => [coloured(outcome), {text: number, style: "big"}]);
  fill("requests", ["outcome", "number"], rows, "none yet");
}

function showMembers(status) {
  const newest = Math.max(status.config_offset, ...status.members.map((m) => m.config_offset));
  const rows = status.members.map((member) => {
    const late = newest - member.config_offset;
    return [member.identity.vm, member.identity.failure_domain, coloured(member.state),
            {text: member.config_offset, style: late ? "busy" : "good"},
            member.platform_reachable ? {text: "yes", style: "good"} : {text: "no", style: "bad"}];
  }).sort((a, b) => a[0].localeCompare(b[0]));
  fill("members", ["entry VM", "failure domain", "state", "configuration offset", "reaches platform"],
       rows, "none");
}

function showAudit(status) {
  const vmOf = {};
  for (const member of status.members) { vmOf[member.identity.id] = member.identity.vm; }
  const rows = status.audit.slice(-20).reverse().map((entry) => {
    const subject = entry.subject.length > 120 ? entry.subject.slice(0, 117) + "…" : entry.subject;
    return [new Date(entry.time_unix_ms).toLocaleTimeString(), vmOf[entry.actor] || entry.actor, entry.action, subject,
            coloured(entry.verdict)];
  });
  fill("audit", ["time", "who", "what", "on", "verdict"], rows, "nothing yet");
}

function showDowntime(metrics) {
  const rows = [];
  const pattern = /^kumquatcart_(group_downtime|stranded_accelerator)_seconds_total\{(.*)\} (\S+)$/gm;
  for (const [, kind, labels, value] of metrics.matchAll(pattern)) {
    const name = (labels.match(/"(.*)"/) || [])[1] || labels;
    rows.push([kind === "group_downtime" ? "group seconds down" : "accelerator seconds stranded",
               name, Math.round(Number(value))]);
  }
  fill("downtime", ["measure", "of", "seconds"], rows, "this entry VM has not held a lease");
}

async function refresh() {
  const line = document.getElementById("state");
  try {
    const status = await (await fetch("/status")).json();
    const metrics = await (await fetch("/metrics")).text();
    showGroups(status);
    showAccelerators(status);
    showRequests(status);
    showMembers(status);
    showAudit(status);
    showDowntime(metrics);
    line.textContent = `${status.node.vm} in ${status.node.failure_domain}, ` +
        `${status.ready ? "ready" : "not ready"}, read at ${new Date().toLocaleTimeString()}`;
    line.className = status.ready ? "good" : "busy";
  } catch (error) {
    line.textContent = `This entry VM does not answer (${error.message}); the figures below are old.`;
    line.className = "bad";
  }
}
refresh();
setInterval(refresh, 2000);
</script>
</body>
</html>
)html";

}  // namespace

const std::string& OpsPageHtml() {
  static const std::string html = kPage;
  return html;
}

}  // namespace kumquatcart
