/**
 * Nodes, fake targets and callers for the node's tests, on loopback sockets with an in-memory store.
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
// Well below the 3 s without an announcement after which a node considers a target gone.
const announceIntervalMs = 200;

/** One service with targets, one without, and a route for each test case. */
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

/** Polls until the condition holds; bounded only by the timeout of the test. */
export async function waitUntil(condition: () => boolean | Promise<boolean>): Promise<void> {
    while (!await condition()) {
        await wait(pollMs);
    }
}

/** Creates a store with `text` as accepted version 1. */
export async function createTestStore(text = testRules): Promise<MemoryStore> {
    const store = new MemoryStore();
    await acceptVersion(store, { version: 1, text });
    return store;
}

/** Writes a version to the store as the operator client does. */
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
    const existing = await store.read(currentConfigurationKey);
    const condition = existing.kind === StoreOutcomeKind.Done
        ? { kind: WriteConditionKind.Revision as const, revision: existing.object.revision }
        : { kind: WriteConditionKind.Absent as const };
    await store.write(currentConfigurationKey, JSON.stringify(snapshot), condition);
}

/** Cleanup actions of a test; they run in reverse order. */
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

/** Starts a node in the test process. */
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

/** A request that a target received completely. */
export interface ReceivedCall {
    readonly path: string;
    readonly headers: IncomingHttpHeaders;
    readonly body: string;
}

/** How a fake target responds to a call; `receivedCalls` includes this call. */
export type TargetBehaviour = (
    response: ServerResponse,
    call: ReceivedCall,
    receivedCalls: readonly ReceivedCall[],
) => unknown;

export interface FakeTarget {
    readonly id: string;
    readonly address: string;
    /** Calls that reached the target, except the `/ready` calls of `startFakeTarget`. */
    readonly receivedCalls: ReceivedCall[];
    behaviour: TargetBehaviour;
    announce(state: TargetState): Promise<void>;
    /** Closes all connections abruptly and refuses new ones, as a crash does. */
    crash(): void;
}

/** Responds with the path and body of the call. */
export const echo: TargetBehaviour = (response, call) => response.end(`done ${call.path} ${call.body}`);

/** Starts a target that announces itself to the node; resolves once the node routes calls to it. */
export async function startFakeTarget(
    cleanup: Cleanup,
    node: Pick<RunningNode, "callAddress" | "controlAddress">,
    options: { readonly id?: string; readonly behaviour?: TargetBehaviour; readonly slots?: number } = {},
): Promise<FakeTarget> {
    const receivedCalls: ReceivedCall[] = [];
    let ready = false;
    const server = createServer(async (request, response) => {
        const body = await readBody(request);
        const call = { path: request.url ?? "", headers: request.headers, body };
        if (call.path === "/ready") {
            ready = true;
            response.end();
            return;
        }
        receivedCalls.push(call);
        target.behaviour(response, call, receivedCalls);
    });
    server.listen(0, loopback);
    await once(server, "listening");
    const address = `${loopback}:${(server.address() as AddressInfo).port}`;
    const id = options.id ?? "t1";
    let state = TargetState.Ready;
    const announce = async (): Promise<void> => {
        const body = JSON.stringify({ id, service: "svc", address, state, slots: options.slots ?? 8, connections: 50 });
        await send(node.controlAddress, "/announce", { method: "POST", body }).catch(() => undefined);
    };
    const timer = setInterval(() => void announce(), announceIntervalMs);
    const crash = (): void => {
        clearInterval(timer);
        server.close();
        server.closeAllConnections();
    };
    cleanup.add(crash);
    const target: FakeTarget = {
        id,
        address,
        receivedCalls,
        behaviour: options.behaviour ?? echo,
        announce: next => {
            state = next;
            return announce();
        },
        crash,
    };
    await announce();
    await waitUntil(async () => {
        await send(node.callAddress, "/ready").catch(() => undefined);
        return ready;
    });
    return target;
}

async function readBody(request: IncomingMessage): Promise<string> {
    let body = "";
    for await (const chunk of request) {
        body += String(chunk);
    }
    return body;
}

/** A response as the caller receives it. */
export interface ReceivedResponse {
    readonly status: number;
    readonly outcome: string | undefined;
    readonly reason: string | undefined;
    readonly headers: IncomingHttpHeaders;
    readonly body: string;
    /** Whether the response arrived completely. */
    readonly complete: boolean;
}

export interface TestRequest {
    readonly method?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
}

/** Sends a request on a new connection; rejects if the connection closes before the head of a response. */
export function send(address: string, path: string, options: TestRequest = {}): Promise<ReceivedResponse> {
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

/** Sends raw bytes and returns all received data until the connection closes or `isComplete` returns true. */
export async function sendRaw(
    address: string,
    bytes: string | Buffer,
    isComplete: (received: string) => boolean = () => false,
): Promise<string> {
    const separator = address.lastIndexOf(":");
    const socket = connect({ host: address.slice(0, separator), port: Number(address.slice(separator + 1)) });
    let received = "";
    socket.on("error", () => undefined);
    socket.on("data", chunk => {
        received += chunk.toString("latin1");
        if (isComplete(received)) {
            socket.destroy();
        }
    });
    socket.write(bytes);
    await once(socket, "close");
    return received;
}
