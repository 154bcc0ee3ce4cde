/**
 * What a sidecar needs from the platform that it runs on. An adapter implements these; the sidecar knows no name of a
 * platform.
 */
import type { IncomingHttpHeaders } from "node:http";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { ObjectCollection } from "@bilberrycroft/protocol.store";
import type { MeshConfiguration } from "@bilberrycroft/state.routes";
import type { ForwardedHeaders } from "@bilberrycroft/protocol.forwarding";

/** What a caller says of its call besides the HTTP message. */
export interface CallerHead {
    /** Identifier of the caller's attempt. */
    readonly callId: string;
    /** Identifier of the call in the course of which a target makes this one, if the identifiers tell. */
    readonly parentCallId: string | undefined;
    /** How long the caller waits; `undefined` if it does not say. */
    readonly waitMs: Milliseconds | undefined;
}

/** What a target is told of a call besides the HTTP message. */
export interface TargetHead {
    readonly callId: string;
    readonly target: string;
    readonly callerService: string;
    /** How long the target may work. */
    readonly remainingMs: Milliseconds;
}

/** What the head of a target's answer says. */
export interface TargetAnswerHead {
    /** Call that the answer belongs to, as far as the target says it. */
    readonly callId: string | undefined;
    /** The target vouches for the answer. */
    readonly isSigned: boolean;
    /** The target did not run the call. */
    readonly isNotRun: boolean;
    /** The body is not what the target wrote. */
    readonly isEncoded: boolean;
}

/** What a response says that the node makes itself. */
export interface OwnHead {
    readonly callId: string | undefined;
    /** When the caller may come back. */
    readonly retryAfterMs: Milliseconds | undefined;
}

/** Translates between HTTP headers and calls. */
export interface CallHeaderCodec {
    /** `undefined` if the caller's attempt has no identifier. */
    readCaller(headers: IncomingHttpHeaders): CallerHead | undefined;
    /** Headers for the target, from those that the caller sent. */
    createTargetHeaders(received: ForwardedHeaders, head: TargetHead): ForwardedHeaders;
    readTargetAnswer(status: number, headers: IncomingHttpHeaders): TargetAnswerHead;
    /** Headers of a response that the node makes itself. */
    createOwnHeaders(own: OwnHead): ForwardedHeaders;
}

/** Kinds of `ConfigurationOutcome`. */
export enum ConfigurationOutcomeKind {
    Decoded = "decoded",
    Malformed = "malformed",
}

/** Result of decoding a configuration. */
export type ConfigurationOutcome =
    | { readonly kind: ConfigurationOutcomeKind.Decoded; readonly configuration: MeshConfiguration }
    | { readonly kind: ConfigurationOutcomeKind.Malformed; readonly reason: string };

/** The platform as a sidecar sees it. */
export interface MeshPlatform {
    readonly headers: CallHeaderCodec;
    /** Collection that holds the operator's configuration. */
    readonly configurations: ObjectCollection;
    /** Name of the configuration in its collection. */
    readonly configurationName: string;
    decodeConfiguration(value: unknown): ConfigurationOutcome;
    /** Collection of the nodes' entries. */
    readonly nodes: ObjectCollection;
}
