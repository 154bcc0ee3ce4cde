/**
 * A small deployment on loopback for the cases of the review: the project's stand-in of the store, sidecars as
 * processes of their own, and endpoints and clients that follow the users' pages.
 *
 * Every machine has its own loopback address, and the ports are the same on all machines.
 */
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { Agent, createServer, request as sendRequest } from "node:http";
import { createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { StoreStandin } from "../../platform/standins/store";

export const hostname = "shop.example";
export const heartbeatS = 1.5;
/** Bounds of the site files. */
export const bounds = { contactMs: 3_000, configApplyMs: 2_000, drainMs: 2_000, graceMs: 6_000 };

const startTimeoutMs = 30_000;
const pollIntervalMs = 50;
const heartbeatTimeoutMs = 1_000;
const restartDelayMs = 500;
const timeLimitMs = 112_000;

/** Creates a route in the operator's format. */
export function createRoute({ prefix, type, service, timeoutS = 1.5, attempts = 3, objectiveS = 0.4 }) {
    return {
        Name: `r-${prefix.replaceAll("/", "")}`,
        RouteType: type,
        TargetLatencyS: objectiveS,
        Priority: 1,
        Match: { PathPrefix: prefix },
        Action: { Service: service, TimeoutS: timeoutS, Attempts: attempts },
    };
}

/** Creates a configuration in the operator's format. */
export function createConfiguration({ version, routes, services }) {
    return {
        Version: version,
        Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 1_000_000, HeaderTimeoutS: 5, IdleTimeoutS: 15 },
        Listeners: [{ Hostname: hostname, RuleSet: routes }],
        Clusters: services.map(name =>
            ({ Name: name, HealthPath: "/health", MaxConnections: 130, Protocol: "h1", Tls: false })),
    };
}

/** Command of the deploy file, split at spaces. */
function readCommand() {
    const match = /^run = "(.*)"$/m.exec(readFileSync("deploy/system.toml", "utf8"));
    return match[1].split(" ");
}

async function findFreePorts(host, count) {
    const servers = await Promise.all(Array.from({ length: count }, async () => {
        const server = createTcpServer();
        server.listen(0, host);
        await once(server, "listening");
        return server;
    }));
    const ports = servers.map(server => server.address().port);
    await Promise.all(servers.map(server => new Promise(closed => server.close(closed))));
    return ports;
}

/** An endpoint beside a sidecar. `handle(request, response, endpoint)` runs each request that is meant for it. */
export class Endpoint {
    constructor({ id, service, ip, ports, zone, slots, handle, record }) {
        Object.assign(this, { id, service, ip, ports, zone, slots, handle, record });
        this.sequence = 0;
        this.agent = new Agent({ keepAlive: true });
    }

    /** Starts an incarnation; it reports itself until it is stopped. */
    async start() {
        this.born = Date.now();
        this.sequence = 0;
        this.state = "ready";
        const server = createServer((request, response) => void this.accept(request, response));
        server.keepAliveTimeout = 10_000;
        server.listen(this.ports.app, this.ip);
        await once(server, "listening");
        this.server = server;
        this.timer = setInterval(() => void this.sendHeartbeat(), heartbeatS * 1_000);
    }

    /** Ends as a crash does: all connections break, and nothing is sent any more. */
    async crash() {
        clearInterval(this.timer);
        if (this.server !== undefined) {
            await this.stopServing();
        }
    }

    /** Stops listening, but goes on to report itself: another process serves at the address. */
    async stopServing() {
        const { server } = this;
        this.server = undefined;
        const closed = once(server, "close");
        server.close();
        server.closeAllConnections();
        await closed;
    }

    async accept(request, response) {
        const chunks = [];
        request.on("error", () => undefined);
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        const id = String(request.headers["x-attempt-id"]);
        const instance = request.headers["x-target-instance"];
        if (instance !== undefined && instance !== this.id) {
            response.writeHead(421, { "x-instance-id": this.id });
            response.end();
            return;
        }
        this.record("arrived", { endpoint: this.id, id, path: request.url });
        this.handle({ request, id, body: Buffer.concat(chunks) }, response, this);
    }

    /** The end of a sound response. */
    respond(response, id, body = `answer of ${this.service}`) {
        response.writeHead(200, {
            "x-attempt-id": id,
            "x-response-signature": `signed.${this.id}`,
            "content-length": Buffer.byteLength(body),
        });
        response.end(body);
    }

    /** Resolves to whether the heartbeat was acknowledged. */
    sendHeartbeat() {
        const body = JSON.stringify({
            Service: this.service,
            Address: `${this.ip}:${this.ports.app}`,
            Zone: this.zone,
            Version: "v1",
            Slots: this.slots,
            State: this.state,
            ColdLeftS: 0,
            Sequence: ++this.sequence,
            born: this.born,
        });
        return new Promise(resolve => {
            const outgoing = sendRequest({
                host: this.ip,
                port: this.ports.control,
                method: "POST",
                path: `/bilberrycroft/Instances.Heartbeat/${this.id}`,
                headers: { "content-type": "application/json" },
                agent: false,
                timeout: heartbeatTimeoutMs,
            }, response => {
                response.resume();
                response.on("error", () => resolve(false));
                response.on("end", () => resolve(response.statusCode === 200));
            });
            outgoing.on("timeout", () => outgoing.destroy());
            outgoing.on("error", () => resolve(false));
            outgoing.on("close", () => resolve(false));
            outgoing.end(body);
        });
    }
}

/** A machine: a sidecar process and the endpoint beside it. */
export class Machine {
    constructor({ name, ip, ports, zone, service, storeAddress, folder, endpoint }) {
        Object.assign(this, { name, ip, ports, zone, service, storeAddress, folder, endpoint });
        this.settingsFile = join(folder, `${name}.conf`);
        this.ends = [];
        writeFileSync(this.settingsFile, this.formatSettings());
        this.log = openSync(join(folder, `${name}.log`), "a");
        this.isTold = false;
        this.start();
    }

    start() {
        const [program, ...words] = readCommand();
        const child = spawn(program === "node" ? process.execPath : program, words, {
            env: { PATH: process.env.PATH, HOME: this.folder, BILBERRYCROFT_BOOT: this.settingsFile },
            stdio: ["ignore", this.log, this.log],
        });
        this.isTold = false;
        this.child = child;
        child.on("exit", (code, signal) => this.ends.push({ code, signal, isTold: this.isTold }));
        return child;
    }

    /** Starts the process again whenever it ends, as the platform does. */
    keepRunning() {
        this.child.on("exit", () => setTimeout(() => {
            if (!this.isFinished) {
                this.start();
                this.keepRunning();
            }
        }, restartDelayMs));
    }

    signal(name) {
        this.isTold ||= name === "SIGTERM" || name === "SIGKILL";
        this.child.kill(name);
    }

    get isRunning() {
        return this.child.exitCode === null /* eslint-disable-line no-restricted-syntax */
            && this.child.signalCode === null; /* eslint-disable-line no-restricted-syntax */
    }

    async whenEnded() {
        if (this.isRunning) {
            await once(this.child, "exit");
        }
    }

    formatSettings() {
        const { ip, ports } = this;
        return [
            `Node=${this.name}`,
            "Role=sidecar",
            "MachineClass=sidecar",
            "Serves=sidecar",
            `Ip=${ip}`,
            `Zone=${this.zone}`,
            "Region=here",
            `Listen.Inbound=${ip}:${ports.inbound}`,
            `Listen.Outbound=${ip}:${ports.outbound}`,
            `Listen.Ready=${ip}:${ports.ready}`,
            `Listen.Control=${ip}:${ports.control}`,
            `InternalPorts=${ports.internal},${ports.internal + 15}`,
            "Bootstrap=true",
            "Limits.CpuShare=0.54",
            "Limits.Cores=1",
            "Limits.MemoryMb=200",
            "Limits.MaxFds=4100",
            "Limits.LinkMbps=1000.0",
            `HeartbeatS=${heartbeatS}`,
            "Contracts=base,drain,config,cost,retry,recover,platform",
            "Bounds.ContactS=3",
            "Bounds.DrainS=2",
            "Bounds.GraceS=6",
            "Bounds.LossSlackS=0.2",
            "Bounds.ConfigApplyS=2",
            "Bounds.RollbackSlackS=0.25",
            "Bounds.RetryBudgetRatio=0.2",
            "Bounds.BudgetWindowS=10",
            "Bounds.BudgetSlack=62",
            "Bounds.RecoveryS=15",
            `AppAddr=${ip}:${ports.app}`,
            `Service=${this.service}`,
            `Platform.Address=${this.storeAddress}`,
            "Platform.form=objects",
            "",
        ].join("\n");
    }

    /** Sends one request through the sidecar; resolves with status 0 if there is no complete answer. */
    send({ id, path, method = "GET", body, deadlineMs = 1_500, agent = false, patienceMs = deadlineMs + 1_500 }) {
        const startedAt = performance.now();
        return new Promise(resolve => {
            const finish = (status, answer = "", headers = {}) => {
                clearTimeout(timer);
                resolve({ id, status, headers, body: answer, elapsedMs: performance.now() - startedAt });
            };
            const outgoing = sendRequest({
                host: this.ip,
                port: this.ports.outbound,
                method,
                path,
                agent,
                headers: { host: hostname, "x-attempt-id": id, "x-deadline-ms": String(deadlineMs) },
            });
            const timer = setTimeout(() => {
                outgoing.destroy();
                finish(0, "no answer");
            }, patienceMs);
            outgoing.on("response", response => {
                const chunks = [];
                response.on("data", chunk => chunks.push(chunk));
                response.on("error", () => finish(0, "cut"));
                response.on("end", () => finish(response.statusCode, Buffer.concat(chunks).toString(), response.headers));
            });
            outgoing.on("error", error => finish(0, error.code ?? error.message));
            outgoing.end(body);
        });
    }

    async isReady() {
        return await new Promise(resolve => {
            const outgoing = sendRequest({
                host: this.ip,
                port: this.ports.ready,
                path: "/bilberrycroft/readiness",
                agent: false,
                timeout: 1_000,
            }, response => {
                response.resume();
                resolve(response.statusCode === 200);
            });
            outgoing.on("timeout", () => outgoing.destroy());
            outgoing.on("error", () => resolve(false));
            outgoing.on("close", () => resolve(false));
            outgoing.end();
        });
    }
}

/** Store, machines and the record of one run. */
export class Mesh {
    constructor(caseFolder) {
        this.recordFile = join(caseFolder, "record.txt");
        this.folder = mkdtempSync(join(tmpdir(), "review-"));
        this.lines = [];
        this.machines = [];
        this.startedAt = performance.now();
        this.store = new StoreStandin();
        this.network = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
        this.record = (event, fields = {}) => {
            const at = (performance.now() - this.startedAt) / 1_000;
            this.lines.push(`${at.toFixed(3)} ${event} ${JSON.stringify(fields)}`);
        };
    }

    /** Starts the store with a configuration. */
    async start(configuration) {
        const names = ["inbound", "app", "ready", "outbound", "control", "internal"];
        const free = await findFreePorts("127.0.0.1", names.length);
        this.ports = Object.fromEntries(names.map((name, index) => [name, free[index]]));
        this.storeAddress = await this.store.start();
        this.writeConfiguration(configuration);
    }

    writeConfiguration(configuration) {
        this.store.put("config", "main", configuration);
        this.record("configuration-acknowledged", { version: configuration.Version });
    }

    /** Starts a machine. */
    async addMachine({ service, zone = "z1", slots = 12, handle, storeAddress = this.storeAddress }) {
        const number = this.machines.length + 1;
        const ip = `${this.network}.${number}`;
        const { ports, folder, record } = this;
        const endpoint = new Endpoint({ id: `i-${number}`, service, ip, ports, zone, slots, handle, record });
        await endpoint.start();
        const machine = new Machine({ name: `sidecar-${zone}-${number}`, ip, ports, zone, service, storeAddress, folder, endpoint });
        this.machines.push(machine);
        return machine;
    }

    /** Resolves when all machines are ready and know each other. */
    async settle() {
        const endsAt = performance.now() + startTimeoutMs;
        const missing = new Set(this.machines);
        while (missing.size > 0) {
            if (performance.now() > endsAt) {
                throw new Error("the machines did not become ready");
            }
            for (const machine of missing) {
                if (await machine.isReady() && await machine.endpoint.sendHeartbeat()) {
                    missing.delete(machine);
                }
            }
            await sleep(pollIntervalMs);
        }
        // The table of nodes reaches every node within its batch delay and the next watch.
        await sleep(3_000);
    }

    /** Sends a request through a machine and records it with its answer. */
    async send(machine, options) {
        const { id, path } = options;
        this.record("sent", { id, path, machine: machine.name });
        const answer = await machine.send(options);
        this.record("answered", { id, status: answer.status, elapsedMs: Math.round(answer.elapsedMs) });
        return answer;
    }

    /** Ends all processes and writes the record. */
    async finish(summary) {
        this.record("result", summary);
        this.machines.forEach(machine => {
            machine.isFinished = true;
            machine.child.kill("SIGKILL");
        });
        await Promise.all(this.machines.map(machine => machine.whenEnded()));
        await Promise.all(this.machines.map(machine => machine.endpoint.crash()));
        await this.store.stop();
        writeFileSync(this.recordFile, `${this.lines.join("\n")}\n`);
        if (process.env.KEEP === undefined) {
            rmSync(this.folder, { recursive: true, force: true });
        }
    }
}

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(play) {
    const caseFolder = process.argv[2];
    const hasTrouble = process.env.TROUBLE !== "0";
    const mesh = new Mesh(caseFolder);
    let exitCode = 2;
    const abort = reason => void mesh.finish({ error: reason }).then(() => process.exit(2));
    process.on("SIGTERM", () => abort("terminated"));
    process.on("SIGINT", () => abort("interrupted"));
    setTimeout(() => abort("time limit"), timeLimitMs).unref();
    try {
        const { broken, ...summary } = await play(mesh, hasTrouble);
        exitCode = broken ? 1 : 0;
        await mesh.finish({ broken, hasTrouble, ...summary });
        console.log(JSON.stringify({ broken, hasTrouble, ...summary }));
    }
    catch (error) {
        console.error(error);
        await mesh.finish({ error: String(error) });
    }
    process.exit(exitCode);
}
