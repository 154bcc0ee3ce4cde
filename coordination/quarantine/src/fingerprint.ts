/**
 * Fingerprints of requests.
 */
import { createHash } from "node:crypto";

/** What tells one request from another. */
export interface RequestIdentity {
    readonly method: string;
    readonly path: string;
    readonly tenant: string;
    /** SHA-256 of the body. */
    readonly bodyDigest: string;
}

/** Digest of a request. JSON keeps the parts apart, so that no two requests share one by shifting characters. */
export function computeFingerprint({ method, path, tenant, bodyDigest }: RequestIdentity): string {
    return createHash("sha256").update(JSON.stringify([method, path, tenant, bodyDigest])).digest("base64url");
}
