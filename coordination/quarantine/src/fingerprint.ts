/**
 * Request fingerprints, by which equal requests are recognized on all nodes.
 */
import { createHash } from "node:crypto";

/** The parts of a request that its fingerprint covers. */
export interface RequestIdentity {
    readonly method: string;
    readonly path: string;
    readonly tenant: string;
    /** SHA-256 of the body. */
    readonly bodyDigest: string;
}

/** Digest of a request. JSON delimits the parts, so that moving characters between parts changes the digest. */
export function computeFingerprint({ method, path, tenant, bodyDigest }: RequestIdentity): string {
    return createHash("sha256").update(JSON.stringify([method, path, tenant, bodyDigest])).digest("base64url");
}
