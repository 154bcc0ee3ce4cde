/**
 * Maps store outcomes to HTTP responses.
 */
import type { ServerResponse } from "node:http";
import {
    type ListOutcome,
    type ReadOutcome,
    type StoredObject,
    StoreOutcomeKind,
    type WatchOutcome,
    type WriteOutcome,
} from "@bilberrycroft/protocol.store";

/** HTTP status codes that the stand-in sends. */
export enum StoreStatus {
    Ok = 200,
    NoContent = 204,
    BadRequest = 400,
    NotFound = 404,
    MethodNotAllowed = 405,
    PreconditionFailed = 412,
    PayloadTooLarge = 413,
    PreconditionRequired = 428,
    Unavailable = 503,
}

export function respondWithJson(
    response: ServerResponse,
    status: StoreStatus,
    json: string,
    headers: Readonly<Record<string, string>> = {},
): void {
    response.writeHead(status, {
        ...headers,
        "content-type": "application/json",
        "content-length": Buffer.byteLength(json),
    });
    response.end(json);
}

/** Sends a status with a reason as JSON. */
export function respondWithReason(response: ServerResponse, status: StoreStatus, reason: string): void {
    respondWithJson(response, status, JSON.stringify({ reason }));
}

export function respondToRead(response: ServerResponse, outcome: ReadOutcome): void {
    switch (outcome.kind) {
        case StoreOutcomeKind.Done:
            return respondWithObject(response, outcome.object);
        case StoreOutcomeKind.Absent:
            return respondWithReason(response, StoreStatus.NotFound, "no such object");
        case StoreOutcomeKind.Unavailable:
            return respondWithReason(response, StoreStatus.Unavailable, outcome.reason);
    }
}

export function respondToList(response: ServerResponse, outcome: ListOutcome): void {
    switch (outcome.kind) {
        case StoreOutcomeKind.Done:
            return respondWithJson(response, StoreStatus.Ok, JSON.stringify({ objects: outcome.objects }));
        case StoreOutcomeKind.Unavailable:
            return respondWithReason(response, StoreStatus.Unavailable, outcome.reason);
    }
}

/** Sends the outcome of a write or a removal. */
export function respondToWrite(response: ServerResponse, outcome: WriteOutcome): void {
    switch (outcome.kind) {
        case StoreOutcomeKind.Done:
            response.writeHead(StoreStatus.NoContent, { etag: formatEntityTag(outcome.revision) });
            response.end();
            return;
        case StoreOutcomeKind.Conflict:
            return respondWithReason(response, StoreStatus.PreconditionFailed, "the condition does not hold");
        case StoreOutcomeKind.Unknown:
            // To the client, a lost request or response appears as a broken connection.
            response.destroy();
            return;
        case StoreOutcomeKind.Unavailable:
            return respondWithReason(response, StoreStatus.Unavailable, outcome.reason);
    }
}

export function respondToWatch(response: ServerResponse, outcome: WatchOutcome): void {
    switch (outcome.kind) {
        case StoreOutcomeKind.Done:
            return respondWithObject(response, outcome.object);
        case StoreOutcomeKind.Unchanged:
            response.writeHead(StoreStatus.NoContent);
            response.end();
            return;
        case StoreOutcomeKind.Unavailable:
            return respondWithReason(response, StoreStatus.Unavailable, outcome.reason);
    }
}

function respondWithObject(response: ServerResponse, object: StoredObject): void {
    respondWithJson(response, StoreStatus.Ok, object.value, { etag: formatEntityTag(object.revision) });
}

function formatEntityTag(revision: string): string {
    return `"${revision}"`;
}
