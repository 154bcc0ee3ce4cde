/**
 * Nodes, targets and callers of the node's tests: real sockets on loopback, a store in memory, targets written by hand.
 */
import { once } from "node:events";
import {
    createServer,
    type IncomingHttpHeaders,
    type IncomingMessage,
    request as sendRequest,
    type ServerResponse,
} from "node:http";
import { type AddressInfo, connect } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import { TargetState } from "@bilberrycroft/coordination.membership";
import { LogLevel } from "@bilberrycroft/core.logger";
import {
    currentConfigurationKey,
    MemoryStore,
    type Store,
    StoreOutcomeKind,
    WriteConditionKind,
} from "@bilberrycroft/protocol.store";
import { createSnapshot } from "@bilberrycroft/state.snapshots";
import { type NodeSettings, nodeSettingsSchema, type RunningNode, startNode } from "../src";

const loopback = "127.0.0.1";
const pollMs = 10;
// Well under the 3 s after which a node takes a silent target for gone.
const announceMs = 200;

/** Rules of the tests: one service with targets, one without, and a route for each case. */
export const testRules = [
    "tenant shop  # Test",
    "service svc slots=8 connections=50  # Test",
    "service empty  # Test",
    "route ready path=/ready to=svc class=short timeout=10s repeat=yes  # Test",
    "route read path=/read to=svc class=short timeout=20s repeat=yes  # Test",
    "route write path=/write to=svc class=short timeout=20s repeat=no  # Test",
    "route late path=/late to=svc class=short timeout=2s repeat=yes  # Test",
    "route lateonce path=/lateonce to=svc class=short timeout=2s repeat=no  # Test",
    "route nowhere path=/nowhere to=empty class=short timeout=20s repeat=yes  # Test",
    "route limited path=/limited to=svc class=short timeout=20s repeat=yes rate=1/s  # Test",
    "route private path=/private to=svc class=short timeout=20s repeat=yes tenants=shop  # Test",
].join("\n");

/** Waits for a condition; the test's timeout is the only bound. */
export async function until(condition: () => boolean | Promise<boolean>): Promise<void> {
    while (!await condition()) {
        await wait(pollMs);
    }
}

/** Store that holds the test rules as version 1. */
export async function createTestStore(text = testRules): Promise<MemoryStore> {
    const store = new MemoryStore();
    await acceptVersion(store, { version: 1, text });
    return store;
}

/** Writes a version as the operators' client does. */
export async function acceptVersion(
    store: Store,
    options: { readonly version: number; readonly text: string },
): Promise<void> {
    const { version, text } = options;
    const snapshot = createSnapshot({
        version,
        parent: version - 1,
        text,
        changeId: `change-${version}`,
        operator: "test",
        acceptedAt: version,
    });
    const known = await store.read(currentConfigurationKey);
    const condition = known.kind === StoreOutcomeKind.Done
        ? { kind: WriteConditionKind.Revision as const, revision: known.object.revision }
        : { kind: WriteConditionKind.Absent as const };
    await store.write(currentConfigurationKey, JSON.stringify(snapshot), condition);
}

/** Things to end after a test, in reverse order. */
export class Cleanup {
    private readonly actions: (() => unknown)[] = [];

    add(action: () => unknown): void {
        this.actions.push(action);
    }

    async run(): Promise<void> {
        for (const action of this.actions.splice(0).reverse()) {
            await action();
        }
    }
}

/** Starts a node in this process. */
export async function startTestNode(
    cleanup: Cleanup,
    store: Store,
    settings: Partial<Record<keyof NodeSettings, unknown>> = {},
): Promise<RunningNode> {
    const node = await startNode({
        seed: 7,
        store,
        settings: nodeSettingsSchema.parse({
            host: "h1",
            zone: "z1",
            region: "r1",
            control: { host: loopback, port: 0 },
            calls: { host: loopback, port: 0 },
            store: `${loopback}:1`,
            logLevel: LogLevel.Silent,
            ...settings,
        }),
    });
    let ended: Promise<void> | undefined;
    cleanup.add(() => (ended ??= node.kill()));
    return node;
}

/** A request that a target received whole. */
export interface SeenCall {
    readonly path: string;
    readonly headers: IncomingHttpHeaders;
    readonly body: string;
}

/** Behaviour of a target for each call. */
export type Behaviour = (response: ServerResponse, call: SeenCall, seen: readonly SeenCall[]) => unknown;

/** A target written by hand. */
export interface FakeTarget {
    readonly id: string;
    readonly address: string;
    /** Calls that reached the target, without those that wait for it to be in use. */
    readonly seen: SeenCall[];
    behaviour: Behaviour;
    announce(state: TargetState): Promise<void>;
    /** Ends all connections at once and refuses new ones, as a crash does. */
    crash(): void;
}

/** Responds with its identifier and the call's body. */
export const echo: Behaviour = (response, call) => response.end(`done ${call.path} ${call.body}`);

/** Starts a target that announces itself to the node; resolves when the node sends calls to it. */
export async function startFakeTarget(
    cleanup: Cleanup,
    node: RunningNode,
    options: { readonly id?: string; readonly behaviour?: Behaviour } = {},
): Promise<FakeTarget> {
    const seen: SeenCall[] = [];
    let ready = false;
    const server = createServer(async (request, response) => {
        const body = await readAll(request);
        const call = { path: request.url ?? "", headers: request.headers, body };
        if (call.path === "/ready") {
            ready = true;
            response.end();
            return;
        }
        seen.push(call);
        target.behaviour(response, call, seen);
    });
    server.listen(0, loopback);
    await once(server, "listening");
    const address = `${loopback}:${(server.address() as AddressInfo).port}`;
    const id = options.id ?? "t1";
    let state = TargetState.Ready;
    const announce = async (): Promise<void> => {
        const body = JSON.stringify({ id, service: "svc", address, state, slots: 8, connections: 50 });
        await send(node.controlAddress, "/announce", { method: "POST", body }).catch(() => undefined);
    };
    const timer = setInterval(() => void announce(), announceMs);
    const crash = (): void => {
        clearInterval(timer);
        server.close();
        server.closeAllConnections();
    };
    cleanup.add(crash);
    const target: FakeTarget = {
        id,
        address,
        seen,
        behaviour: options.behaviour ?? echo,
        announce: next => {
            state = next;
            return announce();
        },
        crash,
    };
    await announce();
    await until(async () => {
        await send(node.callAddress, "/ready").catch(() => undefined);
        return ready;
    });
    return target;
}

async function readAll(request: IncomingMessage): Promise<string> {
    let body = "";
    for await (const chunk of request) {
        body += String(chunk);
    }
    return body;
}

/** A response as a caller sees it. */
export interface SeenResponse {
    readonly status: number;
    readonly outcome: string | undefined;
    readonly reason: string | undefined;
    readonly headers: IncomingHttpHeaders;
    readonly body: string;
    /** Whether the response arrived whole. */
    readonly complete: boolean;
}

/** What a caller sends. */
export interface TestRequest {
    readonly method?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
}

/** Sends a request on a connection of its own; rejects when the connection ends before the head of a response. */
export function send(address: string, path: string, options: TestRequest = {}): Promise<SeenResponse> {
    const { method = "GET", headers = {}, body = "" } = options;
    return new Promise((resolve, reject) => {
        const request = sendRequest(`http://${address}${path}`, { method, headers, agent: false });
        request.on("error", reject);
        request.on("response", message => {
            let text = "";
            message.on("error", () => undefined);
            message.on("data", (chunk: Buffer) => {
                text += chunk.toString();
            });
            message.on("close", () => resolve({
                status: message.statusCode ?? 0,
                outcome: message.headers["x-mesh-outcome"] as string | undefined,
                reason: message.headers["x-mesh-reason"] as string | undefined,
                headers: message.headers,
                body: text,
                complete: message.complete,
            }));
        });
        request.end(body);
    });
}

/** Sends raw bytes and returns all that comes back until the connection ends or `enough` holds. */
export async function sendRaw(
    address: string,
    bytes: string | Buffer,
    enough: (received: string) => boolean = () => false,
): Promise<string> {
    const separator = address.lastIndexOf(":");
    const socket = connect({ host: address.slice(0, separator), port: Number(address.slice(separator + 1)) });
    let received = "";
    socket.on("error", () => undefined);
    socket.on("data", chunk => {
        received += chunk.toString("latin1");
        if (enough(received)) {
            socket.destroy();
        }
    });
    socket.write(bytes);
    await once(socket, "close");
    return received;
}
