/**
 * Handles the requests of the store API. Validates each request, calls the store and sends the outcome.
 */
import { parseJson } from "@bilberrycroft/core.json";
import type { IncomingMessage, ServerResponse } from "node:http";
import {
    maxObjectBytes,
    maxWatchWaitMs,
    type MemoryStore,
    objectKeySchema,
    objectPrefixSchema,
    validateValue,
    storeFaultSchema,
    type WriteCondition,
    WriteConditionKind,
} from "@bilberrycroft/protocol.store";
import { BodyOutcomeKind, readBody } from "@bilberrycroft/transport.calls";
import { z } from "zod";
import {
    respondToList,
    respondToRead,
    respondToWatch,
    respondToWrite,
    respondWithJson,
    respondWithReason,
    StoreStatus,
} from "./responses";

const objectsPath = "/objects";
const objectPathPrefix = "/objects/";
const watchPathPrefix = "/watch/";
const maxRevisionLength = 64;
const watchQuerySchema = z.object({
    after: z.string().min(1).max(maxRevisionLength).optional(),
    wait: z.coerce.number().int().min(0).max(maxWatchWaitMs),
});

interface HandlerContext {
    readonly store: MemoryStore;
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly url: URL;
}

/** Handles one request of the API. */
export async function handleStoreRequest(
    store: MemoryStore,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    const base = "http://store";
    if (!URL.canParse(request.url ?? "", base)) {
        return respondWithReason(response, StoreStatus.BadRequest, "malformed URL");
    }
    const call: HandlerContext = { store, request, response, url: new URL(request.url ?? "", base) };
    const path = call.url.pathname;
    if (path === objectsPath) {
        return handleList(call);
    }
    if (path.startsWith(objectPathPrefix)) {
        return handleObject(call, path.slice(objectPathPrefix.length));
    }
    if (path.startsWith(watchPathPrefix)) {
        return handleWatch(call, path.slice(watchPathPrefix.length));
    }
    return handleControl(call, path);
}

async function handleList(call: HandlerContext): Promise<void> {
    const prefix = objectPrefixSchema.safeParse(call.url.searchParams.get("prefix") ?? "");
    if (call.request.method !== "GET") {
        return refuseMethod(call);
    }
    if (!prefix.success) {
        return respondWithReason(call.response, StoreStatus.BadRequest, "malformed prefix");
    }
    respondToList(call.response, await call.store.list(prefix.data));
}

async function handleObject(call: HandlerContext, key: string): Promise<void> {
    if (!objectKeySchema.safeParse(key).success) {
        return respondWithReason(call.response, StoreStatus.BadRequest, "malformed key");
    }
    switch (call.request.method) {
        case "GET":
            return respondToRead(call.response, await call.store.read(key));
        case "PUT":
            return handleWrite(call, key);
        case "DELETE":
            return handleRemoval(call, key);
        default:
            return refuseMethod(call);
    }
}

async function handleWrite(call: HandlerContext, key: string): Promise<void> {
    const condition = parseWriteCondition(call.request);
    if (condition === undefined) {
        return refuseCondition(call);
    }
    const body = await readBody(call.request, maxObjectBytes);
    switch (body.kind) {
        case BodyOutcomeKind.Truncated:
            call.response.destroy();
            return;
        case BodyOutcomeKind.TooLarge:
            return respondWithReason(call.response, StoreStatus.PayloadTooLarge, `over ${maxObjectBytes} bytes`);
        case BodyOutcomeKind.Complete: {
            const value = body.body.toString("utf8");
            const refusal = validateValue(value);
            return refusal === undefined
                ? respondToWrite(call.response, await call.store.write(key, value, condition))
                : respondWithReason(call.response, StoreStatus.BadRequest, refusal.reason);
        }
    }
}

async function handleRemoval(call: HandlerContext, key: string): Promise<void> {
    const condition = parseWriteCondition(call.request);
    if (condition?.kind !== WriteConditionKind.Revision) {
        return refuseCondition(call);
    }
    respondToWrite(call.response, await call.store.remove(key, condition.revision));
}

async function handleWatch(call: HandlerContext, key: string): Promise<void> {
    const query = watchQuerySchema.safeParse(Object.fromEntries(call.url.searchParams));
    if (call.request.method !== "GET") {
        return refuseMethod(call);
    }
    if (!query.success || !objectKeySchema.safeParse(key).success) {
        return respondWithReason(call.response, StoreStatus.BadRequest, "malformed watch");
    }
    // If the client disconnects, the watch must not stay in the store until its wait ends.
    const disconnect = new AbortController();
    call.response.on("close", () => disconnect.abort());
    const { after, wait } = query.data;
    respondToWatch(call.response, await call.store.watch({ key, after, waitMs: wait, signal: disconnect.signal }));
}

async function handleControl(call: HandlerContext, path: string): Promise<void> {
    if (path === "/calls" && call.request.method === "GET") {
        return respondWithJson(call.response, StoreStatus.Ok, JSON.stringify(call.store.counts()));
    }
    if (path === "/faults" && call.request.method === "PUT") {
        return handleFault(call);
    }
    respondWithReason(call.response, StoreStatus.NotFound, "no such path");
}

async function handleFault(call: HandlerContext): Promise<void> {
    const maxFaultBytes = 1_000;
    const body = await readBody(call.request, maxFaultBytes);
    const fault = storeFaultSchema.safeParse(body.kind === BodyOutcomeKind.Complete ? parseJson(body.body.toString("utf8")) : undefined);
    if (!fault.success) {
        return respondWithReason(call.response, StoreStatus.BadRequest, z.prettifyError(fault.error));
    }
    call.store.inject(fault.data);
    call.response.writeHead(StoreStatus.NoContent);
    call.response.end();
}

/** Exactly one condition is required, because an unconditional write could overwrite the change of another operator. */
function parseWriteCondition(request: IncomingMessage): WriteCondition | undefined {
    const match = request.headers["if-match"];
    const noneMatch = request.headers["if-none-match"];
    if (match === undefined) {
        return noneMatch === "*" ? { kind: WriteConditionKind.Absent } : undefined;
    }
    const revision = /^"([^"]{1,64})"$/.exec(match)?.[1];
    return revision === undefined || noneMatch !== undefined
        ? undefined
        : { kind: WriteConditionKind.Revision, revision };
}

function refuseCondition(call: HandlerContext): void {
    call.request.resume();
    respondWithReason(call.response, StoreStatus.PreconditionRequired, "If-Match or If-None-Match: * is required");
}

function refuseMethod(call: HandlerContext): void {
    call.request.resume();
    respondWithReason(call.response, StoreStatus.MethodNotAllowed, "method not allowed");
}
