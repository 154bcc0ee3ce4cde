/**
 * A small mesh for the cases 6 to 10: the store's stand-in, sidecars as processes with the command of the deploy file,
 * and servers beside them, all on loopback addresses.
 */
import { spawn } from "node:child_process";
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer, request as sendRequest } from "node:http";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { formatSettings, ports, StoreStandin } from "../../dist/review-2/standins.mjs";

export { ports, sleep };
export const root = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
export const hostname = "shop.example";
/** Whether the case plays its disruption. */
export const hasTrouble = process.env.TROUBLE !== "0";

const heartbeatMs = 1_500;
const startTimeoutMs = 20_000;

/** Exit codes of a case. */
export const Verdict = { Held: 0, Broken: 1, NotRun: 2 };

export class Record {
    #lines = [];
    #startedAt = performance.now();

    constructor(folder) {
        this.file = join(folder, "record.txt");
    }

    add(text) {
        this.#lines.push(`${((performance.now() - this.#startedAt) / 1_000).toFixed(3).padStart(8)} s  ${text}`);
    }

    save() {
        writeFileSync(this.file, `${this.#lines.join("\n")}\n`);
    }
}

/** Words of the command in the deploy file. */
function readCommand() {
    const text = readFileSync(join(root, "deploy", "system.toml"), "utf8");
    return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

/** A server of the platform: runs requests one after the other on each connection and tells its node that it lives. */
export class Server {
    /** Requests that it began to run. */
    runs = [];
    state = "ready";
    sequence = 0;
    born = Date.now();

    constructor({ id, service, ip, slots = 4, workMs = 20, respond }) {
        Object.assign(this, { id, service, ip, slots, workMs, respond });
    }

    async start() {
        this.listener = createServer((request, response) => void this.#handle(request, response));
        this.listener.keepAliveTimeout = 10_000;
        await new Promise((resolve, reject) => {
            this.listener.once("error", reject);
            this.listener.listen(ports.target, this.ip, resolve);
        });
    }

    async #handle(request, response) {
        const chunks = [];
        try {
            for await (const chunk of request) {
                chunks.push(chunk);
            }
        }
        catch {
            // The node broke off before the end of the request, so that it does not run.
            return;
        }
        const id = request.headers["x-attempt-id"];
        if (request.headers["x-target-instance"] !== this.id) {
            response.writeHead(421, { "x-attempt-id": id, "x-instance-id": this.id, "x-not-executed": "1" }).end();
            return;
        }
        const body = Buffer.concat(chunks);
        const run = { id, path: request.url, headers: request.headers, at: performance.now(), body };
        this.runs.push(run);
        await sleep(this.workMs);
        if (this.respond !== undefined) {
            this.respond({ request, response, run, server: this });
            return;
        }
        this.answer(response, run);
    }

    answer(response, { id, path }) {
        const body = `${this.id} ran ${path}`;
        response.writeHead(200, { ...this.headers(id), "content-length": String(body.length) }).end(body);
    }

    headers(id) {
        return { "x-attempt-id": id, "x-response-signature": `signed by ${this.id}` };
    }

    /** What the next heartbeat says. */
    createBeat() {
        this.sequence++;
        return {
            Service: this.service,
            Address: `${this.ip}:${ports.target}`,
            Zone: "z1",
            Version: "v1",
            Slots: this.slots,
            State: this.state,
            ColdLeftS: 0,
            Sequence: this.sequence,
            born: this.born,
        };
    }

    /** Sends a report to the node beside the server; resolves to the status, 0 without an answer. */
    report(kind, body) {
        return exchange({
            address: `${this.ip}:${ports.control}`,
            method: "POST",
            path: `/bilberrycroft/Instances.${kind}/${this.id}`,
            body: JSON.stringify(body),
        }).then(({ status }) => status);
    }

    beat() {
        return this.report("Heartbeat", this.createBeat());
    }

    /** Sends heartbeats until `stopBeats`. */
    startBeats() {
        this.beats = setInterval(() => void this.beat(), heartbeatMs);
    }

    stopBeats() {
        clearInterval(this.beats);
    }

    stop() {
        this.stopBeats();
        this.listener?.close();
        this.listener?.closeAllConnections();
    }
}

/** A host with a node process and the server beside it. */
export class Host {
    constructor({ mesh, name, ip, server, zone, settings = [] }) {
        Object.assign(this, { mesh, name, ip, server });
        this.settingsFile = join(mesh.folder, `${name}.conf`);
        const text = formatSettings({ ip, node: name, service: server.service, zone, storeAddress: mesh.storeAddress });
        const lines = text.split("\n").filter(line => !line.startsWith("Bounds.BudgetSlack"));
        writeFileSync(this.settingsFile, [...lines, "Bounds.BudgetSlack=56", ...settings].join("\n"));
    }

    spawn() {
        const [program, ...words] = readCommand();
        const log = openSync(join(this.mesh.folder, `${this.name}.log`), "a");
        this.child = spawn(program === "node" ? process.execPath : program, words, {
            cwd: root,
            env: { PATH: process.env.PATH, BILBERRYCROFT_BOOT: this.settingsFile },
            stdio: ["ignore", log, log],
        });
        closeSync(log);
        this.ended = new Promise(resolve => this.child.once("exit", (code, signal) => {
            this.end = { code, signal };
            resolve(this.end);
        }));
        this.end = undefined;
    }

    readLog() {
        return readFileSync(join(this.mesh.folder, `${this.name}.log`), "utf8");
    }

    get residentMb() {
        try {
            return Number(/^VmRSS:\s+(\d+) kB/m.exec(readFileSync(`/proc/${this.child.pid}/status`, "utf8"))?.[1] ?? 0) / 1_024;
        }
        catch {
            return 0;
        }
    }

    async isReady() {
        return (await exchange({ address: `${this.ip}:${ports.ready}`, path: "/bilberrycroft/readiness" })).status === 200;
    }

    async waitUntilReady() {
        const endsAt = performance.now() + startTimeoutMs;
        while (!await this.isReady()) {
            if (this.end !== undefined || performance.now() > endsAt) {
                throw new Error(`${this.name} did not become ready`);
            }
            await sleep(50);
        }
    }

    /** Sends a client's request to the node of this host. */
    send({ id, path, method = "GET", body, deadlineMs = 1_500, headers = {}, abandonAfterMs, agent }) {
        return exchange({
            address: `${this.ip}:${ports.outbound}`,
            method,
            path,
            body,
            agent,
            timeoutMs: abandonAfterMs ?? deadlineMs + 2_000,
            headers: { host: hostname, "x-attempt-id": id, "x-deadline-ms": String(deadlineMs), ...headers },
        });
    }
}

/** One HTTP exchange, on a new connection unless an agent is given; status 0 without a whole answer. */
export function exchange({ address, method = "GET", path, body, headers = {}, timeoutMs = 2_000, agent = false }) {
    const [host, port] = address.split(":");
    return new Promise(resolve => {
        const outgoing = sendRequest({ host, port, method, path, headers, agent });
        const timer = setTimeout(() => outgoing.destroy(new Error("client gave up")), timeoutMs);
        const finish = answer => {
            clearTimeout(timer);
            resolve({ ...answer, isOnKeptConnection: outgoing.reusedSocket });
        };
        outgoing.on("response", response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            response.on("error", error => finish({ status: 0, cause: error.message, headers: response.headers }));
            response.on("end", () => finish({
                status: response.complete ? response.statusCode : 0,
                headers: response.headers,
                body: Buffer.concat(chunks).toString("utf8"),
            }));
        });
        outgoing.on("error", error => finish({ status: 0, cause: error.message, headers: {} }));
        outgoing.end(body);
    });
}

export function createRoute(prefix, type, service, { timeoutS = 2, attempts = 3, objectiveS = 0.4, fields = {} } = {}) {
    return {
        Name: `r-${prefix.replaceAll("/", "")}`,
        RouteType: type,
        TargetLatencyS: objectiveS,
        Priority: 1,
        Match: { PathPrefix: prefix },
        Action: { Service: service, TimeoutS: timeoutS, Attempts: attempts },
        ...fields,
    };
}

export function createConfiguration({ version = "r1", routes, services, tenants }) {
    return {
        Version: version,
        Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 100_000, HeaderTimeoutS: 3, IdleTimeoutS: 15 },
        Listeners: [{ Hostname: hostname, RuleSet: routes }],
        Clusters: services.map(name => ({ Name: name, HealthPath: "/health", MaxConnections: 100, Protocol: "h1", Tls: false })),
        ...(tenants === undefined ? {} : { Tenants: tenants }),
    };
}

export class Mesh {
    hosts = [];
    store = new StoreStandin();

    /** Starts the store, and a node with its server for each description; resolves when all serve. */
    async start({ configuration, hosts }) {
        this.folder = mkdtempSync(join(tmpdir(), "bilberrycroft-case-"));
        this.storeAddress = await this.store.start();
        this.store.put("config", "main", configuration);
        const net = `127.${10 + process.pid % 200}.${1 + Math.floor(process.pid / 200) % 250}`;
        hosts.forEach(({ service, settings, zone = "z1", ...server }, index) => {
            const ip = `${net}.${index + 1}`;
            const name = `node-${index + 1}`;
            const beside = new Server({ id: `i-${name}`, service, ip, ...server });
            this.hosts.push(new Host({ mesh: this, name, ip, server: beside, zone, settings }));
        });
        for (const host of this.hosts) {
            await host.server.start();
            host.spawn();
        }
        await Promise.all(this.hosts.map(host => host.waitUntilReady()));
        for (const { server } of this.hosts) {
            await server.beat();
            server.startBeats();
        }
        // The entries of all nodes reach the others.
        await sleep(2_500);
    }

    async stop() {
        for (const { child } of this.hosts) {
            child?.kill("SIGKILL");
        }
        await Promise.all(this.hosts.map(({ ended }) => ended));
        this.hosts.forEach(({ server }) => server.stop());
        await this.store.stop();
        if (process.env.KEEP !== "1") {
            rmSync(this.folder, { recursive: true, force: true });
        }
    }
}

/** Plays a case and exits with its verdict; `play` resolves to whether the rule held. */
export async function runCase(folder, play) {
    const record = new Record(folder);
    const mesh = new Mesh();
    let verdict = Verdict.NotRun;
    const fail = error => {
        record.add(`the case could not run: ${error.stack}`);
        record.save();
        mesh.hosts.forEach(({ child }) => child?.kill("SIGKILL"));
        process.exit(Verdict.NotRun);
    };
    process.on("uncaughtException", fail);
    process.on("unhandledRejection", fail);
    process.on("SIGTERM", () => fail(new Error("stopped from outside")));
    try {
        verdict = await play({ record, mesh }) ? Verdict.Held : Verdict.Broken;
    }
    catch (error) {
        record.add(`the case could not run: ${error.stack}`);
    }
    await mesh.stop().catch(error => record.add(`not stopped: ${error.message}`));
    record.add(`verdict: ${["the rule held", "the rule was broken", "the case could not run"][verdict]}`);
    record.save();
    process.exit(verdict);
}
