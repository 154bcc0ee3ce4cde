/**
 * Maps HTTP exchanges to store outcomes. A response that the API does not define proves nothing about the call: it is
 * `Unavailable` for reads and `Unknown` for writes.
 */
import { parseJson } from "@bilberrycroft/core.json";
import {
    createUnavailableOutcome,
    type ListOutcome,
    objectKeySchema,
    type ReadOutcome,
    type StoredObject,
    StoreOutcomeKind,
    type UnavailableOutcome,
    type WatchOutcome,
    type WatchRequest,
    type WriteOutcome,
} from "@bilberrycroft/protocol.store";
import { z } from "zod";
import { type ExchangeOutcome, ExchangeOutcomeKind } from "./exchange";

type Response = Extract<ExchangeOutcome, { kind: ExchangeOutcomeKind.Responded }>;

const revisionPattern = /^"([^"]{1,64})"$/;
const listSchema = z.object({
    objects: z.array(z.object({ key: objectKeySchema, revision: z.string().min(1) })),
});
/** Statuses that the store sends before it accesses the object, so that the write has not taken effect. */
const refusalStatuses: ReadonlySet<number> = new Set([400, 405, 413, 428, 503]);

export function interpretRead(key: string, exchange: ExchangeOutcome): ReadOutcome {
    if (exchange.kind !== ExchangeOutcomeKind.Responded) {
        return createUnavailableOutcome(exchange.reason);
    }
    if (exchange.status === 404) {
        return { kind: StoreOutcomeKind.Absent };
    }
    const object = parseObject(key, exchange);
    return object === undefined ? describeRefusal(exchange) : { kind: StoreOutcomeKind.Done, object };
}

export function interpretList(exchange: ExchangeOutcome): ListOutcome {
    if (exchange.kind !== ExchangeOutcomeKind.Responded) {
        return createUnavailableOutcome(exchange.reason);
    }
    const list = exchange.status === 200 ? listSchema.safeParse(parseJson(exchange.body)) : undefined;
    return list?.success === true
        ? { kind: StoreOutcomeKind.Done, objects: list.data.objects }
        : describeRefusal(exchange);
}

/** Maps the exchange of a write or a removal. */
export function interpretWrite(exchange: ExchangeOutcome): WriteOutcome {
    switch (exchange.kind) {
        case ExchangeOutcomeKind.NotSent:
            return createUnavailableOutcome(exchange.reason);
        case ExchangeOutcomeKind.Lost:
            return { kind: StoreOutcomeKind.Unknown, reason: exchange.reason };
        case ExchangeOutcomeKind.Responded:
            return interpretWriteResponse(exchange);
    }
}

function interpretWriteResponse(response: Response): WriteOutcome {
    const revision = parseRevision(response);
    if ((response.status === 200 || response.status === 204) && revision !== undefined) {
        return { kind: StoreOutcomeKind.Done, revision };
    }
    if (response.status === 412) {
        return { kind: StoreOutcomeKind.Conflict };
    }
    return refusalStatuses.has(response.status)
        ? describeRefusal(response)
        : { kind: StoreOutcomeKind.Unknown, reason: `unexpected response ${response.status}` };
}

export function interpretWatch(request: WatchRequest, exchange: ExchangeOutcome): WatchOutcome {
    if (exchange.kind !== ExchangeOutcomeKind.Responded) {
        return request.signal?.aborted === true
            ? { kind: StoreOutcomeKind.Unchanged }
            : createUnavailableOutcome(exchange.reason);
    }
    if (exchange.status === 204) {
        return { kind: StoreOutcomeKind.Unchanged };
    }
    const object = parseObject(request.key, exchange);
    return object === undefined ? describeRefusal(exchange) : { kind: StoreOutcomeKind.Done, object };
}

function parseObject(key: string, response: Response): StoredObject | undefined {
    const revision = parseRevision(response);
    const isComplete = response.status === 200 && parseJson(response.body) !== undefined;
    return isComplete && revision !== undefined ? { key, revision, value: response.body } : undefined;
}

function parseRevision(response: Response): string | undefined {
    return revisionPattern.exec(response.entityTag ?? "")?.[1];
}

const reasonSchema = z.object({ reason: z.string() });

function describeRefusal(response: Response): UnavailableOutcome {
    const body = reasonSchema.safeParse(parseJson(response.body));
    const reason = body.success ? `: ${body.data.reason}` : "";
    return createUnavailableOutcome(`the store responded ${response.status}${reason}`);
}
