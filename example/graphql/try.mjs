// Real GraphQL clients from the npm registry, through the agent, to booking servers that execute with graphql-js and
// count what they executed. Needs bin/dunestep, node 20 or later, and `npm install` in this folder.
import { spawn } from "node:child_process";
import { createHash } from "node:crypto";
import { mkdtempSync, writeFileSync, readFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { buildSchema } from "graphql";
import { createHandler, serverAudits } from "graphql-http";
import { GraphQLClient } from "graphql-request";
import { ApolloClient, ApolloLink, HttpLink, InMemoryCache, gql } from "@apollo/client";
import { PersistedQueryLink } from "@apollo/client/link/persisted-queries";

const root = new URL("../..", import.meta.url).pathname;
const executed = { slots: 0, book: 0 };
let failing = 0; // so many route steps are still to fail: after executing, with a 500

const schema = buildSchema(`
  type Slot { id: ID! startsAt: String! }
  type Query { slots(day: String): [Slot!]! }
  type Mutation { book(slot: ID!): Slot }
`);
const rootValue = {
  slots: ({ day }) => { executed.slots++; return [{ id: "1", startsAt: `${day ?? "today"} 09:00` }]; },
  book: ({ slot }) => { executed.book++; return { id: slot, startsAt: "monday 09:00" }; },
};

const listen = (server, port = 0) =>
  new Promise((resolve) => server.listen(port, "127.0.0.1", () => resolve(server.address().port)));

async function freePort() {
  const server = net.createServer();
  const port = await listen(server);
  await new Promise((resolve) => server.close(resolve));
  return port;
}

// A booking server keeps documents by their hash, as clients with persisted queries expect; all else is the
// library's.
function bookingServer() {
  const documents = new Map();
  const handler = createHandler({ schema, rootValue });
  return http.createServer(async (req, res) => {
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    let body = Buffer.concat(chunks).toString();
    if (failing > 0) {
      failing--;
      executed[(body + req.url).includes("book") ? "book" : "slots"]++;
      return res.writeHead(500).end();
    }
    const url = new URL(req.url, "http://x");
    const asked = req.method === "POST" ? JSON.parse(body) : Object.fromEntries(url.searchParams);
    if (req.method === "GET" && asked.extensions) asked.extensions = JSON.parse(asked.extensions);
    const hash = asked.extensions?.persistedQuery?.sha256Hash;
    if (hash && asked.query) documents.set(hash, asked.query);
    if (hash && !asked.query) {
      if (!documents.has(hash)) return answer(res, { errors: [{ message: "PersistedQueryNotFound" }] });
      url.searchParams.set("query", documents.get(hash));
      body = JSON.stringify({ ...asked, query: documents.get(hash) });
    }
    const [text, init] = await handler({ method: req.method, url: url.pathname + url.search, headers: req.headers, body });
    res.writeHead(init.status, init.headers).end(text);
  });
}

function answer(res, body) {
  res.writeHead(200, { "content-type": "application/json; charset=utf-8" }).end(JSON.stringify(body));
}

const show = (what, value) => console.log(`${what}: ${typeof value === "string" ? value : JSON.stringify(value)}`);
const error = (e) => e.response?.errors?.[0]?.extensions ?? e.errors?.[0]?.extensions ?? e.message;

async function main() {
  const servers = [];
  for (const id of ["s-1", "s-2"]) {
    servers.push({ id, addr: `127.0.0.1:${await listen(bookingServer())}`, zone: "a", kind: "toy", cell: 0,
      state: "active", weight: 1, started_ms: 0 });
  }
  const list = JSON.stringify({ version: 1, full: true, servers }) + "\n";
  const discovery = http.createServer((req, res) => {
    res.write(list);
    if (!req.url.includes("watch")) return res.end();
    const tick = setInterval(() => res.write("\n"), 1000);
    res.on("close", () => clearInterval(tick));
  });
  const discoveryPort = await listen(discovery);
  const [plain, graphQL] = [await freePort(), await freePort()];
  const dir = mkdtempSync(join(tmpdir(), "dunestep-"));
  const config = JSON.parse(readFileSync(join(root, "example/config.json"), "utf8"));
  writeFileSync(join(dir, "config.json"), JSON.stringify(
    { ...config, listen: `127.0.0.1:${plain}`, discovery: `127.0.0.1:${discoveryPort}` }));
  writeFileSync(join(dir, "operator.toml"), `[graphql]\nlisten = "127.0.0.1:${graphQL}"\n`);
  const agent = spawn(join(root, "bin/dunestep"), ["--operator", join(dir, "operator.toml")], {
    stdio: ["ignore", "ignore", "inherit"],
    env: { LB_NAME: "n0", LB_LISTEN: `127.0.0.1:${plain}`, LB_DISCOVERY: `127.0.0.1:${discoveryPort}`,
      LB_CONFIG: join(dir, "config.json") },
  });
  const url = `http://127.0.0.1:${graphQL}/graphql`;
  for (let ready = false; !ready;) {
    await new Promise((resolve) => setTimeout(resolve, 50));
    ready = await fetch(`http://127.0.0.1:${graphQL}/health/ready`).then((r) => r.ok, () => false);
  }
  try {
    await requests(url);
    await apollo(url);
    await audits(url);
  } finally {
    agent.kill("SIGTERM");
    await new Promise((resolve) => agent.on("exit", resolve));
    show("executed", executed);
  }
}

async function requests(url) {
  const client = new GraphQLClient(url);
  const slots = gql`query Slots($day: String) { slots(day: $day) { id startsAt } }`;
  const book = gql`mutation Book($slot: ID!) { book(slot: $slot) { id } }`;
  show("graphql-request, query", await client.request(slots, { day: "monday" }));
  show("graphql-request, mutation", await client.request(book, { slot: "7" }));
  failing = 1;
  show("query, first route step fails", await client.request(slots, { day: "friday" }));
  const before = executed.book;
  failing = 1;
  show("mutation, first route step fails", await client.request(book, { slot: "8" }).catch(error));
  show("  executed", executed.book - before);
  show("unknown field", await client.request(`{ chairs }`).catch((e) => `${e.response.status} ${e.response.errors[0].message}`));
  show("subscription", await client.request(`subscription { slots { id } }`).catch(error));
  const get = await fetch(`${url}?query=${encodeURIComponent('mutation { book(slot: "9") { id } }')}`);
  show("mutation by GET", `${get.status} ${await get.text()}`);
}

async function apollo(url) {
  const persisted = new PersistedQueryLink({ useGETForHashedQueries: true,
    sha256: (text) => createHash("sha256").update(text).digest("hex") });
  const client = new ApolloClient({ cache: new InMemoryCache(), link: ApolloLink.from([persisted,
    new HttpLink({ uri: url })]) });
  const slots = gql`query Later($day: String) { slots(day: $day) { id startsAt } }`;
  const run = (day) => client.query({ query: slots, variables: { day }, fetchPolicy: "no-cache" }).then((r) => r.data, error);
  show("Apollo, by a hash not seen yet", await run("monday"));
  show("Apollo, by its hash", await run("tuesday"));
  const book = gql`mutation Hold($slot: ID!) { book(slot: $slot) { id } }`;
  show("Apollo, mutation", await client.mutate({ mutation: book, variables: { slot: "9" } }).then((r) => r.data, error));
}

async function audits(url) {
  const counts = {};
  for (const audit of serverAudits({ url })) {
    const result = await audit.fn();
    counts[result.status] = (counts[result.status] ?? 0) + 1;
    if (result.status !== "ok") show(`audit ${audit.id} ${audit.name}`, `${result.status}: ${result.reason}`);
  }
  show("audits of graphql-http", counts);
}

main().then(() => process.exit(0), (e) => { console.error(e); process.exit(1); });
