/**
 * Keys of organisations: look-up and the decision whether a call is accepted.
 *
 * An index belongs to one configuration version and never changes, so that each call is decided by one version. Keys
 * are compared by their digests in a hash map: the cost does not grow with the number of keys, and the time tells
 * nothing about the keys that exist.
 */
import { createHash } from "node:crypto";
import type { Organisation } from "./types";

/** Returns the digest by which a key is stored, relayed and looked up. Text is digested as UTF-8. */
export function digestKey(key: string | Buffer): string {
    return createHash("sha256").update(key).digest("base64url");
}

/** Organisations of one configuration version by the digests of their keys. */
export class OrganisationIndex {
    private readonly byDigest = new Map<string, Organisation>();

    constructor(readonly organisations: readonly Organisation[]) {
        for (const organisation of organisations) {
            organisation.keys.forEach(digest => this.byDigest.set(digest, organisation));
        }
    }

    /** Whether the configuration has no organisations, so that calls need no key. */
    get isEmpty(): boolean {
        return this.organisations.length === 0;
    }

    find(key: Buffer): Organisation | undefined {
        return this.byDigest.get(digestKey(key));
    }
}

/** Whether both lists have the same organisations with the same fields in the same order. */
export function hasSameOrganisations(before: readonly Organisation[], after: readonly Organisation[]): boolean {
    return before === after || (before.length === after.length && before.every((organisation, index) =>
        isSameOrganisation(organisation, after[index])));
}

function isSameOrganisation(before: Organisation, after: Organisation | undefined): boolean {
    return after !== undefined && before.name === after.name && before.priority === after.priority
        && before.callsPerSecond === after.callsPerSecond && before.burst === after.burst
        && before.keys.length === after.keys.length && before.keys.every((key, index) => key === after.keys[index]);
}

export enum CredentialsKind {
    /** The caller sent none. */
    Absent = "absent",
    /** The caller sent something that does not contain exactly one key. */
    Malformed = "malformed",
    Key = "key",
}

/** What a caller sent to identify its organisation. */
export type Credentials =
    | { readonly kind: CredentialsKind.Absent | CredentialsKind.Malformed }
    | { readonly kind: CredentialsKind.Key; readonly key: Buffer };

export interface AuthenticatedCall {
    readonly credentials: Credentials;
    readonly allowsAnonymous: boolean;
    /** The call in the course of which the local target makes this one; `undefined` for other calls. */
    readonly parent: { readonly organisation?: string | undefined } | undefined;
}

export enum AuthenticationKind {
    Accepted = "accepted",
    Refused = "refused",
}

export type Authentication =
    | {
        readonly kind: AuthenticationKind.Accepted;
        /** `undefined` for a call that belongs to no organisation. */
        readonly organisation: string | undefined;
        /** Whether the call carries a key; otherwise its route or its parent call admits it. */
        readonly hasKey: boolean;
        /** Priority of the organisation whose key the call carries; `undefined` if the route's priority applies. */
        readonly priority: number | undefined;
    }
    | { readonly kind: AuthenticationKind.Refused; readonly cause: "no key" | "malformed" | "unknown key" };

/**
 * Decides to which organisation a call belongs. Credentials that are present must contain a known key, also where none
 * are needed: a client with a mistyped key would otherwise lose its organisation without notice.
 */
export function authenticate(index: OrganisationIndex, call: AuthenticatedCall): Authentication {
    const { credentials, parent } = call;
    switch (credentials.kind) {
        case CredentialsKind.Key: {
            const holder = index.find(credentials.key);
            return holder === undefined
                ? { kind: AuthenticationKind.Refused, cause: "unknown key" }
                : {
                        kind: AuthenticationKind.Accepted,
                        organisation: holder.name,
                        hasKey: true,
                        priority: holder.priority,
                    };
        }
        case CredentialsKind.Malformed:
            return { kind: AuthenticationKind.Refused, cause: "malformed" };
        case CredentialsKind.Absent:
            return parent !== undefined || call.allowsAnonymous
                ? {
                        kind: AuthenticationKind.Accepted,
                        organisation: parent?.organisation,
                        hasKey: false,
                        priority: undefined,
                    }
                : { kind: AuthenticationKind.Refused, cause: "no key" };
    }
}
