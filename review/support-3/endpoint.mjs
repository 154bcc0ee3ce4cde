/**
 * Stand-in for an application endpoint, as PROTOCOL.md describes it: slots and a short queue, the echo of the attempt's
 * id, a signature, 421 for another instance, heartbeats, calls of its own, and the limits and notices of the news page.
 */
import { createServer, request as sendRequest } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

const queuedPerSlot = 4;
const callTimeoutMs = 1_000;

export class Endpoint {
    constructor({ id, service, ip, ports, slots = 4, workMs = 10, version = "v1", zone, record, heartbeatS = 1.5 }) {
        Object.assign(this, { id, service, ip, ports, slots, workMs, version, zone, record, heartbeatS });
        this.born = Date.now();
        this.state = "ready";
        this.sequence = 0;
        this.running = 0;
        this.waiting = [];
        this.extraHeaders = {};
        /** Whether a request that runs ends when its connection closes. */
        this.dropsOnClose = true;
        /** Calls of its own that a request makes: `undefined`, or a function of the request. */
        this.runInner = undefined;
    }

    get address() {
        return `${this.ip}:${this.ports.app}`;
    }

    async start() {
        this.server = createServer((request, response) => void this.handle(request, response));
        this.server.keepAliveTimeout = 10_000;
        await new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(this.ports.app, this.ip, resolve);
        });
        this.beatTimer = setInterval(() => void this.sendHeartbeat(), this.heartbeatS * 1_000);
        return this;
    }

    stop() {
        clearInterval(this.beatTimer);
        this.server?.close();
        this.server?.closeAllConnections();
    }

    sendHeartbeat() {
        const { service, address, zone, version, slots, state, born } = this;
        return this.report("Heartbeat", {
            Service: service,
            Address: address,
            Zone: zone,
            Version: version,
            Slots: slots,
            State: state,
            ColdLeftS: 0,
            Sequence: ++this.sequence,
            born,
        });
    }

    deregister() {
        return this.report("Deregister", { born: this.born });
    }

    /** Resolves to the status of the answer, 0 without one. */
    report(kind, body) {
        const path = `/bilberrycroft/Instances.${kind}/${this.id}`;
        return new Promise(resolve => {
            const outgoing = sendRequest({ host: this.ip, port: this.ports.control, method: "POST", path, agent: false });
            outgoing.setTimeout(callTimeoutMs, () => outgoing.destroy());
            outgoing.setHeader("content-type", "application/json");
            outgoing.on("error", () => resolve(0));
            outgoing.on("response", response => {
                response.resume();
                resolve(response.statusCode);
            });
            outgoing.end(JSON.stringify(body));
        });
    }

    async handle(request, response) {
        const chunks = [];
        try {
            for await (const chunk of request) {
                chunks.push(chunk);
            }
        }
        catch {
            return;
        }
        const { headers, method, url } = request;
        const id = headers["x-attempt-id"];
        const leaving = this.state === "draining" ? { "server-leaving": "1" } : {};
        const base = { "x-attempt-id": id ?? "", "x-instance-id": this.id, ...leaving, ...this.extraHeaders };
        if (headers["x-target-instance"] !== this.id) {
            response.writeHead(421, base).end();
            return;
        }
        if (id === undefined) {
            response.writeHead(400, { ...base, "x-not-executed": "1" }).end();
            return;
        }
        if (!await this.takeSlot()) {
            response.writeHead(503, { ...base, "x-not-executed": "1" }).end();
            return;
        }
        const run = { id, method, url, headers, body: Buffer.concat(chunks), isClosed: false };
        response.on("close", () => {
            run.isClosed = !response.writableFinished;
        });
        this.record("run", { id, endpoint: this.id, service: this.service, path: url, caller: headers["x-caller-service"], tenant: headers["x-tenant"] });
        const isGood = await this.work(run);
        this.freeSlot();
        if (run.isClosed) {
            return;
        }
        const body = `${this.id} ${url}`;
        response.writeHead(isGood ? 200 : 500, {
            ...base,
            "x-response-signature": `${this.id}.${id}`,
            "content-length": String(Buffer.byteLength(body)),
        });
        response.end(body);
    }

    /** Works until the time is over, the caller's deadline is reached or the connection has closed. */
    async work(run) {
        const endsAt = performance.now() + (typeof this.workMs === "function" ? this.workMs(run) : this.workMs);
        const deadlineAt = performance.now() + Number(run.headers["x-deadline-ms"] ?? 600_000);
        const inner = this.runInner === undefined ? Promise.resolve(true) : this.runInner(this, run, deadlineAt);
        while (performance.now() < Math.min(endsAt, deadlineAt) && !(run.isClosed && this.dropsOnClose)) {
            await sleep(Math.min(10, Math.max(1, endsAt - performance.now())));
        }
        return await inner && performance.now() < deadlineAt;
    }

    takeSlot() {
        if (this.running < this.slots) {
            this.running++;
            return Promise.resolve(true);
        }
        if (this.waiting.length >= queuedPerSlot * this.slots) {
            return Promise.resolve(false);
        }
        return new Promise(resolve => this.waiting.push(resolve));
    }

    freeSlot() {
        const next = this.waiting.shift();
        if (next === undefined) {
            this.running--;
        }
        else {
            next(true);
        }
    }
}
