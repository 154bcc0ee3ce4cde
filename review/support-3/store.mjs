/**
 * Stand-in for the platform's metadata store, as PROTOCOL.md describes it: objects with revisions, conditional writes,
 * lists in pages, and watches. It can be away, and come back from an earlier copy (news page, `Store-Era`).
 */
import { createServer } from "node:http";

const pageSize = 500;
const basePath = "/bilberrycroft/objects/";

export class Store {
    constructor() {
        this.objects = new Map();
        this.events = [];
        this.revision = 100;
        this.era = 1;
        this.isAway = false;
        this.watches = new Set();
        this.sockets = new Set();
    }

    /** Listens on a free port of the address. */
    async start(host) {
        this.server = createServer((request, response) => void this.handle(request, response));
        this.server.keepAliveTimeout = 60_000;
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.on("close", () => this.sockets.delete(socket));
        });
        await new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(0, host, resolve);
        });
        this.address = `${host}:${this.server.address().port}`;
    }

    stop() {
        this.closeConnections();
        this.server?.close();
    }

    /** The store is down: it resets what reaches it. */
    goAway() {
        this.isAway = true;
        this.closeConnections();
    }

    comeBack() {
        this.isAway = false;
    }

    closeConnections() {
        this.watches.forEach(({ timer }) => clearTimeout(timer));
        this.watches.clear();
        this.sockets.forEach(socket => socket.destroy());
    }

    takeCopy() {
        const objects = new Map([...this.objects].map(([kind, byName]) => [kind, new Map(byName)]));
        return { objects, events: [...this.events], revision: this.revision };
    }

    /** Comes back from a copy: what was written since is gone, and its revisions are given out again. */
    comeBackFrom(copy) {
        this.objects = new Map([...copy.objects].map(([kind, byName]) => [kind, new Map(byName)]));
        this.events = [...copy.events];
        this.revision = copy.revision;
        this.era++;
        this.isAway = false;
    }

    /** The operator or an endpoint writes an object; the return is the acknowledgement. */
    put(kind, name, spec) {
        return this.write(kind, name, { Spec: spec, Status: this.get(kind, name)?.Status });
    }

    get(kind, name) {
        return this.objects.get(kind)?.get(name);
    }

    listNames(kind) {
        return [...this.objects.get(kind)?.keys() ?? []];
    }

    write(kind, name, { Spec, Status }) {
        const byName = this.objects.get(kind) ?? new Map();
        this.objects.set(kind, byName);
        const revision = ++this.revision;
        const Created = byName.get(name)?.Metadata.Created ?? revision;
        const Metadata = { Name: name, Revision: revision, Created, Finalizers: [], Deleting: false };
        const object = { Metadata, Spec, Status };
        byName.set(name, object);
        this.emit({ kind, revision, Object: object, Removed: false });
        return object;
    }

    emit(event) {
        this.events.push(event);
        for (const watch of [...this.watches].filter(({ kind }) => kind === event.kind)) {
            this.watches.delete(watch);
            clearTimeout(watch.timer);
            this.answerWatch(watch);
        }
    }

    async handle(request, response) {
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        if (this.isAway) {
            request.socket.destroy();
            return;
        }
        const url = new URL(request.url, "http://store");
        const [kind, name, part] = url.pathname.slice(basePath.length).split("/").map(decodeURIComponent);
        if (request.method === "GET") {
            this.read(response, { kind, name, query: url.searchParams });
            return;
        }
        const text = Buffer.concat(chunks).toString("utf8");
        const body = text === "" ? {} : JSON.parse(text);
        const { status, object } = this.change(request.method, { kind, name, part, body, query: url.searchParams });
        this.answer(response, status, object ?? {});
    }

    read(response, { kind, name, query }) {
        if (name !== undefined) {
            const object = this.get(kind, name);
            this.answer(response, object === undefined ? 404 : 200, object ?? {});
            return;
        }
        if (query.has("Watch")) {
            this.watch(response, { kind, after: Number(query.get("Watch")), waitMs: Number(query.get("WaitMs") ?? 0) });
            return;
        }
        const after = query.get("after") ?? "";
        const names = this.listNames(kind).filter(each => each > after).sort();
        const items = names.slice(0, pageSize).map(each => this.get(kind, each));
        this.answer(response, 200, { items, More: names.length > items.length, StoreRevision: this.revision });
    }

    watch(response, { kind, after, waitMs }) {
        if (after > this.revision) {
            this.answer(response, 410, {});
            return;
        }
        const watch = { kind, after, response };
        if (this.events.some(event => event.kind === kind && event.revision > after)) {
            this.answerWatch(watch);
            return;
        }
        watch.timer = setTimeout(() => {
            this.watches.delete(watch);
            this.answerWatch(watch);
        }, waitMs);
        this.watches.add(watch);
        response.on("close", () => {
            clearTimeout(watch.timer);
            this.watches.delete(watch);
        });
    }

    answerWatch({ kind, after, response }) {
        const events = this.events.filter(event => event.kind === kind && event.revision > after)
            .map(({ Object: object, Removed }) => ({ Object: object, Removed }));
        this.answer(response, 200, { events, StoreRevision: this.revision });
    }

    change(method, { kind, name, part, body, query }) {
        const key = name ?? body.Metadata?.Name;
        const existing = this.get(kind, key);
        if (method === "POST") {
            return existing === undefined
                ? { status: 201, object: this.write(kind, key, { Spec: body.Spec }) }
                : { status: 409, object: existing };
        }
        if (existing === undefined) {
            return { status: 404 };
        }
        const condition = query.get("Revision") ?? body.Metadata?.Revision;
        if (condition !== undefined && Number(condition) !== existing.Metadata.Revision) {
            return { status: 409, object: existing };
        }
        if (method === "DELETE") {
            this.objects.get(kind).delete(key);
            this.emit({ kind, revision: ++this.revision, Object: existing, Removed: true });
            return { status: 200, object: existing };
        }
        const changed = part === "status" ? { Status: body.Status } : { Spec: body.Spec };
        const next = { Spec: existing.Spec, Status: existing.Status, ...changed };
        const isSame = JSON.stringify([next.Spec, next.Status]) === JSON.stringify([existing.Spec, existing.Status]);
        return { status: 200, object: isSame ? existing : this.write(kind, key, next) };
    }

    answer(response, status, body) {
        if (response.destroyed) {
            return;
        }
        response.writeHead(status, { "content-type": "application/json", "store-era": String(this.era) });
        response.end(JSON.stringify(body));
    }
}
