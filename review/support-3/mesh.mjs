/**
 * Starts a small deployment on loopback addresses: the store, and machines with a sidecar process and an endpoint each.
 * The sidecars run with the command of the deploy file.
 */
import { spawn } from "node:child_process";
import { createWriteStream, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { Endpoint } from "./endpoint.mjs";
import { Store } from "./store.mjs";

export const hostname = "hulo84.example";
const ports = { inbound: 18_300, app: 18_301, ready: 18_302, outbound: 18_304, control: 18_306, internal: 17_620 };
const claimPort = 18_399;
const startTimeoutMs = 20_000;

/** Thrown where the case cannot run, which says nothing about the rule. */
export class NotRunError extends Error {}

/** One line of a route in the operator's format. */
export function createRoute({ name, prefix, type, service, allowAnonymous, ...limits }) {
    const { timeoutS = 2, attempts = 2, latencyS = 0.4, priority = 1 } = limits;
    return {
        Name: name,
        RouteType: type,
        TargetLatencyS: latencyS,
        Priority: priority,
        ...allowAnonymous === undefined ? {} : { AllowAnonymous: allowAnonymous },
        Match: { PathPrefix: prefix },
        Action: { Service: service, TimeoutS: timeoutS, Attempts: attempts },
    };
}

export function createConfiguration({ version, routes, services, tenants }) {
    return {
        Version: version,
        Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 67_108_864, HeaderTimeoutS: 3, IdleTimeoutS: 15 },
        ...tenants === undefined ? {} : { Tenants: tenants },
        Listeners: [{ Hostname: hostname, RuleSet: routes }],
        Clusters: services.map(name => ({ Name: name, HealthPath: "/health", MaxConnections: 130, Protocol: "h1", Tls: false })),
    };
}

/** Claims a loopback network that nothing else listens on. */
async function claimNetwork() {
    for (let attempt = 0; attempt < 100; attempt++) {
        const network = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
        const claim = createServer();
        const isFree = await new Promise(resolve => {
            claim.once("error", () => resolve(false));
            claim.listen(claimPort, `${network}.254`, () => resolve(true));
        });
        if (isFree) {
            return { network, claim };
        }
    }
    throw new NotRunError("no loopback network is free");
}

function readCommand() {
    const run = /^run = "(.*)"$/m.exec(readFileSync("deploy/system.toml", "utf8"))?.[1];
    if (run === undefined) {
        throw new NotRunError("the deploy file names no command");
    }
    const [program, ...words] = run.split(" ");
    return { program: program === "node" ? process.execPath : program, words };
}

export class Mesh {
    constructor({ folder, settings = {}, keepsLogs = process.env.KEEP_LOGS }) {
        this.settings = settings;
        this.keepsLogs = keepsLogs;
        this.machines = [];
        this.store = new Store();
        this.startedAt = performance.now();
        this.entries = [];
        this.recordFile = createWriteStream(join(folder, "record.txt"));
        this.record = (event, fields) => this.write(event, fields);
    }

    write(event, fields = {}) {
        const at = (performance.now() - this.startedAt) / 1_000;
        this.entries.push({ at, event, ...fields });
        this.recordFile.write(`${at.toFixed(3)} ${event} ${JSON.stringify(fields)}\n`);
    }

    /** Seconds since the start. */
    get now() {
        return (performance.now() - this.startedAt) / 1_000;
    }

    async start(configuration) {
        const { network, claim } = await claimNetwork();
        this.network = network;
        this.claim = claim;
        this.folder = mkdtempSync(join(tmpdir(), "bilberrycroft-review-"));
        this.command = readCommand();
        await this.store.start(`${network}.1`);
        this.store.put("config", "main", configuration);
    }

    /** Starts a machine: its endpoint and its sidecar process. */
    async addMachine({ service, zone = "plateau", ...endpointOptions }) {
        const number = this.machines.length + 1;
        const ip = `${this.network}.${10 + number}`;
        const name = `sidecar-${zone}-${number}`;
        const endpoint = new Endpoint({ id: `i-${number}`, service, ip, ports, zone, record: this.record, ...endpointOptions });
        const machine = { name, number, ip, zone, service, endpoint, child: undefined, hasEnded: true };
        this.machines.push(machine);
        writeFileSync(this.settingsFile(machine), this.formatSettings(machine));
        await endpoint.start();
        this.startSidecar(machine);
        return machine;
    }

    settingsFile({ name }) {
        return join(this.folder, `${name}.conf`);
    }

    formatSettings({ name, ip, zone, service }) {
        const fields = {
            Node: name,
            Role: "sidecar",
            MachineClass: "sidecar",
            Serves: "sidecar",
            Ip: ip,
            Zone: zone,
            Region: "dakar",
            "Listen.Inbound": `${ip}:${ports.inbound}`,
            "Listen.Outbound": `${ip}:${ports.outbound}`,
            "Listen.Ready": `${ip}:${ports.ready}`,
            "Listen.Control": `${ip}:${ports.control}`,
            InternalPorts: `${ports.internal},${ports.internal + 15}`,
            Seeds: "",
            Bootstrap: "true",
            "Limits.CpuShare": "0.54",
            "Limits.Cores": "1",
            "Limits.MemoryMb": "200",
            "Limits.MaxFds": "4100",
            "Limits.LinkMbps": "1000.0",
            HeartbeatS: "1.5",
            Contracts: "base,drain,config,cost,retry,recover,platform",
            "Bounds.ContactS": "3",
            "Bounds.DrainS": "2",
            "Bounds.GraceS": "6",
            "Bounds.ConfigApplyS": "2",
            "Bounds.RetryBudgetRatio": "0.2",
            "Bounds.BudgetWindowS": "10",
            "Bounds.BudgetSlack": "62",
            AppAddr: `${ip}:${ports.app}`,
            Service: service,
            "Platform.Address": this.store.address,
            "Platform.form": "objects",
            ...this.settings,
        };
        return Object.entries(fields).map(([field, value]) => `${field}=${value}\n`).join("");
    }

    startSidecar(machine) {
        if (this.isStopped) {
            throw new NotRunError("the case is ending");
        }
        const { program, words } = this.command;
        const log = this.keepsLogs === undefined ? "ignore" : openSync(join(this.keepsLogs, `${machine.name}.log`), "a");
        const child = spawn(program, words, {
            env: { PATH: process.env.PATH, BILBERRYCROFT_BOOT: this.settingsFile(machine) },
            stdio: ["ignore", log, log],
        });
        machine.child = child;
        machine.hasEnded = false;
        child.once("exit", (code, signal) => {
            machine.hasEnded = true;
            this.record("process-ended", { machine: machine.name, code, signal });
        });
        this.record("process-started", { machine: machine.name });
    }

    /** Kills the sidecar; the platform starts it again after a short delay. */
    async killAndRestart(machine, delayMs = 500) {
        this.record("kill", { machine: machine.name });
        machine.child.kill("SIGKILL");
        await sleep(delayMs);
        this.startSidecar(machine);
    }

    /** Resolves when all nodes are ready and have their endpoints; rejects if that takes too long. */
    async waitUntilReady(machines = this.machines) {
        const endsAt = performance.now() + startTimeoutMs;
        const waiting = new Set(machines);
        while (waiting.size > 0) {
            for (const machine of waiting) {
                if (await isReady(machine.ip) && await machine.endpoint.sendHeartbeat() === 200) {
                    waiting.delete(machine);
                }
            }
            if (performance.now() > endsAt) {
                throw new NotRunError(`not ready: ${[...waiting].map(({ name }) => name).join(" ")}`);
            }
            await sleep(50);
        }
    }

    /** Ends all that the case has started; further calls wait for the same. */
    stop() {
        this.stopping ??= this.end();
        return this.stopping;
    }

    async end() {
        this.isStopped = true;
        this.machines.forEach(({ endpoint, child }) => {
            endpoint.stop();
            child?.kill("SIGCONT");
            child?.kill("SIGKILL");
        });
        for (let round = 0; round < 100 && this.machines.some(({ hasEnded }) => !hasEnded); round++) {
            await sleep(20);
        }
        this.store.stop();
        this.claim?.close();
        rmSync(this.folder ?? "", { recursive: true, force: true });
        await new Promise(resolve => this.recordFile.end(resolve));
    }
}

export const outboundPort = ports.outbound;
export const metricsPort = ports.internal;

/** Whether the node answers the platform's readiness question with 200. */
export function isReady(ip) {
    return new Promise(resolve => {
        const question = get({ host: ip, port: ports.ready, path: "/bilberrycroft/readiness", agent: false, timeout: 1_000 });
        question.on("timeout", () => question.destroy());
        question.on("error", () => resolve(false));
        question.on("response", response => {
            response.resume();
            resolve(response.statusCode === 200);
        });
    });
}

/** The driver's code for a broken rule; `run.sh` takes any other but 0 for a case that couldn't run. */
const brokenCode = 11;

/** Runs a case and exits: `brokenCode` if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(mesh, play) {
    let code = 2;
    const abort = error => {
        console.log(`the case could not run: ${error?.stack ?? error}`);
        void mesh.stop().finally(() => process.exit(2));
    };
    // The limit of the script's time ends the processes of the case too.
    for (const event of ["SIGTERM", "SIGINT", "uncaughtException", "unhandledRejection"]) {
        process.once(event, abort);
    }
    try {
        const broken = await play(mesh);
        mesh.record("result", { broken });
        console.log(broken.length === 0 ? "the rule held" : `the rule was broken: ${broken.join("; ")}`);
        code = broken.length === 0 ? 0 : brokenCode;
    }
    catch (error) {
        console.log(`the case could not run: ${error.stack}`);
    }
    await mesh.stop();
    process.exit(code);
}
